package forward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// blockingSender blocks requests until release is closed, and counts them.
type blockingSender struct {
	attempts atomic.Int64
	release  chan struct{}
}

func (sender *blockingSender) Send(ctx context.Context, _ *forward.Attempt) (*forward.EngineResponse, error) {
	sender.attempts.Add(1)
	select {
	case <-sender.release:
		return respondWith(http.StatusOK, strings.NewReader("ok"))()
	case <-ctx.Done():
		return nil, backend.ErrResponseLost
	}
}

// drainTrackingBody records whether it was read to its end.
type drainTrackingBody struct {
	io.Reader
	drained *atomic.Bool
}

func (body drainTrackingBody) Read(buffer []byte) (int, error) {
	count, err := body.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		body.drained.Store(true)
	}
	return count, err
}

// slotObservingPrograms records which engines were busy while a turn was recorded.
type slotObservingPrograms struct {
	fakePrograms
	directory *backend.Directory
	running   map[string]int
}

func (programs *slotObservingPrograms) Record(context.Context, *history.Turn) error {
	programs.running = programs.directory.Running()
	return nil
}

var _ = Describe("Calls without an engine with capacity", func() {
	var service *forward.Service
	var directory *backend.Directory
	var metrics *fakeMetrics
	var logs *observer.ObservedLogs

	BeforeEach(func() {
		core, observed := observer.New(zap.InfoLevel)
		logs = observed
		metrics = &fakeMetrics{}
		directory = backend.NewDirectory()
		directory.Upsert(backend.Instance{ID: "e1", Service: "s", Address: "e1", Slots: 1}, time.Time{})
		routes := &routing.ActiveConfiguration{}
		share := []routing.Share{{Service: "s", Weight: 1}}
		routes.Apply(routing.New(1, []*routing.Route{
			{Name: "tool", Host: "h", Prefix: "/tool/", Shares: share, Objective: 50 * time.Millisecond},
			{Name: "kept", Host: "h", Prefix: "/kept/", Kind: routing.Streaming, Shares: share, StoresTurns: true, Retention: time.Minute},
		}, []routing.Service{{Name: "s"}}, routing.Limits{}))
		waitQueue := backend.NewWaitQueue()
		waitQueue.SetCapacitySource(directory)
		service = &forward.Service{Routes: routes, Engines: directory, WaitQueue: waitQueue, Metrics: metrics, Logger: zap.New(core),
			Programs: &fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}},
			Nodes:    func() int { return 1 }, ViewAge: func() time.Duration { return 0 }}
	})

	serve := func(ctx context.Context, path string) *fakeResponseWriter {
		response := &fakeResponseWriter{}
		service.Serve(ctx, &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path, Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}, response)
		return response
	}
	failureOf := func(response *fakeResponseWriter) *resultcode.Error {
		var failure *resultcode.Error
		Expect(errors.As(response.failure, &failure)).To(BeTrue())
		return failure
	}
	// fill occupies all capacity: a slot and a place in the engine's queue.
	fill := func() *blockingSender {
		busy := &blockingSender{release: make(chan struct{})}
		service.Sender = busy
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() { serve(context.Background(), "/tool/x") })
		}
		Eventually(busy.attempts.Load).Should(Equal(int64(2)))
		DeferCleanup(calls.Wait)
		return busy
	}

	It("refuses a call at once if its predicted wait is too long, and returns a retry delay", func() {
		directory.RecordDuration("s", 10*time.Second)
		busy := fill()
		DeferCleanup(func() { close(busy.release) })
		began := time.Now()
		failure := failureOf(serve(context.Background(), "/tool/x"))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(failure.Code).To(Equal(resultcode.NoBackEnd))
		Expect(failure.RetryAfter).To(BeNumerically("~", 300*time.Millisecond, 20*time.Millisecond), "limited to what the caller can wait for")
		Expect(failureOf(serve(context.Background(), "/tool/x")).RetryAfter).NotTo(Equal(failure.RetryAfter))
		Expect(busy.attempts.Load()).To(Equal(int64(2)), "the engine got no request")
		Expect(metrics.reasons()).To(HaveEach(forward.DeadlineTooClose))
	})

	It("logs of a turn how large its program is and how many turns it was granted", func() {
		service.Programs = &fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_SPENT, TurnsGranted: 7}}
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/kept/x", Path: "/kept/x", Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100, PromptTokens: 300}}, &fakeResponseWriter{})
		entry := logs.FilterMessage("call failed").All()[0].ContextMap()
		Expect(entry).To(HaveKeyWithValue("budget", BeNumerically("==", 1000)))
		Expect(entry).To(HaveKeyWithValue("most", BeNumerically("==", 100)))
		Expect(entry).To(HaveKeyWithValue("prompt", BeNumerically("==", 300)))
		Expect(entry).To(HaveKeyWithValue("turns", BeNumerically("==", 7)))
		Expect(entry).To(HaveKeyWithValue("code", BeNumerically("==", resultcode.ProgramCapReached)))
	})

	It("refuses a call with the predicted time until there is capacity", func() {
		directory.RecordDuration("s", 1200*time.Millisecond)
		busy := fill()
		DeferCleanup(func() { close(busy.release) })
		// One of the two requests of 1.2 s ends every 0.6 s; a tool call waits for half of its time.
		done := make(chan struct{})
		go func() {
			defer close(done)
			serve(context.Background(), "/tool/x")
		}()
		Eventually(func() bool { return service.WaitQueue.HasWaiters("s") }).Should(BeTrue())
		failure := failureOf(serve(context.Background(), "/tool/x"))
		Expect(metrics.reasons()).To(Equal([]forward.CapacityRefusal{forward.WaitPredictedTooLong}))
		Expect(failure.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
		entry := logs.FilterMessage("call failed").All()[0].ContextMap()
		Expect(entry).To(HaveKeyWithValue("ahead", BeNumerically("==", 1)))
		Expect(entry).To(HaveKeyWithValue("predicted_wait", 1200*time.Millisecond))
		<-done
	})

	It("lets a call wait until a request ends if it can be served in time", func() {
		directory.RecordDuration("s", 150*time.Millisecond)
		busy := fill()
		responses := make(chan *fakeResponseWriter)
		go func() { responses <- serve(context.Background(), "/tool/x") }()
		Eventually(func() bool { return service.WaitQueue.HasWaiters("s") }).Should(BeTrue())
		close(busy.release)
		var response *fakeResponseWriter
		Eventually(responses).Should(Receive(&response))
		Expect(response.ended).To(BeTrue())
		Expect(busy.attempts.Load()).To(Equal(int64(3)))
	})

	It("sends nothing for a caller that canceled while its call waited", func() {
		busy := fill()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			serve(ctx, "/tool/x")
		}()
		Eventually(func() bool { return service.WaitQueue.HasWaiters("s") }).Should(BeTrue())
		cancel()
		Eventually(done).Should(BeClosed())
		Expect(service.WaitQueue.HasWaiters("s")).To(BeFalse())
		close(busy.release)
		Consistently(busy.attempts.Load, "100ms").Should(Equal(int64(2)))
	})

	It("limits attempts after refusals, and reads refusals to the end so that connections are reused", func() {
		for _, id := range []string{"e2", "e3", "e4", "e5", "e6"} {
			directory.Upsert(backend.Instance{ID: id, Service: "s", Address: id, Slots: 1}, time.Time{})
		}
		var drained atomic.Bool
		sender := &fakeSender{responses: []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) {
			body := drainTrackingBody{Reader: strings.NewReader("full"), drained: &drained}
			return &forward.EngineResponse{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(body)}, nil
		}}}
		service.Sender = sender
		failure := failureOf(serve(context.Background(), "/tool/x"))
		Expect(failure.Code).To(Equal(resultcode.NoBackEnd))
		Expect(metrics.reasons()).To(Equal([]forward.CapacityRefusal{forward.TooManyRefusals}))
		Expect(sender.sent).To(HaveLen(4))
		Expect(drained.Load()).To(BeTrue())
	})

	It("lets other calls pass one that waits without a remaining attempt", func() {
		for service.RetryBudget.Acquire(time.Now()) {
			continue
		}
		respondOK := func() (*forward.EngineResponse, error) { return respondWith(http.StatusOK, strings.NewReader("ok"))() }
		service.Sender = &fakeSender{responses: []func() (*forward.EngineResponse, error){refuse, respondOK}}
		done := make(chan struct{})
		go func() {
			defer close(done)
			serve(context.Background(), "/tool/x")
		}()
		Eventually(func() bool { return service.WaitQueue.HasWaiters("s") }).Should(BeTrue())
		began := time.Now()
		Expect(serve(context.Background(), "/tool/x").ended).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond), "the budget is refilled by one per second")
		<-done
	})

	It("keeps trying engines if the features are disabled", func() {
		DeferCleanup(func() { _ = feature.Disable("") })
		Expect(feature.Disable("retry-budget,room-by-load")).To(Succeed())
		for _, id := range []string{"e2", "e3", "e4", "e5", "e6"} {
			directory.Upsert(backend.Instance{ID: id, Service: "s", Address: id, Slots: 1}, time.Time{})
		}
		sender := &fakeSender{responses: []func() (*forward.EngineResponse, error){refuse}}
		service.Sender = sender
		serve(context.Background(), "/tool/x")
		Expect(len(sender.sent)).To(BeNumerically(">", 6))
	})

	It("returns no negative retry delay to a call whose deadline has passed", func() {
		service.Programs = &fakePrograms{wait: 30 * time.Millisecond,
			reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_UNSURE, RetryAfter: time.Second}}
		response := &fakeResponseWriter{}
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/kept/x", Path: "/kept/x", Received: time.Now(),
			Deadline: time.Now().Add(20 * time.Millisecond), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}, response)
		Expect(failureOf(response).Code).To(Equal(resultcode.NoLeader))
		Expect(failureOf(response).RetryAfter).To(BeNumerically(">=", 0))
	})

	It("frees the engine's slot before a turn is recorded", func() {
		programs := &slotObservingPrograms{fakePrograms: fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}}, directory: directory}
		service.Programs = programs
		service.Sender = &fakeSender{responses: []func() (*forward.EngineResponse, error){respondWith(http.StatusOK, strings.NewReader("data: a\n\n"))}}
		Expect(serve(context.Background(), "/kept/x").ended).To(BeTrue())
		Expect(programs.running).To(BeEmpty())
		Expect(directory.Running()).To(BeEmpty())
	})
})
