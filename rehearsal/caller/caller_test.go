package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/magpielug/magpielug/rehearsal/caller"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// serveAndClose accepts connections and reports the IDs of the requests on them.
// It closes the first connection instead of responding to its second request, as
// a server does that closes an idle connection while a request is sent on it.
func serveAndClose(listener net.Listener, requests chan<- string) {
	const response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"id\":\"p\"}"
	serve := func(connection net.Conn, first bool) {
		defer connection.Close()
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			requests <- request.Header.Get("X-Magpielug-Request-Id")
			_, err = connection.Write([]byte(response))
			if err != nil || first {
				_, _ = reader.Peek(1)
				return
			}
		}
	}
	for first := true; ; first = false {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(connection, first)
	}
}

// startServer runs serveAndClose, and returns its address and the request IDs.
func startServer() (string, <-chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	requests := make(chan string, 8)
	go serveAndClose(listener, requests)
	return listener.Addr().String(), requests
}

var _ = Describe("Caller", func() {
	It("retries a request that the server dropped by closing an idle connection", func() {
		address, requests := startServer()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		made := caller.New(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}, "key")
		for _, id := range []string{"one", "two"} {
			_, err := made.CreateProgram(ctx, address, id, "kind", "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(requests).To(Receive(Equal("one")))
		Expect(requests).To(Receive(Equal("two")))
	})

	// Without a request ID, EndProgram failed with EOF when a stopping gateway closed its idle
	// connections.
	It("retries the end of a program that the server dropped by closing an idle connection", func() {
		address, requests := startServer()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		made := caller.New(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}, "key")
		_, err := made.CreateProgram(ctx, address, "one", "kind", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(made.EndProgram(ctx, address, "p.q")).To(Succeed())
		Expect(requests).To(Receive(Equal("one")))
		Expect(requests).To(Receive(Equal("end-p.q")))
	})

	It("sends no idempotency key for a request without an ID, as the gateway rejects an empty one", func() {
		var header http.Header
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			header = request.Header
			_, _ = writer.Write([]byte(`{"id":"p"}`))
		}))
		DeferCleanup(server.Close)
		made := caller.New(server.Client(), "key")
		_, err := made.CreateProgram(context.Background(), server.Listener.Addr().String(), "", "kind", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(header).NotTo(HaveKey("Idempotency-Key"))
	})
})
