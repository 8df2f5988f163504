package httpserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// closingRequest asks the server to close the connection after its response.
const closingRequest = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// requestOnce sends one request on a new connection and returns an error unless it is answered
// with 200. Client and server both close the connection after the response.
func requestOnce(address string) error {
	client, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	return exchangeOnce(client)
}

// exchangeOnce sends closingRequest and returns an error unless it is answered with 200 in time.
func exchangeOnce(client net.Conn) error {
	_ = client.SetDeadline(time.Now().Add(testTimeout))
	_, err := client.Write([]byte(closingRequest))
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return response.Body.Close()
}

// requestTally counts requests on new connections and those of them that failed.
type requestTally struct{ sent, failed atomic.Int64 }

// requestUntil sends one request after another, each on a new connection.
func (tally *requestTally) requestUntil(end time.Time, address string) {
	for time.Now().Before(end) {
		tally.sent.Add(1)
		err := requestOnce(address)
		if err != nil {
			tally.failed.Add(1)
			GinkgoWriter.Printf("failed: %v\n", err)
		}
	}
}

func (tally *requestTally) expectNoFailure() {
	GinkgoWriter.Printf("%d requests, %d failed\n", tally.sent.Load(), tally.failed.Load())
	ExpectWithOffset(1, tally.failed.Load()).To(BeZero(), "of %d requests", tally.sent.Load())
}

var _ = Describe("Requests on new connections", func() {
	BeforeEach(func() { useTLS = false })

	It("are answered while other connections are closed by both sides and their descriptors reused", func() {
		const clients = 64
		server := start(echo, Limits{})
		address := server.Address()
		until := time.Now().Add(4 * time.Second)
		tally := &requestTally{}
		var running sync.WaitGroup
		for range clients {
			running.Go(func() { tally.requestUntil(until, address) })
		}
		running.Wait()
		tally.expectNoFailure()
	})
})
