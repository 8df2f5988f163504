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

// wokenViews are those of a node that has just woken: it hears that its engine has left with
// the first reading after that.
type wokenViews struct{ read atomic.Bool }

func (views *wokenViews) Current() bool                   { return views.read.Load() }
func (views *wokenViews) ConfigurationAge() time.Duration { return 0 }

// leavingEngine is known until the views were read.
type leavingEngine struct {
	oneEngine
	views *wokenViews
}

func (engine leavingEngine) Instance(id string) (backend.Instance, bool) {
	return backend.Instance{ID: id}, !engine.views.read.Load()
}

// An egress node that wakes finds requests in its sockets that other nodes handed over before
// or during the freeze. It sent them by what it knew from before.
var _ = Describe("An egress node that was frozen", func() {
	var (
		views   *wokenViews
		sent    atomic.Int64
		handler *Handler
	)

	BeforeEach(func() {
		views = &wokenViews{}
		sent.Store(0)
		var failed atomic.Int64
		handler = &Handler{Engines: leavingEngine{oneEngine: oneEngine{id: "e", failed: &failed}, views: views}, Logger: zap.NewNop(),
			Stopping: func() bool { return false }, Views: views,
			Sender: senderFunc(func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
				sent.Add(1)
				return nil, backend.ErrResponseLost
			})}
	})

	hand := func(ctx context.Context) *httptest.ResponseRecorder {
		content, err := encodeRequest(&forward.Attempt{Call: &forward.Call{ID: "r"}, Engine: backend.Instance{ID: "e"}, Remaining: time.Second})
		Expect(err).NotTo(HaveOccurred())
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, ExchangePath, bytes.NewReader(content)).WithContext(ctx))
		return recorder
	}

	It("sends nothing to an engine that left meanwhile", func() {
		time.AfterFunc(20*time.Millisecond, func() { views.read.Store(true) })
		head, err := readHead(hand(context.Background()).Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Outcome).To(Equal(nodev1.EgressOutcome_EGRESS_OUTCOME_UNKNOWN_ENGINE))
		Expect(sent.Load()).To(BeZero())
	})

	It("sends nothing for a node that has left it since", func() {
		gone, leave := context.WithCancel(context.Background())
		leave()
		hand(gone)
		Expect(sent.Load()).To(BeZero())
	})

	It("counts no answer against its engine that broke off while nothing was read", func() {
		var failed atomic.Int64
		clock := time.Now()
		freezes := freeze.NewDetectorWithClock(func() time.Time { return clock })
		watched := watchSilence(context.Background(), oneEngine{id: "e", failed: &failed}, freezes, backend.Instance{ID: "e"})
		defer watched.stop()
		clock = clock.Add(3 * time.Second)
		watched.broken()
		Expect(failed.Load()).To(BeZero())
	})
})
