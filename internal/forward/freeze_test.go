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

// fakeViews are as current and as old as a test says.
type fakeViews struct {
	current atomic.Bool
	age     time.Duration
}

func (views *fakeViews) Current() bool                   { return views.current.Load() }
func (views *fakeViews) ConfigurationAge() time.Duration { return views.age }

// A scheduler that had just woken sent a call to an engine that had left during the freeze, by
// what it had known before. Nodes were found to do the same by reading: a call that came at the
// wake was routed by the old configuration and sent to an engine of the old list, what was
// measured over the freeze counted as the engines' slowness, and timers that fired at the wake
// counted engines as silent whose answers lay in the sockets.
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
		sender.replies = append(sender.replies, func() (*forward.EngineResponse, error) { return answerOf(200, strings.NewReader("out"))() })
		views = &fakeViews{}
		routes := &routing.ActiveConfiguration{}
		routes.Apply(oldRoutes(1, "/tool/"))
		service = &forward.Service{Routes: routes, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(), Meter: silentMeter{},
			Logger: zap.NewNop(), Nodes: func() int { return 1 }, ViewAge: func() time.Duration { return 0 }, Views: views}
	})

	serve := func(path string) *fakeAnswer {
		answer := &fakeAnswer{}
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path,
			Received: time.Now(), Deadline: time.Now().Add(2 * time.Second)}, answer)
		return answer
	}

	It("sends nothing by the list of engines from before the freeze", func() {
		time.AfterFunc(30*time.Millisecond, func() {
			directory.Remove("left")
			directory.Upsert(backend.Instance{ID: "there", Service: "s", Address: "there"}, time.Now())
			views.current.Store(true)
		})
		Expect(serve("/tool/x").status).To(Equal(200))
		Expect(sender.sent[0].Engine.ID).To(Equal("there"))
	})

	It("denies no route by the configuration from before the freeze", func() {
		time.AfterFunc(30*time.Millisecond, func() {
			service.Routes.Apply(oldRoutes(2, "/new/"))
			views.current.Store(true)
		})
		Expect(serve("/new/x").status).To(Equal(200))
	})

	It("goes on by what it knows where nothing newer is to be had", func() {
		began := time.Now()
		Expect(serve("/tool/x").status).To(Equal(200))
		Expect(time.Since(began)).To(BeNumerically(">=", 300*time.Millisecond))
	})

	It("denies nothing by a configuration that was not confirmed for long, and says so", func() {
		views.current.Store(true)
		views.age = time.Second
		Expect(resultcode.CodeOf(serve("/new/x").failure)).To(Equal(resultcode.UnknownRoute))
		views.age = 9 * time.Second
		var failure *resultcode.Error
		Expect(errors.As(serve("/new/x").failure, &failure)).To(BeTrue())
		Expect(failure.Code).To(Equal(resultcode.ConfigurationStale))
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
	})

	It("chooses an engine anew for a call that was held up before it was sent, and blames none", func() {
		views.current.Store(true)
		held := true
		sender.replies = nil
		sender.replies = append(sender.replies, func() (*forward.EngineResponse, error) {
			if held {
				held = false
				return nil, backend.ErrProcessFrozen
			}
			return answerOf(200, strings.NewReader("out"))()
		})
		Expect(serve("/tool/x").status).To(Equal(200))
		Expect(sender.sent).To(HaveLen(2))
		Expect(directory.Avoided(time.Now())).To(BeEmpty())
	})

	It("tells its sender that it was frozen since the engine was chosen", func() {
		views.current.Store(true)
		heldUp := []bool{}
		for _, freezes := range []*freeze.Detector{nil, freezetest.JustWoken(0), wokenSoon(time.Minute)} {
			service.FreezeDetector = freezes
			sender.sent = nil
			serve("/tool/x")
			heldUp = append(heldUp, sender.sent[0].Frozen())
		}
		Expect(heldUp).To(Equal([]bool{false, false, true}))
	})

	It("learns nothing of engines from requests that were under way in the freeze", func() {
		views.current.Store(true)
		service.FreezeDetector = wokenSoon(time.Minute)
		for range 10 {
			serve("/tool/x")
		}
		Expect(directory.TypicalDuration("s")).To(BeZero())
		Expect(directory.FirstByteTimeout("s")).To(BeZero())
		service.FreezeDetector = nil
		serve("/tool/x")
		Expect(directory.TypicalDuration("s")).NotTo(BeZero())
		Expect(directory.FirstByteTimeout("s")).NotTo(BeZero())
	})

	It("counts nothing against an engine that broke off while the node could not read", func() {
		views.current.Store(true)
		service.FreezeDetector = wokenSoon(time.Minute)
		sender.replies = nil
		sender.replies = append(sender.replies, func() (*forward.EngineResponse, error) { return nil, backend.ErrResponseLost })
		for range 4 {
			Expect(resultcode.CodeOf(serve("/tool/x").failure)).To(Equal(resultcode.OutcomeUnknown))
		}
		Expect(directory.Avoided(time.Now())).To(BeEmpty())
	})
})

// wokenSoon is the watch of a process whose requests all have a freeze in them: it goes on a
// time from now.
func wokenSoon(ahead time.Duration) *freeze.Detector {
	begun := time.Now()
	clock := begun
	watch := freeze.NewDetectorWithClock(func() time.Time { return clock })
	clock = begun.Add(ahead)
	return watch
}

// oldRoutes is a version of the configuration with one route.
func oldRoutes(version int64, prefix string) *routing.Configuration {
	return routing.New(version, []*routing.Route{
		{Name: "tool", Host: "h", Prefix: prefix, Shares: []routing.Share{{Service: "s", Weight: 1}}, Objective: 50 * time.Millisecond},
	}, []routing.Service{{Name: "s"}}, routing.Limits{})
}
