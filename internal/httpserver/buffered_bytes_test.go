package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/heldbytes"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Bytes buffered over all connections", func() {
	It("stay within the response limit while many clients do not read, and a reading client is served", func() {
		const clients = 24
		const bound = 1 << 20
		buffered := heldbytes.New(bound)
		chunk := content(1, 32<<10)
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/short" {
				_, _ = writer.Write(chunk)
				return
			}
			for {
				_, err := writer.Write(chunk)
				if err != nil {
					return
				}
			}
		}, Limits{WriteBufferBytes: 512 << 10, WriteTimeout: testTimeout, ResponseBytes: buffered})
		var connections []net.Conn
		for range clients {
			stalled := dial(server)
			fmt.Fprint(stalled, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			connections = append(connections, stalled)
		}
		Eventually(buffered.InUse, testTimeout).Should(BeNumerically(">", bound/4))
		slack := int64(clients * maxWriteSize)
		Consistently(buffered.InUse, 300*time.Millisecond).Should(BeNumerically("<=", bound+slack))
		response, err := newClient().Get("http://" + server.Address() + "/short")
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(len(chunk)))
		for _, each := range connections {
			Expect(each.Close()).To(Succeed())
		}
		Eventually(buffered.InUse, testTimeout).Should(BeZero())
	})

	It("cause a body over the request limit to be rejected before its handler runs, and accepted after others end", func() {
		buffered := heldbytes.New(100_000)
		entered := make(chan struct{}, 4)
		finish := make(chan struct{})
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			entered <- struct{}{}
			<-finish
		}, Limits{RequestBytes: buffered})
		post := func() (*http.Response, error) {
			return newClient().Post("http://"+server.Address(), "text/plain", strings.NewReader(string(content(1, 80_000))))
		}
		first := make(chan error, 1)
		go func() {
			_, err := post()
			first <- err
		}()
		Eventually(entered, testTimeout).Should(Receive())
		response, err := post()
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(errorOf(response.Body).Code).To(Equal(resultcode.TooManyConnections))
		Expect(entered).NotTo(Receive(), "the rejected request ran")
		close(finish)
		Eventually(first, testTimeout).Should(Receive(BeNil()))
		Eventually(buffered.InUse, testTimeout).Should(BeZero())
		response, err = post()
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("are released with the response to each pipelined request, none of which is rejected", func() {
		buffered := heldbytes.New(100_000)
		finish := make(chan struct{})
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			<-finish
		}, Limits{RequestBytes: buffered})
		client := dial(server)
		const length = 60_000
		for range 2 {
			fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, content(1, length))
		}
		Eventually(buffered.InUse, testTimeout).Should(BeNumerically(">", 2*length))
		responses := bufio.NewReader(client)
		for left := range 2 {
			finish <- struct{}{}
			response, err := http.ReadResponse(responses, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(io.Copy(io.Discard, response.Body)).To(BeZero())
			Eventually(buffered.InUse, testTimeout).Should(BeNumerically("<", (2-left)*length))
		}
		Eventually(buffered.InUse, testTimeout).Should(BeZero())
	})

	It("are released when a client disconnects in the middle of a body", func() {
		buffered := heldbytes.New(100_000)
		server := start(echo, Limits{RequestBytes: buffered})
		interrupted := dial(server)
		fmt.Fprintf(interrupted, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n%s", content(1, 50_000))
		Eventually(buffered.InUse, testTimeout).Should(BeNumerically(">", 0))
		Expect(interrupted.Close()).To(Succeed())
		Eventually(buffered.InUse, testTimeout).Should(BeZero())
	})
})
