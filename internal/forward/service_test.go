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

// fakeSender answers with what it is given, attempt by attempt.
type fakeSender struct {
	replies []func() (*forward.EngineResponse, error)
	// mutex guards sent while calls are under way.
	mutex sync.Mutex
	sent  []*forward.Attempt
}

func (sender *fakeSender) Send(_ context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	return sender.next(attempt)()
}

func (sender *fakeSender) next(attempt *forward.Attempt) func() (*forward.EngineResponse, error) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	reply := sender.replies[min(len(sender.sent), len(sender.replies)-1)]
	sender.sent = append(sender.sent, attempt)
	return reply
}

func answerOf(status int, body io.Reader) func() (*forward.EngineResponse, error) {
	return func() (*forward.EngineResponse, error) {
		return &forward.EngineResponse{Status: status, Header: http.Header{}, Body: io.NopCloser(body)}, nil
	}
}

func refused() (*forward.EngineResponse, error) {
	return &forward.EngineResponse{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

var errBroken = errors.New("broken off")

// brokenReader gives its bytes and then fails.
type brokenReader struct{ io.Reader }

func (reader brokenReader) Read(buffer []byte) (int, error) {
	count, err := reader.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = errBroken
	}
	return count, err
}

// refusingSender refuses everything and counts.
type refusingSender struct{ asked atomic.Int64 }

func (sender *refusingSender) Send(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
	sender.asked.Add(1)
	return refused()
}

// togetherSender answers once three attempts are there.
type togetherSender struct {
	answer  func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error)
	arrived sync.WaitGroup
}

func (sender *togetherSender) Send(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	sender.arrived.Done()
	sender.arrived.Wait()
	return sender.answer(ctx, attempt)
}

// hangingSender hangs on the first attempt and answers the others.
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

// pacedEvents gives events some milliseconds apart, as engines do.
type pacedEvents struct{ left int }

func (events *pacedEvents) Read(buffer []byte) (int, error) {
	if events.left == 0 {
		return 0, io.EOF
	}
	events.left--
	time.Sleep(3 * time.Millisecond)
	return copy(buffer, "data: a\n\n"), nil
}

// fakePrograms grants everything and notes what is settled.
type fakePrograms struct {
	reservation forward.Reservation
	// mutex guards the following while calls are under way.
	mutex sync.Mutex
	// reserves counts the asks for tokens, orders are they.
	reserves int
	orders   []*forward.ReservationRequest
	settled  []int64
	// failedEngine is the one that the last settlement names.
	failedEngine string
	recorded     []*history.Turn
	recordError  error
	wait         time.Duration
}

func (programs *fakePrograms) Reserve(_ context.Context, order *forward.ReservationRequest) forward.Reservation {
	programs.mutex.Lock()
	programs.reserves++
	programs.orders = append(programs.orders, order)
	programs.mutex.Unlock()
	time.Sleep(programs.wait)
	return programs.reservation
}

func (programs *fakePrograms) Settle(_ *forward.Call, _ forward.Grant, end forward.TurnEnd) {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	programs.settled = append(programs.settled, end.Tokens)
	programs.failedEngine = end.FailedEngine
}

func (programs *fakePrograms) Record(_ context.Context, turn *history.Turn) error {
	programs.mutex.Lock()
	defer programs.mutex.Unlock()
	programs.recorded = append(programs.recorded, turn)
	return programs.recordError
}

// silentPrograms grants everything to any number of calls.
type silentPrograms struct{}

func (*silentPrograms) Reserve(context.Context, *forward.ReservationRequest) forward.Reservation {
	return forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}
}
func (*silentPrograms) Settle(*forward.Call, forward.Grant, forward.TurnEnd) {}
func (*silentPrograms) Record(context.Context, *history.Turn) error          { return nil }

// silentMeter notes nothing, for any number of calls.
type silentMeter struct{}

func (silentMeter) Finished(routing.Kind, resultcode.Code, time.Duration) {}
func (silentMeter) FirstEvent(time.Duration)                              {}
func (silentMeter) RefusedForCapacity(string, forward.CapacityRefusal)    {}

// fakeAnswer is the caller's side. Abort leaves by a panic, as a real one does.
type fakeAnswer struct {
	status  int
	body    bytes.Buffer
	ended   bool
	aborted bool
	failure error
}

func (answer *fakeAnswer) Begin(status int, _ http.Header) error { answer.status = status; return nil }
func (answer *fakeAnswer) Write(data []byte) error               { answer.body.Write(data); return nil }
func (answer *fakeAnswer) End()                                  { answer.ended = true }
func (answer *fakeAnswer) Abort()                                { answer.aborted = true; panic(http.ErrAbortHandler) }
func (answer *fakeAnswer) Fail(err error)                        { answer.failure = err }

// slowAnswer is a caller that takes a pause for each event.
type slowAnswer struct {
	fakeAnswer
	pause time.Duration
}

func (answer *slowAnswer) Write(data []byte) error {
	time.Sleep(answer.pause)
	return answer.fakeAnswer.Write(data)
}

// fakeMeter notes the codes, and why calls were refused for want of room.
type fakeMeter struct {
	mutex   sync.Mutex
	codes   []resultcode.Code
	refused []forward.CapacityRefusal
}

func (meter *fakeMeter) Finished(_ routing.Kind, code resultcode.Code, _ time.Duration) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.codes = append(meter.codes, code)
}
func (meter *fakeMeter) FirstEvent(time.Duration) {}

// reasons returns why calls were refused for want of room so far.
func (meter *fakeMeter) reasons() []forward.CapacityRefusal {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return slices.Clone(meter.refused)
}

func (meter *fakeMeter) RefusedForCapacity(_ string, reason forward.CapacityRefusal) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.refused = append(meter.refused, reason)
}

var _ = Describe("Service", func() {
	var sender *fakeSender
	var programs *fakePrograms
	var meter *fakeMeter
	var logs *observer.ObservedLogs
	var service *forward.Service
	var directory *backend.Directory

	BeforeEach(func() {
		core, observed := observer.New(zap.InfoLevel)
		logs = observed
		sender = &fakeSender{}
		programs = &fakePrograms{reservation: forward.Reservation{Verdict: nodev1.Verdict_VERDICT_GRANTED}}
		meter = &fakeMeter{}
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
		service = &forward.Service{Routes: routes, Engines: directory, Sender: sender, WaitQueue: backend.NewWaitQueue(), Programs: programs, Meter: meter,
			Logger: zap.New(core), Nodes: func() int { return 1 }, ViewAge: func() time.Duration { return 0 }}
	})

	serve := func(path string) *fakeAnswer {
		answer := &fakeAnswer{}
		call := &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path, Received: time.Now(),
			Deadline: time.Now().Add(2 * time.Second), Program: "p", Body: []byte("in"),
			Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}
		func() {
			defer func() { _ = recover() }()
			service.Serve(context.Background(), call, answer)
		}()
		return answer
	}
	lines := func(event string) int { return logs.FilterMessage(event).Len() }

	It("tells callers to come back soon while it starts, and late where it then knows no configuration", func() {
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

	It("does not send a turn again that another node was to send and may have sent, and blames no engine for it", func() {
		sender.replies = []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) { return nil, backend.ErrNodeLost }}
		for range 4 {
			sender.sent = nil
			Expect(resultcode.CodeOf(serve("/stream/x").failure)).To(Equal(resultcode.OutcomeUnknown))
			Expect(sender.sent).To(HaveLen(1))
		}
		Expect(directory.Avoided(time.Now())).To(BeEmpty())
	})

	It("passes an engine over that gives no byte, while the request waits and after its caller left", func() {
		sender.replies = []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) {
			time.Sleep(700 * time.Millisecond)
			Expect(directory.Avoided(time.Now())).To(HaveLen(1))
			time.Sleep(1400 * time.Millisecond) // The call's time is over.
			return nil, backend.ErrResponseLost
		}}
		serve("/stream/x")
		Expect(lines("engine suspected")).To(Equal(1))
		Expect(directory.Avoided(time.Now().Add(500 * time.Millisecond))).To(HaveLen(1))
	})

	It("counts an engine's own errors against it, tells the owner which engine failed a turn, and passes the answer on", func() {
		failed := func() (*forward.EngineResponse, error) { return answerOf(500, strings.NewReader("no"))() }
		sender.replies = []func() (*forward.EngineResponse, error){failed}
		for range 6 {
			answer := serve("/stream/x")
			Expect(answer.status).To(Equal(500))
			Expect(answer.ended).To(BeTrue())
			Expect(programs.failedEngine).To(Equal(sender.sent[len(sender.sent)-1].Engine.ID))
		}
		Expect(sender.sent).To(HaveLen(6))
		Expect(directory.Avoided(time.Now())).NotTo(BeEmpty())
	})

	DescribeTable("counts against an engine what it fails, and not what may be another node's loss",
		func(counted int, answer func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error)) {
			together := &togetherSender{answer: answer}
			together.arrived.Add(3)
			service.Sender = together
			service.Programs = &silentPrograms{}
			service.Meter = silentMeter{}
			var calls sync.WaitGroup
			for range 3 {
				calls.Go(func() { serve("/stream/x") })
			}
			ended := make(chan struct{})
			go func() {
				calls.Wait()
				close(ended)
			}()
			most := 0
			look := func() {
				directory.Healthy("s", nil, time.Now())
				most = max(most, directory.OpenBreakers()["s"])
			}
			Eventually(func() chan struct{} { look(); return ended }, 5*time.Second, 50*time.Millisecond).Should(BeClosed())
			look()
			Expect(most).To(Equal(counted))
		},
		Entry("a stream broken off", 1, func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			return answerOf(200, brokenReader{strings.NewReader("data: a\n\n")})()
		}),
		Entry("one that another node sent", 0, func(context.Context, *forward.Attempt) (*forward.EngineResponse, error) {
			reply, err := answerOf(200, brokenReader{strings.NewReader("data: a\n\n")})()
			reply.Via = "node-2"
			return reply, err
		}),
		Entry("a stream that ceases without an end", 1, func(ctx context.Context, _ *forward.Attempt) (*forward.EngineResponse, error) {
			pieces, written := io.Pipe()
			go func() {
				_, _ = io.WriteString(written, "data: a\n\n")
				<-ctx.Done()
				_ = written.CloseWithError(ctx.Err())
			}()
			return answerOf(200, pieces)()
		}),
		Entry("no byte", 1, func(ctx context.Context, _ *forward.Attempt) (*forward.EngineResponse, error) {
			<-ctx.Done()
			return nil, backend.ErrResponseLost
		}),
		Entry("no byte from another node", 0, func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
			attempt.Delegated.Store(true)
			<-ctx.Done()
			return nil, backend.ErrResponseLost
		}),
	)

	It("counts nothing against an engine whose caller reads slowly until its time is over", func() {
		var sentBy string
		sending := &togetherSender{answer: func(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
			sentBy = attempt.Engine.ID
			pieces, written := io.Pipe()
			go func() {
				for err := error(nil); err == nil && ctx.Err() == nil; {
					_, err = io.WriteString(written, "data: a\n\n")
				}
				_ = written.CloseWithError(ctx.Err())
			}()
			return answerOf(200, pieces)()
		}}
		sending.arrived.Add(1)
		service.Sender = sending
		call := &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/stream/x", Path: "/stream/x", Received: time.Now(),
			Deadline: time.Now().Add(1500 * time.Millisecond), Program: "p", Body: []byte("in"), Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}
		func() {
			defer func() { _ = recover() }()
			service.Serve(context.Background(), call, &slowAnswer{pause: 1100 * time.Millisecond})
		}()
		Expect(directory.Load()[sentBy].Failed).To(BeZero())
	})

	It("counts a request once that gave no byte for long and was then broken off", func() {
		sender.replies = []func() (*forward.EngineResponse, error){func() (*forward.EngineResponse, error) {
			time.Sleep(700 * time.Millisecond)
			return nil, backend.ErrResponseLost
		}}
		serve("/stream/x")
		Expect(lines("engine suspected")).To(Equal(1))
		Expect(directory.Load()[sender.sent[0].Engine.ID].Failed).To(BeNumerically("~", 1, 0.1))
	})

	It("takes neither a full set of connections nor a refusal nor an answer of the caller's fault for an engine's failure", func() {
		full := func() (*forward.EngineResponse, error) { return nil, backend.ErrTooManyConnections }
		fault := answerOf(404, strings.NewReader("no"))
		sender.replies = []func() (*forward.EngineResponse, error){full, refused, fault}
		for range 4 {
			sender.sent = nil
			serve("/stream/x")
			Expect(programs.failedEngine).To(BeEmpty())
		}
		Expect(directory.Avoided(time.Now())).To(BeEmpty())
	})

	It("writes a line, counts and settles for a stream that its engine broke off", func() {
		sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, brokenReader{strings.NewReader("data: a\n\ndata: b\n\ndata: ha")})}
		answer := serve("/stream/x")
		Expect(answer.aborted).To(BeTrue())
		Expect(answer.body.String()).To(Equal("data: a\n\ndata: b\n\n"), "whole events only")
		Expect(programs.settled).To(Equal([]int64{18}))
		Expect(meter.codes).To(Equal([]resultcode.Code{resultcode.OutcomeUnknown}))
		Expect(lines("call failed")).To(Equal(1))
	})

	It("observes the time between the events of streams that have enough", func() {
		events := func(count int) {
			for range 3 {
				sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, &pacedEvents{left: count})}
				Expect(serve("/stream/x").ended).To(BeTrue())
			}
		}
		events(2)
		Expect(directory.DrainLatencyStats()).To(BeEmpty())
		events(4)
		// The first one says what is usual.
		observed := 0.0
		for _, pace := range directory.DrainLatencyStats() {
			observed += pace.Weight
		}
		Expect(observed).To(BeNumerically("==", 2))
	})

	It("learns nothing of an engine by streams whose callers read slowly", func() {
		for range 3 {
			sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, strings.NewReader(strings.Repeat("data: a\n\n", 4)))}
			call := &forward.Call{ID: "r", Method: "POST", Host: "h", Target: "/stream/x", Path: "/stream/x", Received: time.Now(),
				Deadline: time.Now().Add(2 * time.Second), Program: "p", Body: []byte("in"), Turn: &forward.TurnRequest{Budget: 1000, MaxTokens: 100}}
			answer := &slowAnswer{pause: 30 * time.Millisecond}
			service.Serve(context.Background(), call, answer)
			Expect(answer.ended).To(BeTrue())
		}
		Expect(directory.DrainLatencyStats()).To(BeEmpty())
	})

	It("takes no engine for fast that answers errors at once", func() {
		for range 3 {
			sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, strings.NewReader("ok"))}
			serve("/tool/x")
		}
		directory.DrainLatencyStats()
		for range 3 {
			sender.replies = []func() (*forward.EngineResponse, error){answerOf(500, strings.NewReader("no"))}
			serve("/tool/x")
		}
		Expect(directory.DrainLatencyStats()).To(BeEmpty())
	})

	It("runs no turn that could not be recorded, and says when to come back", func() {
		service.LogUnavailable = func() bool { return true }
		began := time.Now()
		answer := serve("/kept/x")
		var failure *resultcode.Error
		Expect(errors.As(answer.failure, &failure)).To(BeTrue())
		Expect(failure.Code).To(Equal(resultcode.LogAway))
		left := 2*time.Second - time.Since(began)
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
		Expect(failure.RetryAfter).To(BeNumerically("<", left/2))
		Expect(sender.sent).To(BeEmpty())
		Expect(programs.settled).To(BeEmpty(), "nothing was reserved")
	})

	It("runs no turn of a program that may not begin, and says when to come back", func() {
		programs.reservation = forward.Reservation{Verdict: nodev1.Verdict_VERDICT_NO_ROOM, Reason: "slots", RetryAfter: 240 * time.Millisecond}
		var failure *resultcode.Error
		Expect(errors.As(serve("/stream/x").failure, &failure)).To(BeTrue())
		Expect(failure.Code).To(Equal(resultcode.NoRoom))
		Expect(failure.RetryAfter).To(Equal(240 * time.Millisecond))
		Expect(sender.sent).To(BeEmpty())
		Expect(programs.settled).To(BeEmpty(), "nothing was reserved")
		Expect(programs.orders[0].Route).To(Equal("stream"))
		Expect(programs.orders[0].Service).To(Equal("s"))
	})

	It("runs a turn that waited once the log is back, and those that need no record at once", func() {
		var looks atomic.Int64
		service.LogUnavailable = func() bool { return looks.Add(1) <= 3 }
		sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, strings.NewReader("data: a\n\n"))}
		Expect(serve("/kept/x").ended).To(BeTrue())
		Expect(programs.recorded).To(HaveLen(1))
		Expect(lines("log back")).To(Equal(1))

		service.LogUnavailable = func() bool { return true }
		sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, strings.NewReader("data: a\n\n"))}
		Expect(serve("/stream/x").ended).To(BeTrue())
	})

	It("records a kept turn before it ends the answer, and never ends one that is not recorded", func() {
		sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, strings.NewReader("data: a\n\ndata: b\n\n"))}
		Expect(serve("/kept/x").ended).To(BeTrue())
		Expect(string(programs.recorded[0].Output)).To(Equal("a\nb\n"))

		sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, strings.NewReader("data: a\n\n"))}
		programs.recordError = errors.New("the store is away")
		answer := serve("/kept/x")
		Expect(answer.ended).To(BeFalse())
		Expect(answer.aborted).To(BeTrue())
	})

	It("asks other engines after refusals, and refuses early where all are full", func() {
		sender.replies = []func() (*forward.EngineResponse, error){refused, answerOf(200, strings.NewReader("ok"))}
		Expect(serve("/tool/x").body.String()).To(Equal("ok"))

		sender.replies = []func() (*forward.EngineResponse, error){refused}
		answer := serve("/tool/x")
		Expect(resultcode.CodeOf(answer.failure)).To(Equal(resultcode.NoBackEnd))
		var failure *resultcode.Error
		Expect(errors.As(answer.failure, &failure)).To(BeTrue())
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
	})

	It("does not hammer engines that refuse everything", func() {
		refusing := &refusingSender{}
		service.Sender = refusing
		var calls sync.WaitGroup
		for range 8 {
			calls.Go(func() { serve("/tool/x") })
		}
		calls.Wait()
		// The calls wait for a second, and the queue wakes its first each 12 ms, which
		// may then ask the three engines.
		Expect(refusing.asked.Load()).To(BeNumerically("<", 8*3+3*100))
	})

	It("looks for an engine as long after a long reservation as after a short one", func() {
		programs.wait = 300 * time.Millisecond
		sender.replies = []func() (*forward.EngineResponse, error){refused, refused, refused, answerOf(200, strings.NewReader("data: a\n\n"))}
		Expect(serve("/stream/x").ended).To(BeTrue())
	})

	It("counts a program's calls of tools while they are under way, and no turns", func() {
		service.ToolCalls = forward.NewToolCalls()
		var during []map[string]int
		note := func() (*forward.EngineResponse, error) {
			during = append(during, service.ToolCalls.Counts())
			return answerOf(200, strings.NewReader("data: a\n\n"))()
		}
		sender.replies = []func() (*forward.EngineResponse, error){note}
		serve("/tool/x")
		serve("/stream/x")
		Expect(during).To(Equal([]map[string]int{{"s": 1}, {}}))
		Expect(service.ToolCalls.Counts()).To(BeEmpty())
	})

	It("repeats a safe request up to its attempts, an unsafe one never", func() {
		lost := func() (*forward.EngineResponse, error) { return nil, backend.ErrResponseLost }
		sender.replies = []func() (*forward.EngineResponse, error){lost}
		Expect(resultcode.CodeOf(serve("/safe/x").failure)).To(Equal(resultcode.OutcomeUnknown))
		Expect(sender.sent).To(HaveLen(2))
		sender.sent = nil
		Expect(resultcode.CodeOf(serve("/tool/x").failure)).To(Equal(resultcode.OutcomeUnknown))
		Expect(sender.sent).To(HaveLen(1))
	})

	It("sends a safe request on whose answer is lost, and no other one", func() {
		silence := func(ctx context.Context) (*forward.EngineResponse, error) {
			<-ctx.Done()
			return nil, backend.ErrResponseLost
		}
		hanging := &hangingSender{hang: silence, then: answerOf(200, strings.NewReader("ok"))}
		service.Sender = hanging
		Expect(serve("/safe/x").body.String()).To(Equal("ok"))
		Expect(hanging.engines).To(HaveLen(2))
		Expect(hanging.engines[0]).NotTo(Equal(hanging.engines[1]))

		hanging.engines = nil
		Expect(resultcode.CodeOf(serve("/tool/x").failure)).To(Equal(resultcode.ToolTimeout))
		Expect(hanging.engines).To(HaveLen(1))
	})

	It("passes on an answer of any length whole, or not as whole", func() {
		long := strings.Repeat("x", 9<<20)
		sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, strings.NewReader(long))}
		answer := serve("/tool/x")
		Expect(answer.ended).To(BeTrue())
		Expect(answer.body.Len()).To(Equal(len(long)))

		sender.replies = []func() (*forward.EngineResponse, error){answerOf(200, brokenReader{strings.NewReader(long)})}
		answer = serve("/tool/x")
		Expect(answer.ended).To(BeFalse())
		Expect(answer.aborted).To(BeTrue())
	})
})
