package forward_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// fakeSender returns the given responses in order, and the last one for all further attempts.
type fakeSender struct {
	responses []func() (*forward.EngineResponse, error)
	// mutex guards sent.
	mutex sync.Mutex
	sent  []*forward.Attempt
}

func (sender *fakeSender) Send(_ context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	return sender.next(attempt)()
}

func (sender *fakeSender) next(attempt *forward.Attempt) func() (*forward.EngineResponse, error) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	respond := sender.responses[min(len(sender.sent), len(sender.responses)-1)]
	sender.sent = append(sender.sent, attempt)
	return respond
}

func respondWith(status int, body io.Reader) func() (*forward.EngineResponse, error) {
	return func() (*forward.EngineResponse, error) {
		return &forward.EngineResponse{Status: status, Header: http.Header{}, Body: io.NopCloser(body)}, nil
	}
}

func refuse() (*forward.EngineResponse, error) {
	return &forward.EngineResponse{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

var errInterrupted = errors.New("interrupted")

// interruptedReader returns its bytes and then fails.
type interruptedReader struct{ io.Reader }

func (reader interruptedReader) Read(buffer []byte) (int, error) {
	count, err := reader.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = errInterrupted
	}
	return count, err
}

// refusingSender refuses all attempts and counts them.
type refusingSender struct{ attempts atomic.Int64 }

func (sender *refusingSender) Send(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
	sender.attempts.Add(1)
	return refuse()
}

// barrierSender responds once the expected number of attempts has arrived.
type barrierSender struct {
	respond func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error)
	arrived sync.WaitGroup
}

func (sender *barrierSender) Send(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	sender.arrived.Done()
	sender.arrived.Wait()
	return sender.respond(ctx, attempt)
}

// hangingSender hangs on the first attempt and responds to the others.
type hangingSender struct {
	hang    func(ctx context.Context) (*forward.EngineResponse, error)
	then    func() (*forward.EngineResponse, error)
	engines []string
}

func (sender *hangingSender) Send(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	sender.engines = append(sender.engines, attempt.Engine.ID)
	if len(sender.engines) == 1 {
		return sender.hang(ctx)
	}
	return sender.then()
}

// pacedEvents returns events some milliseconds apart, as engines do.
type pacedEvents struct{ remaining int }

func (events *pacedEvents) Read(buffer []byte) (int, error) {
	if events.remaining == 0 {
		return 0, io.EOF
	}
	events.remaining--
	time.Sleep(3 * time.Millisecond)
	return copy(buffer, "data: a\n\n"), nil
}

// fakePrograms returns the given reservation and records all calls.
type fakePrograms struct {
	reservation forward.Reservation
	// mutex guards the fields that follow.
	mutex sync.Mutex
	// reserveCalls counts the calls of Reserve, requests are their arguments.
	reserveCalls int
	requests     []*forward.ReservationRequest
	settled      []int64
	// failedEngine is that of the last Settle call.
	failedEngine string
	// recordTime is that of the last Settle call.
	recordTime  time.Duration
	recorded    []*history.Turn
	recordError error
	wait        time.Duration
}

func (programs *fakePrograms) Reserve(_ context.Context, request *forward.ReservationRequest) forward.Reservation {
	programs.mutex.Lock()
	programs.reserveCalls++
	programs.requests = append(programs.requests, request)
	programs.mutex.Unlock()
	time.Sleep(programs.wait)
	return programs.reservation
}

func (programs *fakePrograms) Settle(_ *forward.Call, _ forward.Grant, end forward.TurnResult) {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	programs.settled = append(programs.settled, end.Tokens)
	programs.failedEngine = end.FailedEngine
	programs.recordTime = end.RecordTime
}

func (programs *fakePrograms) Record(_ context.Context, turn *history.Turn) error {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	programs.recorded = append(programs.recorded, turn)
	return programs.recordError
}

// noopPrograms grants everything and records nothing.
type noopPrograms struct{}

func (*noopPrograms) Reserve(context.Context, *forward.ReservationRequest) forward.Reservation {
	return forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}
}
func (*noopPrograms) Settle(*forward.Call, forward.Grant, forward.TurnResult) {}
func (*noopPrograms) Record(context.Context, *history.Turn) error             { return nil }

// noopMetrics records nothing.
type noopMetrics struct{}

func (noopMetrics) Finished(routing.Kind, resultcode.Code, time.Duration)      {}
func (noopMetrics) FirstEvent(time.Duration)                                   {}
func (noopMetrics) TurnFinished(string, *forward.TurnRequest, resultcode.Code) {}
func (noopMetrics) RefusedForCapacity(string, forward.CapacityRefusal)         {}
func (noopMetrics) Resumed(forward.Resumption)                                 {}

// fakeResponseWriter records the response. Abort panics, as the real one does.
type fakeResponseWriter struct {
	status  int
	body    bytes.Buffer
	ended   bool
	aborted bool
	failure error
}

func (writer *fakeResponseWriter) Begin(status int, _ http.Header) error {
	writer.status = status
	return nil
}
func (writer *fakeResponseWriter) Write(data []byte) error { writer.body.Write(data); return nil }
func (writer *fakeResponseWriter) End()                    { writer.ended = true }
func (writer *fakeResponseWriter) Abort()                  { writer.aborted = true; panic(http.ErrAbortHandler) }
func (writer *fakeResponseWriter) Fail(err error)          { writer.failure = err }

// slowResponseWriter delays each write.
type slowResponseWriter struct {
	fakeResponseWriter
	delay time.Duration
}

func (writer *slowResponseWriter) Write(data []byte) error {
	time.Sleep(writer.delay)
	return writer.fakeResponseWriter.Write(data)
}

// fakeMetrics records the result codes and the reasons for refusals.
type fakeMetrics struct {
	mutex    sync.Mutex
	codes    []resultcode.Code
	refusals []forward.CapacityRefusal
}

func (metrics *fakeMetrics) Finished(_ routing.Kind, code resultcode.Code, _ time.Duration) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	metrics.codes = append(metrics.codes, code)
}
func (metrics *fakeMetrics) FirstEvent(time.Duration) {}

// reasons returns the reasons for the refusals so far.
func (metrics *fakeMetrics) reasons() []forward.CapacityRefusal {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	return slices.Clone(metrics.refusals)
}

func (metrics *fakeMetrics) Resumed(forward.Resumption) {}

func (metrics *fakeMetrics) TurnFinished(string, *forward.TurnRequest, resultcode.Code) {}

func (metrics *fakeMetrics) RefusedForCapacity(_ string, reason forward.CapacityRefusal) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	metrics.refusals = append(metrics.refusals, reason)
}

var _ = Describe("Service", func() {
	var sender *fakeSender
	var programs *fakePrograms
	var metrics *fakeMetrics
	var logs *observer.ObservedLogs
	var service *forward.Service
	var directory *backend.Directory

	BeforeEach(func() {
		core, observed := observer.New(zap.InfoLevel)
		logs = observed
		sender = &fakeSender{}
		programs = &fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}}
		metrics = &fakeMetrics{}
		directory = backend.NewDirectory()
		for _, id := range []string{"e1", "e2", "e3"} {
			directory.Upsert(backend.Instance{ID: id, Service: "s", Address: id}, time.Time{})
		}
		routes := &routing.ActiveConfiguration{}
		share := []routing.Share{{Service: "s", Weight: 1}}
		routes.Apply(routing.New(1, []*routing.Route{
			{Name: "kept", Host: "h", Prefix: "/kept/", Kind: routing.Streaming, Shares: share, StoresTurns: true, Retention: time.Minute},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Streaming, Shares: share},
			{Name: "tool", Host: "h", Prefix: "/tool/", Shares: share, Objective: 50 * time.Millisecond},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routing.Safe, Shares: share, MaxAttempts: 2},
		}, []routing.Service{{Name: "s", TokensPerEvent: 9}}, routing.Limits{}))
		service = &forward.Service{Routes: routes, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(), Programs: programs, Metrics: metrics,
			Logger: zap.New(core), Nodes: func() int { return 1 }, ViewAge: func() time.Duration { return 0 }}
	})

	serve := func(path string) *fakeResponseWriter {
		response := &fakeResponseWriter{}
		call := &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path, Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second), Program: "p", Body: []byte("in"),
			Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}
		func() {
			defer func() { _ = recover() }()
			service.Serve(context.Background(), call, response)
		}()
		return response
	}
	logLines := func(event string) int { return logs.FilterMessage(event).Len() }

	It("returns a short retry delay during startup, and a long one if it then has no configuration", func() {
		service.Routes = &routing.ActiveConfiguration{}
		wait := func(since time.Duration) time.Duration {
			service.Started = time.Now().Add(-since)
			var failure *resultcode.Error
			Expect(errors.As(serve("/stream/x").failure, &failure)).To(BeTrue())
			Expect(failure.Code).To(Equal(resultcode.ConfigurationStale))
			return failure.RetryAfter
		}
		Expect(wait(0)).To(Equal(150 * time.Millisecond))
		Expect(wait(200 * time.Millisecond)).To(Equal(1200 * time.Millisecond))
		Expect(wait(time.Second)).To(Equal(1200 * time.Millisecond))
		Expect(wait(time.Minute)).To(Equal(1200 * time.Millisecond))
	})

	It("does not resend a turn that an egress node may have sent, and counts no engine as failed", func() {
		sender.responses = []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) { return nil, backend.ErrNodeLost }}
		for range 4 {
			sender.sent = nil
			Expect(resultcode.CodeOf(serve("/stream/x").failure)).To(Equal(resultcode.OutcomeUnknown))
			Expect(sender.sent).To(HaveLen(1))
		}
		Expect(directory.Avoided(time.Now())).To(BeEmpty())
	})

	It("avoids an engine without a first byte, while the request waits and after its caller gave up", func() {
		sender.responses = []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) {
			time.Sleep(700 * time.Millisecond)
			Expect(directory.Avoided(time.Now())).To(HaveLen(1))
			time.Sleep(1400 * time.Millisecond) // Until after the deadline.
			return nil, backend.ErrResponseLost
		}}
		serve("/stream/x")
		Expect(logLines("engine suspected")).To(Equal(1))
		Expect(directory.Avoided(time.Now().Add(500 * time.Millisecond))).To(HaveLen(1))
	})

	It("counts server errors against the engine, reports it to the owner, and relays the response", func() {
		failed := func() (*forward.EngineResponse, error) { return respondWith(500, strings.NewReader("no"))() }
		sender.responses = []func() (*forward.EngineResponse, error){failed}
		for range 6 {
			response := serve("/stream/x")
			Expect(response.status).To(Equal(500))
			Expect(response.ended).To(BeTrue())
			Expect(programs.failedEngine).To(Equal(sender.sent[len(sender.sent)-1].Engine.ID))
		}
		Expect(sender.sent).To(HaveLen(6))
		Expect(directory.Avoided(time.Now())).NotTo(BeEmpty())
	})

	DescribeTable("counts failures against an engine, but not those that may be an egress node's",
		func(expected int, respond func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error)) {
			barrier := &barrierSender{respond: respond}
			barrier.arrived.Add(3)
			service.Sender = barrier
			service.Programs = &noopPrograms{}
			service.Metrics = noopMetrics{}
			var calls sync.WaitGroup
			for range 3 {
				calls.Go(func() { serve("/stream/x") })
			}
			ended := make(chan struct{})
			go func() {
				calls.Wait()
				close(ended)
			}()
			maxOpen := 0
			observe := func() {
				directory.Healthy("s", nil, time.Now())
				maxOpen = max(maxOpen, directory.OpenBreakers()["s"])
			}
			Eventually(func() chan struct{} { observe(); return ended }, 5*time.Second, 50*time.Millisecond).Should(BeClosed())
			observe()
			Expect(maxOpen).To(Equal(expected))
		},
		Entry("an interrupted stream", 1, func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			return respondWith(200, interruptedReader{strings.NewReader("data: a\n\n")})()
		}),
		Entry("an interrupted stream from an egress node", 0, func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			response, err := respondWith(200, interruptedReader{strings.NewReader("data: a\n\n")})()
			response.Via = "node-2"
			return response, err
		}),
		Entry("a stalled stream", 1, func(ctx context.Context, _ *forward.Attempt) (*forward.EngineResponse, error) {
			body, engine := io.Pipe()
			go func() {
				_, _ = io.WriteString(engine, "data: a\n\n")
				<-ctx.Done()
				_ = engine.CloseWithError(ctx.Err())
			}()
			return respondWith(200, body)()
		}),
		Entry("no first byte", 1, func(ctx context.Context, _ *forward.Attempt) (*forward.EngineResponse, error) {
			<-ctx.Done()
			return nil, backend.ErrResponseLost
		}),
		Entry("no first byte from an egress node", 0, func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
			attempt.Delegated.Store(true)
			<-ctx.Done()
			return nil, backend.ErrResponseLost
		}),
	)

	It("counts nothing against an engine whose caller reads slowly until the deadline", func() {
		var sentBy string
		barrier := &barrierSender{respond: func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
			sentBy = attempt.Engine.ID
			body, engine := io.Pipe()
			go func() {
				for err := error(nil); err == nil && ctx.Err() == nil; {
					_, err = io.WriteString(engine, "data: a\n\n")
				}
				_ = engine.CloseWithError(ctx.Err())
			}()
			return respondWith(200, body)()
		}}
		barrier.arrived.Add(1)
		service.Sender = barrier
		call := &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/stream/x", Path: "/stream/x", Received: time.Now(),
			Deadline: time.Now().Add(1500 * time.Millisecond), Program: "p", Body: []byte("in"), Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}
		func() {
			defer func() { _ = recover() }()
			service.Serve(context.Background(), call, &slowResponseWriter{delay: 1100 * time.Millisecond})
		}()
		Expect(directory.Load()[sentBy].Failed).To(BeZero())
	})

	It("counts a request once if its first byte was overdue before it was interrupted", func() {
		sender.responses = []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) {
			time.Sleep(700 * time.Millisecond)
			return nil, backend.ErrResponseLost
		}}
		serve("/stream/x")
		Expect(logLines("engine suspected")).To(Equal(1))
		Expect(directory.Load()[sender.sent[0].Engine.ID].Failed).To(BeNumerically("~", 1, 0.1))
	})

	It("does not count exhausted connections, refusals or client errors as failures of the engine", func() {
		full := func() (*forward.EngineResponse, error) { return nil, backend.ErrTooManyConnections }
		clientError := respondWith(404, strings.NewReader("no"))
		sender.responses = []func() (*forward.EngineResponse, error){full, refuse, clientError}
		for range 4 {
			sender.sent = nil
			serve("/stream/x")
			Expect(programs.failedEngine).To(BeEmpty())
		}
		Expect(directory.Avoided(time.Now())).To(BeEmpty())
	})

	It("logs, counts and settles an interrupted stream", func() {
		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, interruptedReader{strings.NewReader("data: a\n\ndata: b\n\ndata: ha")})}
		response := serve("/stream/x")
		Expect(response.aborted).To(BeTrue())
		Expect(response.body.String()).To(Equal("data: a\n\ndata: b\n\n"), "complete events only")
		Expect(programs.settled).To(Equal([]int64{18}))
		Expect(metrics.codes).To(Equal([]resultcode.Code{resultcode.OutcomeUnknown}))
		Expect(logLines("call failed")).To(Equal(1))
	})

	It("measures the interval between events of streams with enough of them", func() {
		events := func(count int) {
			for range 3 {
				sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, &pacedEvents{remaining: count})}
				Expect(serve("/stream/x").ended).To(BeTrue())
			}
		}
		events(2)
		Expect(directory.DrainLatencyStats()).To(BeEmpty())
		events(4)
		// The first stream sets the baseline.
		observed := 0.0
		for _, pace := range directory.DrainLatencyStats() {
			observed += pace.Weight
		}
		Expect(observed).To(BeNumerically("==", 2))
	})

	It("takes no measurements of an engine from streams whose callers read slowly", func() {
		for range 3 {
			sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader(strings.Repeat("data: a\n\n", 4)))}
			call := &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/stream/x", Path: "/stream/x", Received: time.Now(),
				Deadline: time.Now().Add(2 * time.Second), Program: "p", Body: []byte("in"), Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}
			response := &slowResponseWriter{delay: 30 * time.Millisecond}
			service.Serve(context.Background(), call, response)
			Expect(response.ended).To(BeTrue())
		}
		Expect(directory.DrainLatencyStats()).To(BeEmpty())
	})

	It("takes no measurements of latency from error responses", func() {
		for range 3 {
			sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader("ok"))}
			serve("/tool/x")
		}
		directory.DrainLatencyStats()
		for range 3 {
			sender.responses = []func() (*forward.EngineResponse, error){respondWith(500, strings.NewReader("no"))}
			serve("/tool/x")
		}
		Expect(directory.DrainLatencyStats()).To(BeEmpty())
	})

	It("runs no turn that cannot be recorded, and returns a retry delay", func() {
		service.LogUnavailable = func() bool { return true }
		began := time.Now()
		response := serve("/kept/x")
		var failure *resultcode.Error
		Expect(errors.As(response.failure, &failure)).To(BeTrue())
		Expect(failure.Code).To(Equal(resultcode.LogAway))
		remaining := 2*time.Second - time.Since(began)
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
		Expect(failure.RetryAfter).To(BeNumerically("<", remaining/2))
		Expect(sender.sent).To(BeEmpty())
		Expect(programs.settled).To(BeEmpty(), "nothing was reserved")
	})

	It("runs no turn of a program that may not start, and returns a retry delay", func() {
		programs.reservation = forward.Reservation{Verdict: nodev1.Verdict_VERDICT_NO_ROOM, Reason: "slots", RetryAfter: 240 * time.Millisecond}
		var failure *resultcode.Error
		Expect(errors.As(serve("/stream/x").failure, &failure)).To(BeTrue())
		Expect(failure.Code).To(Equal(resultcode.NoRoom))
		Expect(failure.RetryAfter).To(Equal(240 * time.Millisecond))
		Expect(sender.sent).To(BeEmpty())
		Expect(programs.settled).To(BeEmpty(), "nothing was reserved")
		Expect(programs.requests[0].Route).To(Equal("stream"))
		Expect(programs.requests[0].Service).To(Equal("s"))
	})

	It("runs a turn once the log is available, and turns without a record at once", func() {
		var polls atomic.Int64
		service.LogUnavailable = func() bool { return polls.Add(1) <= 3 }
		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader("data: a\n\n"))}
		Expect(serve("/kept/x").ended).To(BeTrue())
		Expect(programs.recorded).To(HaveLen(1))
		Expect(logLines("log available again")).To(Equal(1))

		service.LogUnavailable = func() bool { return true }
		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader("data: a\n\n"))}
		Expect(serve("/stream/x").ended).To(BeTrue())
	})

	It("records a stored turn before the response ends, and aborts the response otherwise", func() {
		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader("data: a\n\ndata: b\n\n"))}
		Expect(serve("/kept/x").ended).To(BeTrue())
		Expect(string(programs.recorded[0].Output)).To(Equal("a\nb\n"))

		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader("data: a\n\n"))}
		programs.recordError = errors.New("store unavailable")
		response := serve("/kept/x")
		Expect(response.ended).To(BeFalse())
		Expect(response.aborted).To(BeTrue())
	})

	// Guards against a slow log that is taken for a fast one because a caller left early.
	It("reports how long it took to record a turn only if the turn was recorded", func() {
		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader("data: a\n\n"))}
		serve("/kept/x")
		Expect(programs.recordTime).To(BeNumerically(">", 0))

		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader("data: a\n\n"))}
		programs.recordError = errors.New("store unavailable")
		serve("/kept/x")
		Expect(programs.recordTime).To(BeZero())
	})

	It("tries other engines after refusals, and refuses early if all are full", func() {
		sender.responses = []func() (*forward.EngineResponse, error){refuse, respondWith(200, strings.NewReader("ok"))}
		Expect(serve("/tool/x").body.String()).To(Equal("ok"))

		sender.responses = []func() (*forward.EngineResponse, error){refuse}
		response := serve("/tool/x")
		Expect(resultcode.CodeOf(response.failure)).To(Equal(resultcode.NoBackEnd))
		var failure *resultcode.Error
		Expect(errors.As(response.failure, &failure)).To(BeTrue())
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
	})

	It("limits the rate of attempts while all engines refuse", func() {
		refusing := &refusingSender{}
		service.Sender = refusing
		var calls sync.WaitGroup
		for range 8 {
			calls.Go(func() { serve("/tool/x") })
		}
		calls.Wait()
		// The calls wait for a second. The queue wakes its first waiter every 12 ms, which may then
		// try the three engines.
		Expect(refusing.attempts.Load()).To(BeNumerically("<", 8*3+3*100))
	})

	It("waits as long for an engine after a slow reservation as after a fast one", func() {
		programs.wait = 300 * time.Millisecond
		sender.responses = []func() (*forward.EngineResponse, error){refuse, refuse, refuse, respondWith(200, strings.NewReader("data: a\n\n"))}
		Expect(serve("/stream/x").ended).To(BeTrue())
	})

	It("counts tool calls in flight, and no turns", func() {
		service.ToolCalls = forward.NewToolCalls()
		var during []map[string]int
		observe := func() (*forward.EngineResponse, error) {
			during = append(during, service.ToolCalls.Counts())
			return respondWith(200, strings.NewReader("data: a\n\n"))()
		}
		sender.responses = []func() (*forward.EngineResponse, error){observe}
		serve("/tool/x")
		serve("/stream/x")
		Expect(during).To(Equal([]map[string]int{{"s": 1}, {}}))
		Expect(service.ToolCalls.Counts()).To(BeEmpty())
	})

	It("retries a safe request up to its attempt limit, and never an unsafe one", func() {
		lost := func() (*forward.EngineResponse, error) { return nil, backend.ErrResponseLost }
		sender.responses = []func() (*forward.EngineResponse, error){lost}
		Expect(resultcode.CodeOf(serve("/safe/x").failure)).To(Equal(resultcode.OutcomeUnknown))
		Expect(sender.sent).To(HaveLen(2))
		sender.sent = nil
		Expect(resultcode.CodeOf(serve("/tool/x").failure)).To(Equal(resultcode.OutcomeUnknown))
		Expect(sender.sent).To(HaveLen(1))
	})

	It("retries a safe request on another engine if its response is lost, and no other request", func() {
		waitForCancel := func(ctx context.Context) (*forward.EngineResponse, error) {
			<-ctx.Done()
			return nil, backend.ErrResponseLost
		}
		hanging := &hangingSender{hang: waitForCancel, then: respondWith(200, strings.NewReader("ok"))}
		service.Sender = hanging
		Expect(serve("/safe/x").body.String()).To(Equal("ok"))
		Expect(hanging.engines).To(HaveLen(2))
		Expect(hanging.engines[0]).NotTo(Equal(hanging.engines[1]))

		hanging.engines = nil
		Expect(resultcode.CodeOf(serve("/tool/x").failure)).To(Equal(resultcode.ToolTimeout))
		Expect(hanging.engines).To(HaveLen(1))
	})

	It("relays long responses completely, or aborts them", func() {
		long := strings.Repeat("x", 9<<20)
		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, strings.NewReader(long))}
		response := serve("/tool/x")
		Expect(response.ended).To(BeTrue())
		Expect(response.body.Len()).To(Equal(len(long)))

		sender.responses = []func() (*forward.EngineResponse, error){respondWith(200, interruptedReader{strings.NewReader(long)})}
		response = serve("/tool/x")
		Expect(response.ended).To(BeFalse())
		Expect(response.aborted).To(BeTrue())
	})
})
