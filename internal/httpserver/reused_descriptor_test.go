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
	_, err = client.Write([]byte(closingRequest))
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

var _ = Describe("Requests on new connections", func() {
	BeforeEach(func() { useTLS = false })

	It("are answered while other connections are closed by both sides and their descriptors reused", func() {
		const clients = 64
		server := start(echo, Limits{})
		address := server.Address()
		until := time.Now().Add(4 * time.Second)
		var sent, failed atomic.Int64
		var running sync.WaitGroup
		for range clients {
			running.Go(func() {
				for time.Now().Before(until) {
					sent.Add(1)
					err := requestOnce(address)
					if err != nil {
						failed.Add(1)
						GinkgoWriter.Printf("failed: %v\n", err)
					}
				}
			})
		}
		running.Wait()
		GinkgoWriter.Printf("%d requests, %d failed\n", sent.Load(), failed.Load())
		Expect(failed.Load()).To(BeZero(), "of %d requests", sent.Load())
	})
})
