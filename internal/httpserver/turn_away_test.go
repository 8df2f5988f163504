package httpserver

import (
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a server that callers are to leave", func() {
	It("answers, and asks to close the connection, for as long as that holds", func() {
		var away atomic.Bool
		server := start(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("ok"))
		}, Limits{TurnAway: away.Load})
		closes := func() bool {
			answer, err := newClient().Get("http://" + server.Address())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = answer.Body.Close() }()
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
			return answer.Close
		}
		Expect(closes()).To(BeFalse())
		away.Store(true)
		Expect(closes()).To(BeTrue())
		away.Store(false)
		Expect(closes()).To(BeFalse())
	})
})
