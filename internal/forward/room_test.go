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

// busySender holds requests until they are released, and notes how many there were.
type busySender struct {
	asked   atomic.Int64
	release chan struct{}
}

func (sender *busySender) Send(ctx context.Context, _ *forward.Attempt) (*forward.EngineResponse, error) {
	sender.asked.Add(1)
	select {
	case <-sender.release:
		return answerOf(http.StatusOK, strings.NewReader("ok"))()
	case <-ctx.Done():
		return nil, backend.ErrResponseLost
	}
}

// countingBody notes whether it was read to its end.
type countingBody struct {
	io.Reader
	whole *atomic.Bool
}

func (body countingBody) Read(buffer []byte) (int, error) {
	count, err := body.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		body.whole.Store(true)
	}
	return count, err
}

// slowLog notes whether the engine had a place free while a turn was recorded.
type slowLog struct {
	fakePrograms
	directory *backend.Directory
	running   map[string]int
}

func (programs *slowLog) Record(context.Context, *history.Turn) error {
	programs.running = programs.directory.Running()
	return nil
}

var _ = Describe("Calls without room", func() {
	var service *forward.Service
	var directory *backend.Directory
	var meter *fakeMeter
	var logs *observer.ObservedLogs

	BeforeEach(func() {
		core, observed := observer.New(zap.InfoLevel)
		logs = observed
		meter = &fakeMeter{}
		directory = backend.NewDirectory()
		directory.Upsert(backend.Instance{ID: "e1", Service: "s", Address: "e1", Slots: 1}, time.Time{})
		routes := &routing.ActiveConfiguration{}
		share := []routing.Share{{Service: "s", Weight: 1}}
		routes.Apply(routing.New(1, []*routing.Route{
			{Name: "tool", Host: "h", Prefix: "/tool/", Shares: share, Objective: 50 * time.Millisecond},
			{Name: "kept", Host: "h", Prefix: "/kept/", Kind: routing.Streaming, Shares: share, StoresTurns: true, Retention: time.Minute},
		}, []routing.Service{{Name: "s"}}, routing.Limits{}))
		waiting := backend.NewWaitQueue()
		waiting.SetCapacitySource(directory)
		service = &forward.Service{Routes: routes, Engines: directory, WaitQueue: waiting, Meter: meter, Logger: zap.New(core),
			Programs: &fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}},
			Nodes:    func() int { return 1 }, ViewAge: func() time.Duration { return 0 }}
	})

	serve := func(ctx context.Context, path string) *fakeAnswer {
		answer := &fakeAnswer{}
		service.Serve(ctx, &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path, Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}, answer)
		return answer
	}
	failureOf := func(answer *fakeAnswer) *resultcode.Error {
		var failure *resultcode.Error
		Expect(errors.As(answer.failure, &failure)).To(BeTrue())
		return failure
	}
	// fill takes all room: a slot and a place in the queue.
	fill := func() *busySender {
		busy := &busySender{release: make(chan struct{})}
		service.Sender = busy
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() { serve(context.Background(), "/tool/x") })
		}
		Eventually(busy.asked.Load).Should(Equal(int64(2)))
		DeferCleanup(calls.Wait)
		return busy
	}

	It("refuses a call at once whose predicted wait is over its patience, and says when there will be room", func() {
		directory.RecordDuration("s", 10*time.Second)
		busy := fill()
		DeferCleanup(func() { close(busy.release) })
		began := time.Now()
		failure := failureOf(serve(context.Background(), "/tool/x"))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(failure.Code).To(Equal(resultcode.NoBackEnd))
		Expect(failure.RetryAfter).To(BeNumerically("~", 300*time.Millisecond, 20*time.Millisecond), "what its caller can wait for")
		Expect(failureOf(serve(context.Background(), "/tool/x")).RetryAfter).NotTo(Equal(failure.RetryAfter))
		Expect(busy.asked.Load()).To(Equal(int64(2)), "it was not asked")
		Expect(meter.reasons()).To(HaveEach(forward.DeadlineTooClose))
	})

	It("refuses a call with the time to room that it predicts", func() {
		directory.RecordDuration("s", 1200*time.Millisecond)
		busy := fill()
		DeferCleanup(func() { close(busy.release) })
		// One of two that take 1.2 s ends each 0.6 s, and a tool's call waits for half of its time.
		held := make(chan struct{})
		go func() {
			defer close(held)
			serve(context.Background(), "/tool/x")
		}()
		Eventually(func() bool { return service.WaitQueue.HasWaiters("s") }).Should(BeTrue())
		failure := failureOf(serve(context.Background(), "/tool/x"))
		Expect(meter.reasons()).To(Equal([]forward.CapacityRefusal{forward.WaitPredictedTooLong}))
		Expect(failure.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
		line := logs.FilterMessage("call failed").All()[0].ContextMap()
		Expect(line).To(HaveKeyWithValue("ahead", BeNumerically("==", 1)))
		Expect(line).To(HaveKeyWithValue("predicted_wait", 1200*time.Millisecond))
		<-held
	})

	It("lets a call wait that can be served in time, until a request ends", func() {
		directory.RecordDuration("s", 150*time.Millisecond)
		busy := fill()
		answered := make(chan *fakeAnswer)
		go func() { answered <- serve(context.Background(), "/tool/x") }()
		Eventually(func() bool { return service.WaitQueue.HasWaiters("s") }).Should(BeTrue())
		close(busy.release)
		var answer *fakeAnswer
		Eventually(answered).Should(Receive(&answer))
		Expect(answer.ended).To(BeTrue())
		Expect(busy.asked.Load()).To(Equal(int64(3)))
	})

	It("sends nothing for a caller who has left while its call waited", func() {
		busy := fill()
		ctx, leave := context.WithCancel(context.Background())
		over := make(chan struct{})
		go func() {
			defer close(over)
			serve(ctx, "/tool/x")
		}()
		Eventually(func() bool { return service.WaitQueue.HasWaiters("s") }).Should(BeTrue())
		leave()
		Eventually(over).Should(BeClosed())
		Expect(service.WaitQueue.HasWaiters("s")).To(BeFalse())
		close(busy.release)
		Consistently(busy.asked.Load, "100ms").Should(Equal(int64(2)))
	})

	It("asks no engine again without end, and reads refusals whole so that their connections are kept", func() {
		for _, id := range []string{"e2", "e3", "e4", "e5", "e6"} {
			directory.Upsert(backend.Instance{ID: id, Service: "s", Address: id, Slots: 1}, time.Time{})
		}
		var whole atomic.Bool
		sender := &fakeSender{replies: []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) {
			body := countingBody{Reader: strings.NewReader("full"), whole: &whole}
			return &forward.EngineResponse{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(body)}, nil
		}}}
		service.Sender = sender
		failure := failureOf(serve(context.Background(), "/tool/x"))
		Expect(failure.Code).To(Equal(resultcode.NoBackEnd))
		Expect(meter.reasons()).To(Equal([]forward.CapacityRefusal{forward.TooManyRefusals}))
		Expect(sender.sent).To(HaveLen(4))
		Expect(whole.Load()).To(BeTrue())
	})

	It("lets calls past one that waits for room and may not ask", func() {
		for service.RetryBudget.Acquire(time.Now()) {
			continue
		}
		answered := func() (*forward.EngineResponse, error) { return answerOf(http.StatusOK, strings.NewReader("ok"))() }
		service.Sender = &fakeSender{replies: []func() (*forward.EngineResponse, error){refused, answered}}
		held := make(chan struct{})
		go func() {
			defer close(held)
			serve(context.Background(), "/tool/x")
		}()
		Eventually(func() bool { return service.WaitQueue.HasWaiters("s") }).Should(BeTrue())
		began := time.Now()
		Expect(serve(context.Background(), "/tool/x").ended).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond), "a second refills the budget by one")
		<-held
	})

	It("asks on while there are engines without the gates", func() {
		DeferCleanup(func() { _ = feature.Disable("") })
		Expect(feature.Disable("retry-budget,room-by-load")).To(Succeed())
		for _, id := range []string{"e2", "e3", "e4", "e5", "e6"} {
			directory.Upsert(backend.Instance{ID: id, Service: "s", Address: id, Slots: 1}, time.Time{})
		}
		sender := &fakeSender{replies: []func() (*forward.EngineResponse, error){refused}}
		service.Sender = sender
		serve(context.Background(), "/tool/x")
		Expect(len(sender.sent)).To(BeNumerically(">", 6))
	})

	It("tells no time in the past to a call whose time is over by then", func() {
		service.Programs = &fakePrograms{wait: 30 * time.Millisecond,
			reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_UNSURE, RetryAfter: time.Second}}
		answer := &fakeAnswer{}
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/kept/x", Path: "/kept/x", Received: time.Now(),
			Deadline: time.Now().Add(20 * time.Millisecond), Program: "p", Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}, answer)
		Expect(failureOf(answer).Code).To(Equal(resultcode.NoLeader))
		Expect(failureOf(answer).RetryAfter).To(BeNumerically(">=", 0))
	})

	It("frees the engine's place before a turn is recorded", func() {
		programs := &slowLog{fakePrograms: fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}}, directory: directory}
		service.Programs = programs
		service.Sender = &fakeSender{replies: []func() (*forward.EngineResponse, error){answerOf(http.StatusOK, strings.NewReader("data: a\n\n"))}}
		Expect(serve(context.Background(), "/kept/x").ended).To(BeTrue())
		Expect(programs.running).To(BeEmpty())
		Expect(directory.Running()).To(BeEmpty())
	})
})
