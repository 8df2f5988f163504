package httpclient

import (
	"net"
	"net/http"
	"net/http/httptest"
	"time"

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
		Expect(client.Transport.(*http.Transport).Proxy).To(BeNil())
	})

	It("rejects a source address that is not an IP address", func() {
		_, err := New(Options{SourceAddress: "here"})
		Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
	})
})
