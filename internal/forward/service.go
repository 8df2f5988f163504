package forward

import (
	"context"
	"errors"
	"io"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"go.uber.org/zap"
)

// Reservation is the owner's answer to a turn.
type Reservation struct {
	Verdict nodev1.Verdict
	Chain   []*history.Turn
	Reason  string
	Grant   Grant
}

// Grant names a reservation to the owner that made it.
type Grant struct {
	Owner string
	Epoch int64
	Key   string
}

// Programs asks the owners of programs.
type Programs interface {
	// Reserve asks for a turn's tokens and its chain.
	Reserve(ctx context.Context, call *Call) Reservation
	// Settle tells what a turn spent; turn is nil where none is kept. It does
	// not wait.
	Settle(call *Call, grant Grant, tokens int64, turn *history.Turn)
	// Record returns nil once the turn will outlast all machines.
	Record(ctx context.Context, turn *history.Turn) error
}

// Meter counts calls for the metrics.
type Meter interface {
	// Finished notes a call's end: its route's kind, its result, how long it took.
	Finished(kind routing.Kind, code resultcode.Code, took time.Duration)
	// FirstEvent notes the time to a stream's first event.
	FirstEvent(took time.Duration)
}

// Service takes calls their way.
type Service struct {
	Routes   *routing.Current
	Engines  *backend.Directory
	Sender   Sender
	Programs Programs
	Meter    Meter
	Logger   *zap.Logger
	Zone     string
	// Nodes returns how many nodes share the engines' connections.
	Nodes func() int
	// Stopping tells that the process is leaving.
	Stopping func() bool
	// ViewAge is how long ago the list of engines was last confirmed.
	ViewAge func() time.Duration
}

const (
	// unknownRetry is when to come back to a node that is not sure yet.
	unknownRetry = 150 * time.Millisecond
	// ownerRetry is when to come back where a program's owner could not be found
	// or could not write for longer than a call waits.
	ownerRetry = 400 * time.Millisecond
	// fullRetry is when to come back where all engines are full.
	fullRetry = 100 * time.Millisecond
	// fullPoll separates two rounds over engines that were all full.
	fullPoll = 12 * time.Millisecond
	// refusalShare of the objective is how long a call waits for a free engine.
	refusalShare = 0.8
	// fallbackObjective is used where a route names none.
	fallbackObjective = 200 * time.Millisecond
	// fallbackDeadline is used where neither caller nor route names a bound.
	fallbackDeadline = 30 * time.Second
	// answerMargin is kept between an engine's deadline and the caller's.
	answerMargin = 5 * time.Millisecond
	// minimumWork is the least time worth sending a request for.
	minimumWork = 3 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held before it is passed on.
	maxAnswerBytes = 8 << 20
)

// course is one call under way.
type course struct {
	service *Service
	call    *Call
	answer  Answer
	route   *routing.Route
	// serviceName is the service that runs the call.
	serviceName string
	definition  routing.Service
	version     int64
	end         time.Time
	body        []byte
	tried       []string
	runs        int
	refusals    int
	lastEngine  string
	begun       bool
	events      int64
	reserved    bool
	grant       Grant
	reservation Reservation
	reserveTook time.Duration
	recordTook  time.Duration
	viewAge     time.Duration
	usable      int
}

// Serve takes a call to its answer. ctx ends when the caller is gone.
func (service *Service) Serve(ctx context.Context, call *Call, answer Answer) {
	current := &course{service: service, call: call, answer: answer}
	failure := current.prepare()
	if failure == nil {
		bounded, cancel := context.WithDeadline(ctx, current.end)
		failure = current.run(bounded)
		cancel()
	}
	current.finish(ctx, failure)
}

// prepare finds the route and the bounds.
func (current *course) prepare() error {
	configuration := current.service.Routes.Load()
	if configuration == nil {
		return resultcode.New(resultcode.ConfigurationStale, "no configuration is known yet").After(unknownRetry)
	}
	current.version = configuration.Version
	current.route = configuration.Match(current.call.Host, current.call.Path)
	if current.route == nil {
		return resultcode.New(resultcode.UnknownRoute, "no route for this host and path")
	}
	current.serviceName = current.route.PickService()
	current.definition = configuration.Services[current.serviceName]
	current.body = current.call.Body
	current.end = current.call.Received.Add(fallbackDeadline)
	if !current.call.Deadline.IsZero() {
		current.end = current.call.Deadline
	}
	if current.route.Timeout > 0 && current.call.Received.Add(current.route.Timeout).Before(current.end) {
		current.end = current.call.Received.Add(current.route.Timeout)
	}
	return nil
}

func (current *course) run(ctx context.Context) error {
	if current.isTurn() {
		failure := current.reserve(ctx)
		if failure != nil {
			return failure
		}
	}
	failure := current.sendUntilAnswered(ctx)
	if current.reserved {
		current.settle(nil)
	}
	return failure
}

// isTurn tells whether the program's owner has to be asked: for what a bounded
// program may spend, and for the turns to go on from.
func (current *course) isTurn() bool {
	turn := current.call.Turn
	if turn == nil || current.route.Kind != routing.Streaming {
		return false
	}
	return turn.Budget < Unlimited || (current.route.KeepsTurns && turn.Previous != "")
}

// reserve asks the program's owner, and puts the chain before the input.
func (current *course) reserve(ctx context.Context) error {
	if !current.route.KeepsTurns {
		current.call.Turn.Previous = ""
	}
	began := time.Now()
	reservation := current.service.Programs.Reserve(ctx, current.call)
	current.reservation = reservation
	current.reserveTook = time.Since(began)
	switch reservation.Verdict {
	case nodev1.Verdict_VERDICT_GRANTED:
		current.reserved = true
		current.grant = reservation.Grant
		if len(reservation.Chain) > 0 {
			current.body = history.Prompt(reservation.Chain, current.call.Body)
		}
		return nil
	case nodev1.Verdict_VERDICT_SPENT:
		return resultcode.New(resultcode.ProgramCapReached, "the program's budget leaves no room for the turn: %s", reservation.Reason)
	case nodev1.Verdict_VERDICT_NO_SUCH_TURN:
		return resultcode.New(resultcode.UnknownTurn, "there is no turn %s to go on from", current.call.Turn.Previous)
	default:
		return resultcode.New(resultcode.NoLeader, "the program's owner can't tell now: %s", reservation.Reason).After(ownerRetry)
	}
}

// settle tells the owner what the turn spent, once.
func (current *course) settle(turn *history.Turn) {
	current.reserved = false
	current.service.Programs.Settle(current.call, current.grant, current.events*int64(current.definition.TokensPerEvent), turn)
}

// sendUntilAnswered tries engines until one answers, or nothing may be tried any
// more. It returns nil once the caller has its answer.
func (current *course) sendUntilAnswered(ctx context.Context) error {
	for {
		remaining := time.Until(current.end)
		if remaining < minimumWork || ctx.Err() != nil {
			return current.timedOut(ctx)
		}
		engine := current.pick()
		if engine == nil {
			failure := current.awaitEngine(ctx)
			if failure != nil {
				return failure
			}
			continue
		}
		done, failure := current.attempt(ctx, engine, remaining)
		if done {
			return failure
		}
	}
}

func (current *course) pick() *backend.Engine {
	request := &backend.Request{Service: current.serviceName, Zone: current.service.Zone, Tried: current.tried}
	if current.route.Kind == routing.Streaming {
		request.Program = current.call.Program
		request.Prompt = current.call.SharedPrompt
	}
	current.viewAge = current.service.ViewAge()
	current.usable = current.service.Engines.Usable(current.serviceName)
	return current.service.Engines.Pick(request, time.Now())
}

// awaitEngine waits a moment for an engine with room, or refuses.
func (current *course) awaitEngine(ctx context.Context) error {
	objective := current.route.Objective
	if objective == 0 {
		objective = fallbackObjective
	}
	patience := time.Duration(refusalShare * float64(objective))
	if time.Since(current.call.Received) > patience {
		if current.runs > 0 {
			return current.outcomeUnknown()
		}
		return resultcode.New(resultcode.NoBackEnd, "none of %d engines of %s has room, %d refusals",
			current.service.Engines.Usable(current.serviceName), current.serviceName, current.refusals).After(fullRetry)
	}
	select {
	case <-time.After(fullPoll):
	case <-ctx.Done():
	}
	if current.runs == 0 || current.route.Repeatable() {
		current.tried = current.tried[:0]
	}
	return nil
}

// attempt sends the call to one engine. It returns true once the call is over.
func (current *course) attempt(ctx context.Context, engine *backend.Engine, remaining time.Duration) (bool, error) {
	began := time.Now()
	current.tried = append(current.tried, engine.ID)
	current.lastEngine = engine.ID
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcome := backend.Abandoned
	defer func() { current.service.Engines.Finish(engine, outcome, time.Since(began), time.Now()) }()
	reply, err := current.service.Sender.Send(ctx, &Attempt{
		Call:           current.call,
		Engine:         engine.Instance,
		Body:           current.body,
		Remaining:      max(remaining-answerMargin, time.Millisecond),
		Streams:        current.route.Kind == routing.Streaming,
		Urgency:        current.route.Priority,
		MaxConnections: current.maxConnections(),
	})
	if err != nil {
		if ctx.Err() == nil {
			outcome = backend.Failed
		}
		return current.afterSendFailure(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun || reply.Misdirected {
		outcome = backend.Full
		if reply.Misdirected {
			outcome = backend.Misdirected
		}
		current.refusals++
		current.service.Logger.Info("engine refused", zap.String("request", current.call.ID),
			zap.String("engine", engine.ID), zap.Int("status", reply.Status))
		return false, nil
	}
	current.runs++
	if current.route.Kind == routing.Streaming && isSuccess(reply.Status) {
		outcome, err = current.relayStream(ctx, reply)
		return true, err
	}
	outcome, err = current.relayWhole(ctx, reply)
	if errors.Is(err, errBrokenOff) {
		return current.afterSendFailure(ctx, err)
	}
	return true, err
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// maxConnections is this node's share of what an engine takes.
func (current *course) maxConnections() int {
	if current.definition.MaxConnections == 0 {
		return 0
	}
	const least = 4
	return max(current.definition.MaxConnections/max(current.service.Nodes(), 1), least)
}

// afterSendFailure tells whether another engine may be tried.
func (current *course) afterSendFailure(ctx context.Context, err error) (bool, error) {
	current.service.Logger.Info("send failed", zap.String("request", current.call.ID),
		zap.String("engine", current.lastEngine), zap.Duration("after", time.Since(current.call.Received)), logging.Cause(err))
	if errors.Is(err, backend.ErrNotSent) {
		return false, nil
	}
	if !errors.Is(err, errBrokenOff) {
		current.runs++
	}
	if ctx.Err() != nil {
		return true, current.timedOut(ctx)
	}
	if current.route.Kind == routing.Safe && current.runs < max(current.route.Attempts, 1) {
		return false, nil
	}
	return true, current.outcomeUnknown()
}

func (current *course) outcomeUnknown() error {
	return resultcode.New(resultcode.OutcomeUnknown, "engine %s got the request and gave no whole answer", current.lastEngine)
}

// timedOut is the answer once the call's time is over.
func (current *course) timedOut(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errCallerGone
	}
	if current.runs > 0 || current.begun {
		return resultcode.New(resultcode.ToolTimeout, "no answer in the time allowed")
	}
	return resultcode.New(resultcode.NoBackEnd, "no engine took the request in the time allowed").After(fullRetry)
}

var (
	errCallerGone = errors.New("the caller is gone")
	errBrokenOff  = errors.New("the engine broke its answer off")
)

// relayWhole reads an answer to its end and passes it on.
func (current *course) relayWhole(ctx context.Context, reply *Reply) (backend.Outcome, error) {
	content, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		if ctx.Err() != nil {
			return backend.Abandoned, current.timedOut(ctx)
		}
		return backend.Failed, errBrokenOff
	}
	current.begun = true
	err = current.answer.Begin(reply.Status, reply.Header)
	if err == nil && len(content) > 0 {
		err = current.answer.Write(content)
	}
	if err != nil {
		current.answer.Abort()
		return backend.Answered, errCallerGone
	}
	current.answer.End()
	return backend.Answered, nil
}

// finish answers a failure and writes the call's line.
func (current *course) finish(ctx context.Context, failure error) {
	took := time.Since(current.call.Received)
	code := resultcode.OK
	if failure != nil {
		code = resultcode.CodeOf(failure)
		if errors.Is(failure, errCallerGone) || ctx.Err() != nil {
			code = resultcode.CallStopped
		}
		if current.begun {
			current.answer.Abort()
		} else {
			current.answer.Fail(failure)
		}
	}
	kind := routing.Unsafe
	routeName := ""
	if current.route != nil {
		kind = current.route.Kind
		routeName = current.route.Name
	}
	current.service.Meter.Finished(kind, code, took)
	current.logEnd(routeName, code, took, failure)
}

// logEnd writes the one line that says how the call ended and on what.
func (current *course) logEnd(routeName string, code resultcode.Code, took time.Duration, failure error) {
	event := "call answered"
	if failure != nil {
		event = "call failed"
	}
	entry := current.service.Logger.Check(zap.InfoLevel, event)
	if entry == nil {
		return
	}
	fields := []zap.Field{zap.String("request", current.call.ID), zap.String("route", routeName),
		zap.Int64("configuration", current.version), zap.Uint32("code", uint32(code)), zap.Stringer("result", code),
		zap.Duration("took", took)}
	if current.call.Program != "" {
		fields = append(fields, zap.String("program", current.call.Program))
	}
	if current.reservation.Verdict != 0 {
		fields = append(fields, zap.Stringer("verdict", current.reservation.Verdict), zap.String("owner", current.reservation.Grant.Owner),
			zap.Int64("epoch", current.reservation.Grant.Epoch), zap.Duration("reserve_took", current.reserveTook))
	}
	if len(current.tried) > 0 || current.usable > 0 {
		fields = append(fields, zap.String("engine", current.lastEngine), zap.Int("engines", current.usable),
			zap.Duration("engines_age", current.viewAge), zap.Int("runs", current.runs), zap.Int("refusals", current.refusals))
	}
	if current.route != nil && current.route.Kind == routing.Streaming {
		fields = append(fields, zap.Int64("events", current.events), zap.Duration("record_took", current.recordTook))
	}
	if failure != nil {
		fields = append(fields, zap.String("failure", failure.Error()))
	}
	entry.Write(fields...)
}
