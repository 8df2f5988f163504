package httpclient

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/magpielug/magpielug/internal/responsehead"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("New", func() {
	It("connects from the source address, uses no proxy and follows no redirects", func() {
		var remoteHost string
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			remoteHost, _, _ = net.SplitHostPort(request.RemoteAddr)
			http.Redirect(writer, request, "/elsewhere", http.StatusFound)
		}))
		DeferCleanup(server.Close)
		client, err := New(Options{SourceAddress: "127.3.0.9", Timeout: 20 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		response, err := client.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusFound))
		Expect(remoteHost).To(Equal("127.3.0.9"))
		// Go bypasses proxies for loopback addresses, so a request would not show one.
		Expect(client.Transport.(*checkingTransport).base.(*http.Transport).Proxy).To(BeNil())
	})

	// Guards against a body whose framing is in a field that is not found by its name.
	DescribeTable("returns no response whose head has an invalid field name",
		func(fields string) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				socket, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\n"+fields+"\r\n5\r\nhello\r\n0\r\n\r\n")
				_ = socket.Close()
			}))
			DeferCleanup(server.Close)
			client, err := New(Options{Timeout: 20 * time.Second})
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Get(server.URL)
			Expect(err).To(MatchError(responsehead.ErrFieldName))
		},
		Entry("blank within the coding's name", "Transfer Encoding: chunked\r\n"),
		Entry("blank behind the coding's name", "Transfer-Encoding : chunked\r\n"),
		Entry("blank within another name", "X Odd: 1\r\nTransfer-Encoding: chunked\r\n"),
	)

	It("rejects a source address that is not an IP address", func() {
		_, err := New(Options{SourceAddress: "here"})
		Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
	})
})
