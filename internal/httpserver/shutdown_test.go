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

// completeRequestText is a request to which echo responds with an empty body.
const completeRequestText = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func openConnections(server *Server) []*connection {
	var found []*connection
	server.eachConnection(func(each *connection) { found = append(found, each) })
	return found
}

func expectOK(client net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	_, err = io.ReadAll(response.Body)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, response.StatusCode).To(Equal(http.StatusOK))
}

// beginShutdown starts a shutdown and returns once the server has begun to close idle connections.
func beginShutdown(server *Server) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	EventuallyWithOffset(1, server.listener.stopped, testTimeout).Should(BeClosed())
	// Leaves time for several checks for idle connections.
	time.Sleep(5 * drainPollInterval)
	return stopped
}

var _ = Describe("Requests during a shutdown", func() {
	BeforeEach(func() { useTLS = false })

	It("are answered on a newly opened connection", func() {
		server := start(echo, Limits{FirstRequestGrace: testTimeout})
		client := dial(server)
		Eventually(server.Connections, testTimeout).Should(Equal(1))
		stopped := beginShutdown(server)
		fmt.Fprint(client, completeRequestText)
		expectOK(client)
		Eventually(stopped, testTimeout).Should(Receive(BeNil()))
	})

	It("do not delay it if the client of a connection sends none", func() {
		server := start(echo, Limits{FirstRequestGrace: time.Millisecond})
		dial(server)
		Eventually(server.Connections, testTimeout).Should(Equal(1))
		Eventually(beginShutdown(server), testTimeout).Should(Receive(BeNil()))
	})

	It("are answered on keep-alive connections if they wait unread in the socket", func() {
		const clients = 32
		server := start(echo, Limits{})
		var connections []net.Conn
		for range clients {
			client := dial(server)
			fmt.Fprint(client, completeRequestText)
			expectOK(client)
			connections = append(connections, client)
		}
		// Blocks the poller of the first connection, so that it does not read the others.
		blocked := openConnections(server)[0]
		blocked.jobsMutex.Lock()
		for _, client := range connections {
			fmt.Fprint(client, completeRequestText)
		}
		stopped := beginShutdown(server)
		blocked.jobsMutex.Unlock()
		for _, client := range connections {
			expectOK(client)
		}
		Eventually(stopped, testTimeout).Should(Receive(BeNil()))
	})

	// Guards against closing a keep-alive connection right after a response that began before
	// the shutdown: its client was not told and may already be sending the next request.
	It("are answered after a response that began before the shutdown without Connection: close", func() {
		finish := make(chan struct{})
		server := start(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.WriteString(writer, "begun")
			if request.URL.Path == "/long" {
				writer.(http.Flusher).Flush()
				<-finish
			}
		}), Limits{DrainGrace: testTimeout})
		client := dial(server)
		fmt.Fprint(client, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		reader := bufio.NewReader(client)
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeFalse())
		stopping, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { _ = server.Shutdown(stopping) }()
		Eventually(server.draining.Load, testTimeout).Should(BeTrue())
		close(finish)
		_, err = io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		// A client may send its next request after a short delay.
		time.Sleep(nextRequestGrace / 10)
		fmt.Fprint(client, completeRequestText)
		response, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeTrue(), "the next response must carry Connection: close")
	})

	It("are not started on a closing connection", func() {
		server := start(echo, Limits{})
		client := dial(server)
		fmt.Fprint(client, completeRequestText)
		expectOK(client)
		Eventually(func() int { return len(openConnections(server)) }, testTimeout).Should(Equal(1))
		closing := openConnections(server)[0]
		Eventually(closing.tryMarkClosing, testTimeout).Should(BeTrue())
		Expect(closing.startRequest()).To(BeFalse())
		Expect(closing.tryMarkClosing()).To(BeTrue())
	})

	It("prevent their connection from closing once their first byte has arrived", func() {
		server := start(echo, Limits{})
		client := dial(server)
		fmt.Fprint(client, "GET / HTTP/1.1\r\n")
		Eventually(func() bool {
			open := openConnections(server)
			return len(open) == 1 && open[0].receiving.Load()
		}, testTimeout).Should(BeTrue())
		Expect(openConnections(server)[0].tryMarkClosing()).To(BeFalse())
	})

	It("are served from connections in the accept queue when the listener stops", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := newStoppableListener(inner)
		const clients = 3
		for range clients {
			client, err := net.Dial("tcp", inner.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			fmt.Fprint(client, completeRequestText)
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
			Eventually(accepted, testTimeout).Should(Receive(&socket))
			request, err := http.ReadRequest(bufio.NewReader(socket))
			Expect(err).NotTo(HaveOccurred())
			Expect(request.Host).To(Equal("a"))
			Expect(socket.Close()).To(Succeed())
		}
		Expect(listener.Close()).To(Succeed())
		Eventually(ended, testTimeout).Should(Receive(MatchError(net.ErrClosed)))
	})
})
