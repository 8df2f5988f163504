package forward_test

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/freeze/freezetest"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// fakeViews returns what the test sets.
type fakeViews struct {
	current  atomic.Bool
	unloaded atomic.Bool
	age      time.Duration
}

func (views *fakeViews) Loaded() bool                    { return !views.unloaded.Load() }
func (views *fakeViews) Current() bool                   { return views.current.Load() }
func (views *fakeViews) ConfigurationAge() time.Duration { return views.age }

// After a freeze, a node must not route by an outdated configuration or list of engines, attribute
// the freeze to the engines' latency, or count engines as failed whose responses wait in sockets.
var _ = Describe("A node that was frozen", func() {
	var (
		service   *forward.Service
		directory *backend.Directory
		sender    *fakeSender
		views     *fakeViews
	)

	BeforeEach(func() {
		directory = backend.NewDirectory()
		directory.Upsert(backend.Instance{ID: "left", Service: "s", Address: "left"}, time.Time{})
		sender = &fakeSender{}
		sender.responses = append(sender.responses, func() (*forward.EngineResponse, error) { return respondWith(200, strings.NewReader("out"))() })
		views = &fakeViews{}
		routes := &routing.ActiveConfiguration{}
		routes.Apply(singleRouteConfiguration(1, "/tool/"))
		service = &forward.Service{Routes: routes, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(), Metrics: noopMetrics{},
			Logger: zap.NewNop(), Nodes: func() int { return 1 }, ViewAge: func() time.Duration { return 0 }, Views: views}
	})

	serve := func(path string) *fakeResponseWriter {
		response := &fakeResponseWriter{}
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path,
			Received: time.Now(), Deadline: time.Now().Add(2 * time.Second)}, response)
		return response
	}

	It("does not send to an engine that was removed during the freeze", func() {
		time.AfterFunc(30*time.Millisecond, func() {
			directory.Remove("left")
			directory.Upsert(backend.Instance{ID: "there", Service: "s", Address: "there"}, time.Now())
			views.current.Store(true)
		})
		Expect(serve("/tool/x").status).To(Equal(200))
		Expect(sender.sent[0].Engine.ID).To(Equal("there"))
	})

	It("does not deny a route that was added during the freeze", func() {
		time.AfterFunc(30*time.Millisecond, func() {
			service.Routes.Apply(singleRouteConfiguration(2, "/new/"))
			views.current.Store(true)
		})
		Expect(serve("/new/x").status).To(Equal(200))
	})

	It("waits for its first configuration after the start", func() {
		service.Routes = &routing.ActiveConfiguration{}
		service.Started = time.Now()
		views.unloaded.Store(true)
		views.current.Store(true)
		time.AfterFunc(60*time.Millisecond, func() {
			service.Routes.Apply(singleRouteConfiguration(1, "/tool/"))
			views.unloaded.Store(false)
		})
		Expect(serve("/tool/x").status).To(Equal(200))
	})

	It("refuses at once if it has found no configuration long after the start", func() {
		service.Routes = &routing.ActiveConfiguration{}
		service.Started = time.Now().Add(-time.Minute)
		views.unloaded.Store(true)
		views.current.Store(true)
		began := time.Now()
		response := serve("/tool/x")
		Expect(resultcode.CodeOf(response.failure)).To(Equal(resultcode.ConfigurationStale))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	})

	It("continues with its old views if they are not refreshed", func() {
		began := time.Now()
		Expect(serve("/tool/x").status).To(Equal(200))
		Expect(time.Since(began)).To(BeNumerically(">=", 300*time.Millisecond))
	})

	It("returns a retryable error instead of a denial if its configuration is outdated", func() {
		views.current.Store(true)
		views.age = time.Second
		Expect(resultcode.CodeOf(serve("/new/x").failure)).To(Equal(resultcode.UnknownRoute))
		views.age = 9 * time.Second
		var failure *resultcode.Error
		Expect(errors.As(serve("/new/x").failure, &failure)).To(BeTrue())
		Expect(failure.Code).To(Equal(resultcode.ConfigurationStale))
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
	})

	It("chooses an engine again for a call that a freeze delayed before it was sent, and counts no failure", func() {
		views.current.Store(true)
		frozen := true
		sender.responses = nil
		sender.responses = append(sender.responses, func() (*forward.EngineResponse, error) {
			if frozen {
				frozen = false
				return nil, backend.ErrProcessFrozen
			}
			return respondWith(200, strings.NewReader("out"))()
		})
		Expect(serve("/tool/x").status).To(Equal(200))
		Expect(sender.sent).To(HaveLen(2))
		Expect(directory.Avoided(time.Now())).To(BeEmpty())
	})

	It("reports to its sender that it was frozen since the engine was chosen", func() {
		views.current.Store(true)
		frozen := []bool{}
		for _, detector := range []*freeze.Detector{nil, freezetest.JustResumed(0), resumingAfter(time.Minute)} {
			service.FreezeDetector = detector
			sender.sent = nil
			serve("/tool/x")
			frozen = append(frozen, sender.sent[0].Frozen())
		}
		Expect(frozen).To(Equal([]bool{false, false, true}))
	})

	It("takes no measurements of engines from requests that were in flight during a freeze", func() {
		views.current.Store(true)
		service.FreezeDetector = resumingAfter(time.Minute)
		for range 10 {
			serve("/tool/x")
		}
		Expect(directory.MeanDuration("s")).To(BeZero())
		Expect(directory.FirstByteTimeout("s")).To(BeZero())
		service.FreezeDetector = nil
		serve("/tool/x")
		Expect(directory.MeanDuration("s")).NotTo(BeZero())
		Expect(directory.FirstByteTimeout("s")).NotTo(BeZero())
	})

	It("does not count a response that was interrupted during a freeze against its engine", func() {
		views.current.Store(true)
		service.FreezeDetector = resumingAfter(time.Minute)
		sender.responses = nil
		sender.responses = append(sender.responses, func() (*forward.EngineResponse, error) { return nil, backend.ErrResponseLost })
		for range 4 {
			Expect(resultcode.CodeOf(serve("/tool/x").failure)).To(Equal(resultcode.OutcomeUnknown))
		}
		Expect(directory.Avoided(time.Now())).To(BeEmpty())
	})
})

// resumingAfter returns the detector of a process that resumes from a freeze at a time in the
// future, so that every request spans the freeze.
func resumingAfter(delay time.Duration) *freeze.Detector {
	start := time.Now()
	clock := start
	detector := freeze.NewDetectorWithClock(func() time.Time { return clock })
	clock = start.Add(delay)
	return detector
}

// singleRouteConfiguration returns a configuration with one route.
func singleRouteConfiguration(version int64, prefix string) *routing.Configuration {
	return routing.New(version, []*routing.Route{
		{Name: "tool", Host: "h", Prefix: prefix, Shares: []routing.Share{{Service: "s", Weight: 1}}, Objective: 50 * time.Millisecond},
	}, []routing.Service{{Name: "s"}}, routing.Limits{})
}
