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
