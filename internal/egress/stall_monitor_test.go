package egress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// slowRequester is a requesting node that reads slowly. It records the highest number of failed
// requests that were counted meanwhile.
type slowRequester struct {
	*httptest.ResponseRecorder
	delay     time.Duration
	failed    *atomic.Int64
	maxFailed int64
}

func (requester *slowRequester) Write(data []byte) (int, error) {
	time.Sleep(requester.delay)
	requester.maxFailed = max(requester.maxFailed, requester.failed.Load())
	return requester.ResponseRecorder.Write(data)
}

var _ = Describe("Stall monitor", func() {
	It("does not count the time that the requesting node takes to read", func() {
		var failed atomic.Int64
		requester := &slowRequester{ResponseRecorder: httptest.NewRecorder(), delay: minStallTimeout + 200*time.Millisecond, failed: &failed}
		monitor := startStallMonitor(context.Background(), oneEngine{id: "e", failed: &failed}, nil, backend.Instance{ID: "e"})
		defer monitor.stop()
		response := &forward.EngineResponse{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("data: a\n\n"))}
		relay(requester, http.NewResponseController(requester), response, monitor)
		Expect(requester.maxFailed).To(BeZero())
		Expect(requester.Body.String()).To(HaveSuffix("data: a\n\n"))
	})
})
