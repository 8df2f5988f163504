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

// closingServer answers one request on each connection, and closes the first
// connection when another request comes on it.
func closingServer(listener net.Listener, requests chan<- string) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"id\":\"p\"}"
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
			_, err = connection.Write([]byte(answer))
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

// startClosingServer starts a closingServer, and returns its address and the ids it gets.
func startClosingServer() (string, <-chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	requests := make(chan string, 8)
	go closingServer(listener, requests)
	return listener.Addr().String(), requests
}

var _ = Describe("Caller", func() {
	It("sends a request again that crossed the close of an idle connection", func() {
		address, requests := startClosingServer()
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

	// In a run of rolling.yaml beside load a program's end was cut with EOF, one second after a
	// gateway's stop had begun, which is when that closes its idle connections. The gateway has
	// no line of the request: it never read it. Requests with an id were sent again by the HTTP
	// client, the end had none.
	It("sends a program's end again that crossed the close of an idle connection", func() {
		address, requests := startClosingServer()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		made := caller.New(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}, "key")
		_, err := made.CreateProgram(ctx, address, "one", "kind", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(made.EndProgram(ctx, address, "p.q")).To(Succeed())
		Expect(requests).To(Receive(Equal("one")))
		Expect(requests).To(Receive(Equal("end-p.q")))
	})

	It("names no key for a request without an id, which the gateway would refuse", func() {
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
