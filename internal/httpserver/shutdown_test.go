package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// wholeRequest is a request that echo answers with an empty body.
const wholeRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// openConnections returns a server's states of its connections.
func openConnections(server *Server) []*connection {
	var found []*connection
	server.eachConnection(func(each *connection) { found = append(found, each) })
	return found
}

func expectAnswer(client net.Conn) {
	answer, err := http.ReadResponse(bufio.NewReader(client), nil)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	_, err = io.ReadAll(answer.Body)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, answer.StatusCode).To(Equal(http.StatusOK))
}

// shutDown begins a shutdown and returns once idle connections are being closed.
func shutDown(server *Server) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	EventuallyWithOffset(1, server.listener.stopped, patience).Should(BeClosed())
	// Some rounds in which connections that look idle are closed.
	time.Sleep(5 * drainPoll)
	return stopped
}

var _ = Describe("Requests that cross a shutdown", func() {
	BeforeEach(func() { secured = false })

	It("are answered on a connection that its client has just opened", func() {
		server := start(echo, Limits{FirstRequest: patience})
		client := dial(server)
		Eventually(server.Connections, patience).Should(Equal(1))
		stopped := shutDown(server)
		fmt.Fprint(client, wholeRequest)
		expectAnswer(client)
		Eventually(stopped, patience).Should(Receive(BeNil()))
	})

	It("do not keep a server whose client opens a connection and sends nothing", func() {
		server := start(echo, Limits{FirstRequest: time.Millisecond})
		dial(server)
		Eventually(server.Connections, patience).Should(Equal(1))
		Eventually(shutDown(server), patience).Should(Receive(BeNil()))
	})

	It("are answered on kept connections whose bytes the server has not read", func() {
		const clients = 32
		server := start(echo, Limits{})
		var connections []net.Conn
		for range clients {
			client := dial(server)
			fmt.Fprint(client, wholeRequest)
			expectAnswer(client)
			connections = append(connections, client)
		}
		// The first connection's poller waits for its lock, and reads none of the
		// others that it serves.
		blocked := openConnections(server)[0]
		blocked.jobsMutex.Lock()
		for _, client := range connections {
			fmt.Fprint(client, wholeRequest)
		}
		stopped := shutDown(server)
		blocked.jobsMutex.Unlock()
		for _, client := range connections {
			expectAnswer(client)
		}
		Eventually(stopped, patience).Should(Receive(BeNil()))
	})

	// A caller got EOF for a call in a planned stop, though it may be sent again: 0.42 s after the
	// stop had begun, within the grace for idle connections. The server's line of the call says
	// CALLER_GONE after 0.27 ms, and nobody but the server had closed. An answer that had begun
	// before the stop told its client nothing of it, and its connection was closed with its end,
	// which is when the client sends the next request.
	It("are answered behind an answer that began before the shutdown, which did not say that the connection closes", func() {
		finish := make(chan struct{})
		server := start(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.WriteString(writer, "begun")
			if request.URL.Path == "/long" {
				writer.(http.Flusher).Flush()
				<-finish
			}
		}), Limits{DrainGrace: patience})
		client := dial(server)
		fmt.Fprint(client, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		reader := bufio.NewReader(client)
		answer, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Close).To(BeFalse())
		stopping, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { _ = server.Shutdown(stopping) }()
		Eventually(server.draining.Load, patience).Should(BeTrue())
		close(finish)
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		// As long as a client may take to go on.
		time.Sleep(unnoticedIdle / 10)
		fmt.Fprint(client, wholeRequest)
		answer, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Close).To(BeTrue(), "from now on it says so")
	})

	It("are not begun on a connection that is being closed", func() {
		server := start(echo, Limits{})
		client := dial(server)
		fmt.Fprint(client, wholeRequest)
		expectAnswer(client)
		Eventually(func() int { return len(openConnections(server)) }, patience).Should(Equal(1))
		closing := openConnections(server)[0]
		Eventually(closing.beginsToClose, patience).Should(BeTrue())
		Expect(closing.startRequest()).To(BeFalse())
		Expect(closing.beginsToClose()).To(BeTrue())
	})

	It("keep their connection from being closed once their first byte has come", func() {
		server := start(echo, Limits{})
		client := dial(server)
		fmt.Fprint(client, "GET / HTTP/1.1\r\n")
		Eventually(func() bool {
			open := openConnections(server)
			return len(open) == 1 && open[0].receiving.Load()
		}, patience).Should(BeTrue())
		Expect(openConnections(server)[0].beginsToClose()).To(BeFalse())
	})

	It("come with the connections that the system had taken before the listener stopped", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := newStoppableListener(inner)
		const clients = 3
		for range clients {
			client, err := net.Dial("tcp", inner.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			fmt.Fprint(client, wholeRequest)
		}
		listener.Stop()
		accepted := make(chan net.Conn, clients)
		ended := make(chan error, 1)
		go func() {
			for {
				socket, err := listener.Accept()
				if err != nil {
					ended <- err
					return
				}
				accepted <- socket
			}
		}()
		for range clients {
			var socket net.Conn
			Eventually(accepted, patience).Should(Receive(&socket))
			request, err := http.ReadRequest(bufio.NewReader(socket))
			Expect(err).NotTo(HaveOccurred())
			Expect(request.Host).To(Equal("a"))
			Expect(socket.Close()).To(Succeed())
		}
		Expect(listener.Close()).To(Succeed())
		Eventually(ended, patience).Should(Receive(MatchError(net.ErrClosed)))
	})
})
