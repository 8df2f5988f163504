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

// slowAsker takes a pause for each piece of an answer, and notes the most requests that were
// counted against the engine meanwhile.
type slowAsker struct {
	*httptest.ResponseRecorder
	pause  time.Duration
	failed *atomic.Int64
	most   int64
}

func (asker *slowAsker) Write(piece []byte) (int, error) {
	time.Sleep(asker.pause)
	asker.most = max(asker.most, asker.failed.Load())
	return asker.ResponseRecorder.Write(piece)
}

var _ = Describe("Silence of an engine", func() {
	It("is not that of an asker that takes its answer slowly", func() {
		var failed atomic.Int64
		asker := &slowAsker{ResponseRecorder: httptest.NewRecorder(), pause: leastSilence + 200*time.Millisecond, failed: &failed}
		watched := watchSilence(context.Background(), oneEngine{id: "e", failed: &failed}, nil, backend.Instance{ID: "e"})
		defer watched.stop()
		reply := &forward.EngineResponse{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("data: a\n\n"))}
		relay(asker, http.NewResponseController(asker), reply, watched)
		Expect(asker.most).To(BeZero())
		Expect(asker.Body.String()).To(HaveSuffix("data: a\n\n"))
	})
})
