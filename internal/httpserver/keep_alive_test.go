package httpserver

import (
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A server with keep-alives disabled", func() {
	It("responds with Connection: close until they are enabled again", func() {
		var disabled atomic.Bool
		server := start(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("ok"))
		}, Limits{DisableKeepAlives: disabled.Load})
		asksToClose := func() bool {
			response, err := newClient().Get("http://" + server.Address())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			return response.Close
		}
		Expect(asksToClose()).To(BeFalse())
		disabled.Store(true)
		Expect(asksToClose()).To(BeTrue())
		disabled.Store(false)
		Expect(asksToClose()).To(BeFalse())
	})
})
