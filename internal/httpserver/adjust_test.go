package httpserver_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/httpserver"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Adjust", func() {
	echoLength := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		content, _ := io.ReadAll(request.Body)
		_, _ = fmt.Fprintf(writer, "%d", len(content))
	})
	start := func(limits httpserver.Limits) *httpserver.Server {
		server, err := httpserver.Start("127.0.0.1:0", echoLength, limits)
		Expect(err).NotTo(HaveOccurred())
		return server
	}
	post := func(server *httpserver.Server, body io.Reader) (int, string) {
		response, err := http.Post("http://"+server.Address()+"/", "text/plain", body)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = response.Body.Close() }()
		content, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(content)
	}

	It("accepts a chunked body larger than MaxHeaderBytes", func() {
		server := start(httpserver.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20})
		connection, err := net.Dial("tcp", server.Address())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connection.Close() }()
		const size = 100 << 10
		_, err = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size)
		Expect(err).NotTo(HaveOccurred())
		for range 10 {
			_, err = io.WriteString(connection, strings.Repeat("x", size/10))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(5 * time.Millisecond)
		}
		_, err = io.WriteString(connection, "\r\n0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(connection.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		response := make([]byte, 4096)
		count, err := connection.Read(response)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response[:count])).To(ContainSubstring("200 OK"))
	})

	It("applies the limits in force when a request arrives", func() {
		server := start(httpserver.Limits{MaxBodyBytes: 1 << 20})
		status, _ := post(server, strings.NewReader(strings.Repeat("x", 5000)))
		Expect(status).To(Equal(http.StatusOK))
		server.Adjust(httpserver.AdjustableLimits{MaxBodyBytes: 1000})
		status, _ = post(server, strings.NewReader(strings.Repeat("x", 5000)))
		Expect(status).To(BeElementOf(http.StatusRequestEntityTooLarge, 0))
		server.Adjust(httpserver.AdjustableLimits{MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute})
		status, _ = post(server, strings.NewReader(strings.Repeat("x", 5000)))
		Expect(status).To(Equal(http.StatusOK))
	})
})
