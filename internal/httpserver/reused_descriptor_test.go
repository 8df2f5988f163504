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

// lastRequest asks for the connection's close behind its answer.
const lastRequest = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// callOnce makes one call on a connection of its own and returns why it was not answered. Both
// sides close the connection behind the answer, at about the same time.
func callOnce(address string) error {
	client, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	_, err = client.Write([]byte(lastRequest))
	if err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %d", answer.StatusCode)
	}
	return answer.Body.Close()
}

var _ = Describe("Calls on new connections", func() {
	BeforeEach(func() { secured = false })

	It("are answered while others are closed by both sides at once and their descriptors used again", func() {
		const callers = 64
		server := start(echo, Limits{})
		address := server.Address()
		until := time.Now().Add(4 * time.Second)
		var made, lost atomic.Int64
		var running sync.WaitGroup
		for range callers {
			running.Go(func() {
				for time.Now().Before(until) {
					made.Add(1)
					err := callOnce(address)
					if err != nil {
						lost.Add(1)
						GinkgoWriter.Printf("lost: %v\n", err)
					}
				}
			})
		}
		running.Wait()
		GinkgoWriter.Printf("%d calls, %d lost\n", made.Load(), lost.Load())
		Expect(lost.Load()).To(BeZero(), "of %d calls", made.Load())
	})
})
