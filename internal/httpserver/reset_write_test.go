package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// resetDuringResponse sends a request and resets the connection while the response is written.
func resetDuringResponse(address string) {
	client, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	_ = client.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprint(client, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = client.Read(make([]byte, 1))
	_ = client.(*net.TCPConn).SetLinger(0)
	_ = client.Close()
}

var _ = Describe("Connections that are reset while a response is written", func() {
	BeforeEach(func() { useTLS = false })

	// Guards against a write that closes the socket on its own goroutine: a new connection that
	// reuses the descriptor would be closed by the poller on a pending event of the old one.
	It("do not affect requests on new connections", func() {
		const clients = 32
		server := start(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/long" {
				_, _ = io.WriteString(writer, "whole")
				return
			}
			for range 1000 {
				_, err := io.WriteString(writer, "part")
				if err != nil || request.Context().Err() != nil {
					return
				}
				writer.(http.Flusher).Flush()
			}
		}), Limits{})
		until := time.Now().Add(4 * time.Second)
		tally := &requestTally{}
		var running sync.WaitGroup
		for range clients {
			running.Go(func() {
				for time.Now().Before(until) {
					resetDuringResponse(server.Address())
				}
			})
			running.Go(func() { tally.requestUntil(until, server.Address()) })
		}
		running.Wait()
		tally.expectNoFailure()
	})
})
