package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const testTimeout = 20 * time.Second

// largeResponseSize exceeds the system's socket buffers.
const largeResponseSize = 12 << 20

// useTLS makes start, newClient and dial use TLS.
var useTLS bool

// tlsTestServer provides a certificate for 127.0.0.1 and a client that trusts it.
var tlsTestServer = httptest.NewTLSServer(nil)

func start(handler http.HandlerFunc, limits Limits) *Server {
	if limits.DrainGrace == 0 {
		limits.DrainGrace = time.Millisecond
	}
	server, err := startAt("127.0.0.1:0", handler, limits)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return server
}

func startAt(address string, handler http.HandlerFunc, limits Limits) (*Server, error) {
	if useTLS {
		return StartTLS(address, handler, limits, tlsTestServer.TLS)
	}
	return Start(address, handler, limits)
}

func clientConfig() *tls.Config {
	return tlsTestServer.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
}

func newClient() *http.Client {
	options := httpclient.Options{SourceAddress: "127.0.0.1", Timeout: testTimeout}
	if useTLS {
		options.TLS = clientConfig
	}
	client, err := httpclient.New(options)
	Expect(err).NotTo(HaveOccurred())
	return client
}

func dial(server *Server) net.Conn {
	connection, err := net.Dial("tcp", server.Address())
	Expect(err).NotTo(HaveOccurred())
	Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	DeferCleanup(func() { _ = connection.Close() })
	if !useTLS {
		return connection
	}
	config := clientConfig()
	config.ServerName = "127.0.0.1"
	return tls.Client(connection, config)
}

func errorOf(body io.Reader) ErrorDetail {
	var parsed ErrorBody
	Expect(json.NewDecoder(body).Decode(&parsed)).To(Succeed())
	return parsed.Error
}

func echo(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(writer, request.Body)
}

// content returns size bytes that depend on seed.
func content(seed, size int) []byte {
	line := fmt.Appendf(nil, "answer %d ", seed)
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

var _ = Describe("Server", func() { describeServer(false) })

var _ = Describe("Server with TLS", func() { describeServer(true) })

func describeServer(withTLS bool) {
	BeforeEach(func() { useTLS = withTLS })

	It("reports a port in use in a one-line error", func() {
		server := start(echo, Limits{})
		_, err := startAt(server.Address(), echo, Limits{})
		Expect(resultcode.CodeOf(err)).To(Equal(resultcode.AddressInUse))
		Expect(err.Error()).To(ContainSubstring(server.Address()))
		Expect(err.Error()).NotTo(ContainSubstring("\n"))
	})

	It("does not cut a response that takes longer than the idle and request timeouts", func() {
		const events = 8
		stream := func(writer http.ResponseWriter, request *http.Request) {
			for number := range events {
				fmt.Fprintf(writer, "event %d\n", number)
				writer.(http.Flusher).Flush()
				time.Sleep(100 * time.Millisecond)
			}
		}
		server := start(stream, Limits{IdleTimeout: 250 * time.Millisecond, RequestTimeout: 250 * time.Millisecond})
		client := newClient()
		for range 2 {
			response, err := client.Get("http://" + server.Address())
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.Count(string(body), "\n")).To(Equal(events))
		}
	})

	It("closes idle connections and connections with incomplete requests", func() {
		server := start(echo, Limits{IdleTimeout: 50 * time.Millisecond, RequestTimeout: 50 * time.Millisecond})
		idle := dial(server)
		incomplete := dial(server)
		fmt.Fprint(incomplete, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
		for _, connection := range []net.Conn{idle, incomplete} {
			_, err := connection.Read(make([]byte, 1))
			Expect(err).To(MatchError(io.EOF))
		}
		Eventually(server.Connections, testTimeout).Should(BeZero())
	})

	It("closes a connection whose first bytes are an incomplete request", func() {
		const connections = 100
		firstByte := "G"
		if withTLS {
			firstByte = "\x16"
		}
		server := start(echo, Limits{IdleTimeout: time.Hour, RequestTimeout: 100 * time.Millisecond})
		for range connections {
			raw, err := net.Dial("tcp", server.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = raw.Close() })
			fmt.Fprint(raw, firstByte)
		}
		Eventually(server.Connections, testTimeout).Should(BeZero())
	})

	It("rejects a request over MaxInFlight immediately, with Retry-After", func() {
		release := make(chan struct{})
		started := make(chan struct{}, 1)
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/health" {
				return
			}
			started <- struct{}{}
			<-release
		}, Limits{MaxInFlight: 1, RetryAfter: 1500 * time.Millisecond, Exempt: func(request *http.Request) bool {
			return request.URL.Path == "/health"
		}})
		client := newClient()
		done := make(chan error, 1)
		go func() {
			_, err := client.Get("http://" + server.Address())
			done <- err
		}()
		Eventually(started, testTimeout).Should(Receive())
		response, err := client.Get("http://" + server.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		Expect(errorOf(response.Body).Code).To(Equal(resultcode.TooManyConnections))
		response, err = client.Get("http://" + server.Address() + "/health")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		close(release)
		Eventually(done, testTimeout).Should(Receive(BeNil()))
	})

	It("rejects the request of a connection over MaxConnections", func() {
		server := start(echo, Limits{MaxConnections: 1})
		dial(server)
		Eventually(server.Connections, testTimeout).Should(Equal(1))
		response, err := newClient().Get("http://" + server.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(errorOf(response.Body).Code).To(Equal(resultcode.TooManyConnections))
	})

	It("delivers the written part of an aborted response, and nothing after it", func() {
		const size = 16 << 20
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/next" {
				return
			}
			writer.Header().Set("Content-Length", fmt.Sprint(2*size))
			_, _ = writer.Write(content(1, size))
			panic(http.ErrAbortHandler)
		}, Limits{WriteBufferBytes: 2 * size})
		raw := dial(server)
		fmt.Fprint(raw, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n")
		Eventually(server.InFlight, testTimeout).Should(BeZero())
		// The client starts reading after the handler has ended.
		response, err := http.ReadResponse(bufio.NewReader(raw), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(bytes.Equal(body, content(1, size))).To(BeTrue(), "received %d bytes", len(body))
	})

	DescribeTable("rejects a body over the limit",
		func(newBody func() io.Reader, length int64) {
			server := start(echo, Limits{MaxBodyBytes: 1000})
			request, err := http.NewRequest(http.MethodPost, "http://"+server.Address(), newBody())
			Expect(err).NotTo(HaveOccurred())
			request.ContentLength = length
			response, err := newClient().Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(errorOf(response.Body).Code).To(Equal(resultcode.BodyTooLarge))
		},
		Entry("announced", func() io.Reader { return bytes.NewReader(content(1, 300_000)) }, int64(300_000)),
		Entry("chunked", func() io.Reader { return bytes.NewReader(content(1, 300_000)) }, int64(-1)),
		Entry("one byte over", func() io.Reader { return bytes.NewReader(content(1, 1001)) }, int64(1001)),
	)

	It("accepts a body of exactly the limit and rejects headers over theirs", func() {
		server := start(echo, Limits{MaxBodyBytes: 100_000, MaxHeaderBytes: 2000})
		sent := content(1, 100_000)
		response, err := newClient().Post("http://"+server.Address(), "text/plain", bytes.NewReader(sent))
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(body, sent)).To(BeTrue())

		request, _ := http.NewRequest(http.MethodGet, "http://"+server.Address(), nil)
		request.Header.Set("X-Long", strings.Repeat("a", 3000))
		response, err = newClient().Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(errorOf(response.Body).Code).To(Equal(resultcode.BadRequest))
	})

	It("notifies a handler of a closed connection by channel and context", func() {
		disconnected := make(chan struct{})
		entered := make(chan struct{})
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			close(entered)
			<-ConnectionClosed(request)
			<-request.Context().Done()
			close(disconnected)
		}, Limits{})
		connection := dial(server)
		fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(entered, testTimeout).Should(BeClosed())
		Expect(connection.Close()).To(Succeed())
		Eventually(disconnected, testTimeout).Should(BeClosed())
	})

	It("ends the response to a client that stops reading, with bounded heap use", func() {
		const bound = 128 << 10
		failed := make(chan int, 1)
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			sent := 0
			chunk := content(1, 32<<10)
			for {
				count, err := writer.Write(chunk)
				sent += count
				if err != nil {
					failed <- sent
					return
				}
			}
		}, Limits{WriteBufferBytes: bound, WriteTimeout: 200 * time.Millisecond})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		fmt.Fprint(dial(server), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		var sent int
		Eventually(failed, testTimeout).Should(Receive(&sent))
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 8<<20))
		Expect(sent).To(BeNumerically("<", 32<<20))
	})

	It("delivers large responses intact to concurrent slow readers", func() {
		const size = largeResponseSize
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			var seed int
			fmt.Sscanf(request.URL.Path, "/%d", &seed)
			if seed%2 == 0 {
				writer.Header().Set("Content-Length", fmt.Sprint(size))
			}
			_, _ = writer.Write(content(seed, size))
		}, Limits{WriteBufferBytes: 128 << 10})
		client := newClient()
		results := make(chan error, 6)
		for seed := range cap(results) {
			go func() { results <- fetchSlowly(client, server, seed, size) }()
		}
		for range cap(results) {
			Eventually(results, testTimeout).Should(Receive(BeNil()))
		}
	})

	It("sends the whole response before closing on Connection: close", func() {
		const size = largeResponseSize
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = writer.Write(content(7, size))
		}, Limits{})
		connection := dial(server)
		fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(body, content(7, size))).To(BeTrue())
	})

	// Guards against a failure whose status has no name being sent as a success.
	It("sends any status, also with large bodies and on kept connections", func() {
		const size = largeResponseSize
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			status, _ := strconv.Atoi(request.URL.Query().Get("status"))
			length := request.URL.Query().Get("length")
			if length != "" {
				writer.Header().Set("Content-Length", length)
			}
			writer.WriteHeader(status)
			if length != "0" {
				_, _ = writer.Write(content(status, size))
			}
		}, Limits{})
		connection := dial(server)
		reader := bufio.NewReader(connection)
		for _, length := range []string{"", strconv.Itoa(size), "0"} {
			for _, status := range []int{200, 299, 419, 404, 444, 520, 503, 599, 201} {
				_, err := fmt.Fprintf(connection, "GET /?status=%d&length=%s HTTP/1.1\r\nHost: x\r\n\r\n", status, length)
				Expect(err).NotTo(HaveOccurred())
				response, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(status))
				body, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(length == "0" || bytes.Equal(body, content(status, size))).To(BeTrue())
			}
		}
	})

	It("responds with Internal when a handler panics, and keeps serving", func() {
		reported := 0
		report := ReportPanic
		DeferCleanup(func() { ReportPanic = report })
		ReportPanic = func(fault any, stack []byte) {
			reported++
			Expect(fault).To(Equal("fault"))
			Expect(string(stack)).To(ContainSubstring("server_test.go"))
		}
		server := start(func(writer http.ResponseWriter, request *http.Request) { panic("fault") }, Limits{})
		for range 2 {
			response, err := newClient().Get("http://" + server.Address())
			Expect(err).NotTo(HaveOccurred())
			Expect(errorOf(response.Body).Code).To(Equal(resultcode.Internal))
		}
		Expect(reported).To(Equal(2))
	})

	It("finishes running requests during shutdown, and accepts no more connections", func() {
		entered := make(chan struct{})
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			close(entered)
			time.Sleep(300 * time.Millisecond)
			fmt.Fprint(writer, "whole")
		}, Limits{})
		bodies := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			response, err := newClient().Get("http://" + server.Address())
			Expect(err).NotTo(HaveOccurred())
			body, _ := io.ReadAll(response.Body)
			bodies <- string(body)
		}()
		Eventually(entered, testTimeout).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		Expect(server.Shutdown(ctx)).To(Succeed())
		Eventually(bodies, testTimeout).Should(Receive(Equal("whole")))
		_, err := net.Dial("tcp", server.Address())
		Expect(err).To(HaveOccurred())
	})

	It("serves requests during DrainGrace, with Connection: close", func() {
		server := start(echo, Limits{DrainGrace: 500 * time.Millisecond})
		client := newClient()
		_, err := client.Get("http://" + server.Address())
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(context.Background()) }()
		Eventually(server.draining.Load, testTimeout).Should(BeTrue())
		for range 2 {
			response, err := client.Post("http://"+server.Address(), "text/plain", strings.NewReader("late"))
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("late"))
			Expect(response.Close).To(BeTrue())
		}
		Eventually(stopped, testTimeout).Should(Receive(BeNil()))
	})

	It("returns the context's error when a request outlasts the shutdown", func() {
		entered := make(chan struct{})
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			close(entered)
			<-request.Context().Done()
		}, Limits{})
		go func() { _, _ = newClient().Get("http://" + server.Address()) }()
		Eventually(entered, testTimeout).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
	})
}

var _ = Describe("Server with TLS and a client without", func() {
	It("does not respond to a plain request and closes an incomplete handshake", func() {
		useTLS = true
		server := start(echo, Limits{RequestTimeout: 100 * time.Millisecond})
		for _, sent := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "\x16\x03\x01"} {
			connection, err := net.Dial("tcp", server.Address())
			Expect(err).NotTo(HaveOccurred())
			Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
			fmt.Fprint(connection, sent)
			response, err := io.ReadAll(connection)
			Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
			Expect(string(response)).NotTo(ContainSubstring("HTTP"))
			Expect(connection.Close()).To(Succeed())
		}
		Eventually(server.Connections, testTimeout).Should(BeZero())
	})
})

func fetchSlowly(client *http.Client, server *Server, seed, size int) error {
	response, err := client.Get(fmt.Sprintf("http://%s/%d", server.Address(), seed))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	time.Sleep(50 * time.Millisecond)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if !bytes.Equal(body, content(seed, size)) {
		return fmt.Errorf("response %d differs after %d bytes", seed, len(body))
	}
	return nil
}
