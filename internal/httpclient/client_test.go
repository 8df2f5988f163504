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
	It("comes from its source address, by no proxy, and follows no redirect", func() {
		var from string
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			from, _, _ = net.SplitHostPort(request.RemoteAddr)
			http.Redirect(writer, request, "/elsewhere", http.StatusFound)
		}))
		DeferCleanup(server.Close)
		client, err := New(Options{SourceAddress: "127.3.0.9", Timeout: 20 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		answer, err := client.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusFound))
		Expect(from).To(Equal("127.3.0.9"))
		// Go takes no proxy for loopback addresses anyway, so look at the field.
		Expect(client.Transport.(*http.Transport).Proxy).To(BeNil())
	})

	It("refuses a source that is no address", func() {
		_, err := New(Options{SourceAddress: "here"})
		Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
	})
})
