package egress

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/freeze"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// staleViews are not current until refreshed, as after a freeze.
type staleViews struct{ refreshed atomic.Bool }

func (views *staleViews) Loaded() bool                    { return true }
func (views *staleViews) Current() bool                   { return views.refreshed.Load() }
func (views *staleViews) ConfigurationAge() time.Duration { return 0 }

// removedEngine is known until the views are refreshed.
type removedEngine struct {
	oneEngine
	views *staleViews
}

func (engine removedEngine) Instance(id string) (backend.Instance, bool) {
	return backend.Instance{ID: id}, !engine.views.refreshed.Load()
}

// After a freeze, an egress node finds requests in its sockets that other nodes delegated before
// or during the freeze. It must not send them on outdated views.
var _ = Describe("An egress node that was frozen", func() {
	var (
		views   *staleViews
		sent    atomic.Int64
		handler *Handler
	)

	BeforeEach(func() {
		views = &staleViews{}
		sent.Store(0)
		var failed atomic.Int64
		handler = &Handler{Engines: removedEngine{oneEngine: oneEngine{id: "e", failed: &failed}, views: views}, Logger: zap.NewNop(),
			Stopping: func() bool { return false }, Views: views,
			Sender: senderFunc(func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
				sent.Add(1)
				return nil, backend.ErrResponseLost
			})}
	})

	delegate := func(ctx context.Context) *httptest.ResponseRecorder {
		content, err := encodeRequest(&forward.Attempt{Call: &forward.Call{ID: "r"}, Engine: backend.Instance{ID: "e"}, Remaining: time.Second})
		Expect(err).NotTo(HaveOccurred())
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, ExchangePath, bytes.NewReader(content)).WithContext(ctx))
		return recorder
	}

	It("does not send to an engine that was removed during the freeze", func() {
		time.AfterFunc(20*time.Millisecond, func() { views.refreshed.Store(true) })
		head, err := readHead(delegate(context.Background()).Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Outcome).To(Equal(nodev1.EgressOutcome_EGRESS_OUTCOME_UNKNOWN_ENGINE))
		Expect(sent.Load()).To(BeZero())
	})

	It("does not send for a requesting node that is gone", func() {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		delegate(canceled)
		Expect(sent.Load()).To(BeZero())
	})

	It("does not count a response that was interrupted during the freeze against its engine", func() {
		var failed atomic.Int64
		clock := time.Now()
		freezeDetector := freeze.NewDetectorWithClock(func() time.Time { return clock })
		monitor := startStallMonitor(context.Background(), oneEngine{id: "e", failed: &failed}, freezeDetector, backend.Instance{ID: "e"})
		defer monitor.stop()
		clock = clock.Add(3 * time.Second)
		monitor.responseInterrupted()
		Expect(failed.Load()).To(BeZero())
	})
})
