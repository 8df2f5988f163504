package forward

import (
	"context"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/heldbytes"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/region"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
	"go.uber.org/zap"
)

// ReservationRequest is a turn that asks its program's owner.
type ReservationRequest struct {
	Call *Call
	// Service runs the turn.
	Service string
	// Route takes it, and Rank is how urgent it is: 0 is the most urgent.
	Route    string
	Priority int
	// Zones are those in which the turn may be served and kept.
	Zones region.ZoneSet
}

// Reservation is the owner's answer to a turn.
type Reservation struct {
	Verdict nodev1.Verdict
	Chain   []*history.Turn
	Reason  string
	Grant   Grant
	// Engine keeps the line of turns, empty where the owner names none.
	Engine string
	// TryOtherNode is true where the owner could not be asked from this node, and may
	// be from another one.
	TryOtherNode bool
	// RetryAfter is when there will be room for a program that may not begin now.
	RetryAfter time.Duration
}

// Grant names a reservation to the owner that made it.
type Grant struct {
	Owner string
	Epoch int64
	Key   string
}

// TurnEnd is how a turn ended.
type TurnEnd struct {
	// Tokens is what it spent.
	Tokens int64
	// Turn is what is kept of it, nil where nothing is.
	Turn *history.Turn
	// FailedEngine is the engine that ran the turn and failed it, empty where none did.
	FailedEngine string
}

// Programs asks the owners of programs.
type Programs interface {
	// Reserve asks for a turn's tokens, its chain and its engine of the service, and
	// whether its program may begin.
	Reserve(ctx context.Context, order *ReservationRequest) Reservation
	// Settle tells how a turn ended. It does not wait.
	Settle(call *Call, grant Grant, end TurnEnd)
	// Record returns nil once the turn will outlast all machines.
	Record(ctx context.Context, turn *history.Turn) error
}

// Metrics counts calls for the metrics.
type Metrics interface {
	// Finished notes a call's end: its route's kind, its result, how long it took.
	Finished(kind routing.Kind, code resultcode.Code, took time.Duration)
	// FirstEvent notes the time to a stream's first event.
	FirstEvent(took time.Duration)
	// RefusedForCapacity notes a call refused because no engine of a service had room in time.
	RefusedForCapacity(service string, reason CapacityRefusal)
}

// Service takes calls their way.
type Service struct {
	Routes  *routing.ActiveConfiguration
	Engines *backend.Directory
	// WaitQueue orders the calls that wait for an engine.
	WaitQueue *backend.WaitQueue
	// RetryBudget bounds the asks that follow on refusals, Returns spreads the calls that come
	// back after their own.
	RetryBudget    backend.RetryBudget
	RetryScheduler backend.RetryScheduler
	Sender         Sender
	Programs       Programs
	// Quotas bounds the requests of tenants; nil where none has a limit.
	Quotas Quotas
	// ToolCalls counts what programs have under way beside turns; nil where nobody asks.
	ToolCalls *ToolCalls
	Meter     Metrics
	Logger    *zap.Logger
	Zone      string
	// Regions holds the region of each zone.
	Regions region.Map
	// Started is when the process started.
	Started time.Time
	// Nodes returns how many nodes share the engines' connections.
	Nodes func() int
	// ViewAge is how long ago the list of engines was last confirmed.
	ViewAge func() time.Duration
	// Views tells what configuration and engines are from before a freeze; nil where that is
	// not known. Freezes tells when the process was frozen.
	Views          Views
	FreezeDetector *freeze.Detector
	// HeldResponses bounds the bytes of answers that are held until they are whole; nil is no bound.
	HeldResponses *heldbytes.Limiter
	// ZoneIsolated tells whether this node's zone reaches neither the store nor another zone; nil
	// where that is not known.
	ZoneIsolated func() bool
	// LogUnavailable tells whether the log answers nobody now; nil where that is not known.
	LogUnavailable func() bool
}

const (
	// unknownRetry is when to come back to a node that has just started. One that has
	// no configuration after startupTime says unknownRetryMost: the store is away then,
	// and a caller has only so many tries.
	unknownRetry     = 150 * time.Millisecond
	unknownRetryMost = 1200 * time.Millisecond
	startupTime      = 150 * time.Millisecond
	// ownerRetry is when to come back where a program's owner could not be found
	// or could not write for longer than a call waits.
	ownerRetry = 400 * time.Millisecond
	// elsewhereRetry is when to come back to another node than this one.
	elsewhereRetry = 50 * time.Millisecond
	// fullRetry is when to come back where all engines are full and nothing tells for how
	// long; at least so long where that is predicted.
	fullRetry = 100 * time.Millisecond
	// fullRetryShare of what is left of a call's time is the most that a predicted time to
	// come back may be: callers that are told a later one do not come back in time.
	fullRetryShare = 0.3
	// refusalShare of the objective is how long a call waits for a free engine.
	refusalShare = 0.8
	// toolWaitShare of its time is how long a program's call of a tool waits for a
	// free engine: where it fails, all that the program has used is lost.
	toolWaitShare = 0.5
	// turnWaitShare is the same for a turn of a program that has turns already. A call that
	// is refused then costs its caller all that the program has used, and its second try has
	// as much time again.
	turnWaitShare = 0.3
	// refusalDrain is how long the body of a refusal may take to be read, so that its
	// connection can be kept, and refusalBytes how long it may be.
	refusalDrain = 50 * time.Millisecond
	refusalBytes = 4 << 10
	// fallbackObjective is used where a route names none.
	fallbackObjective = 200 * time.Millisecond
	// fallbackDeadline is used where neither caller nor route names a bound.
	fallbackDeadline = 30 * time.Second
	// answerMargin is kept between an engine's deadline and the caller's.
	answerMargin = 5 * time.Millisecond
	// minimumWork is the least time worth sending a request for.
	minimumWork = 3 * time.Millisecond
	// silenceShare of the objective, and leastSilence at least, is how long an
	// engine may give no byte of an answer before others pass it over.
	silenceShare = 3
	leastSilence = 600 * time.Millisecond
	// leastRepeat is how long an engine may at least give no answer to a safe request
	// before that is sent to another one.
	leastRepeat = 50 * time.Millisecond
	// heldBytes is how much of an answer is held until it is whole; restBytes is
	// how much of a longer one is passed on at once.
	heldBytes = 1 << 20
	// firstHeldBytes is the room that an answer begins with; most are shorter. heldBytes is
	// a power of two times that.
	firstHeldBytes = 4 << 10
	restBytes      = 16 << 10
)

// course is one call under way.
type course struct {
	service *Service
	call    *Call
	answer  ResponseWriter
	route   *routing.Route
	// serviceName is the service that runs the call.
	serviceName string
	definition  routing.Service
	// zones are those in which the call may be served and kept.
	zones   region.ZoneSet
	version int64
	// tenant is who sends the call, nil where nobody is known.
	tenant *tenant.Tenant
	end    time.Time
	body   []byte
	tried  []string
	runs   int
	// asking is how often engines have refused the call.
	asking backend.RefusalState
	// goesOn is true for a turn whose program has turns already.
	goesOn     bool
	lastEngine string
	// status is that of the last engine's answer.
	status int
	// failedEngine is the engine that ran the call and failed it, empty where none did.
	failedEngine string
	// via is the node that sent the last attempt for this one.
	via   string
	begun bool
	// release ends the attempt at its engine.
	release func(backend.Outcome)
	// heard is called with the first byte of an answer.
	heard func()
	// endSilence tells once that the attempt has got a byte, or has ended.
	endSilence func()
	// streamed is called once a stream has come whole.
	streamed   func()
	events     int64
	firstEvent time.Time
	lastEvent  time.Time
	// awaiting is since when the engine's next event is awaited, writing how long the caller
	// took to take events.
	awaiting    time.Time
	writing     time.Duration
	reserved    bool
	reservation Reservation
	reserveTook time.Duration
	admitTook   time.Duration
	recordTook  time.Duration
	viewAge     time.Duration
	usable      int
	// searching is when the search for an engine began; waited is true once the
	// call has waited for one.
	searching time.Time
	waited    bool
	// forecast is what the call found when it first had to wait.
	forecast backend.Forecast
}

// Serve takes a call to its answer. ctx ends when the caller is gone.
func (service *Service) Serve(ctx context.Context, call *Call, answer ResponseWriter) {
	current := &course{service: service, call: call, answer: answer}
	current.awaitViews(ctx)
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
		return resultcode.New(resultcode.ConfigurationStale, "no configuration is known yet").After(current.service.unknownRetry())
	}
	current.version = configuration.Version
	current.route = configuration.Match(current.call.Host, current.call.Path)
	if current.route == nil {
		return current.denied(resultcode.UnknownRoute, "no route for this host and path")
	}
	if current.route.StoresTurns && current.call.Resumes {
		// The turn's record has to hold what the caller got from the start, and an
		// earlier attempt's node may be gone with it.
		return resultcode.New(resultcode.ResumeNotHeld, "the beginning of the stream is not held").After(unknownRetry)
	}
	failure := current.authenticate(configuration)
	if failure != nil {
		return failure
	}
	current.serviceName = current.route.PickService()
	current.zones = current.allowedZones()
	current.goesOn = current.call.Turn != nil && current.call.Turn.Previous != ""
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

// allowedZones returns where the call may be served: what binds its route and what binds its
// tenant both hold.
func (current *course) allowedZones() region.ZoneSet {
	if current.tenant == nil {
		return current.service.Regions.AllowedZones(current.route.Regions)
	}
	return current.service.Regions.AllowedZones(current.route.Regions, current.tenant.Regions)
}

func (service *Service) unknownRetry() time.Duration {
	if time.Since(service.Started) < startupTime || !feature.Enabled(feature.StaggeredRetries) {
		return unknownRetry
	}
	return unknownRetryMost
}

func (current *course) run(ctx context.Context) error {
	if current.service.Engines.NoneAvailable(current.serviceName, current.zones) {
		return current.noRoom(NoEngineAvailable, backend.Forecast{})
	}
	failure := current.awaitLog(ctx)
	if failure != nil {
		return failure
	}
	failure = current.admit(ctx)
	if failure != nil {
		return failure
	}
	if current.isTurn() {
		failure := current.reserve(ctx)
		if failure != nil {
			return failure
		}
	}
	defer current.countToolCall()()
	failure = current.sendUntilAnswered(ctx)
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
	return turn.Budget < Unlimited || (current.route.StoresTurns && turn.Previous != "")
}

// reserve asks the program's owner, and puts the chain before the input.
func (current *course) reserve(ctx context.Context) error {
	if !current.route.StoresTurns {
		current.call.Turn.Previous = ""
	}
	began := time.Now()
	reservation := current.service.Programs.Reserve(ctx, &ReservationRequest{
		Call: current.call, Service: current.serviceName, Route: current.route.Name, Priority: current.urgency(), Zones: current.zones})
	current.reservation = reservation
	current.reserveTook = time.Since(began)
	switch reservation.Verdict {
	case nodev1.Verdict_VERDICT_GRANTED:
		current.reserved = true
		if len(reservation.Chain) > 0 {
			current.body = history.BuildPrompt(reservation.Chain, current.call.Body)
		}
		return nil
	case nodev1.Verdict_VERDICT_SPENT:
		return resultcode.New(resultcode.ProgramCapReached, "the program's budget leaves no room for the turn: %s", reservation.Reason)
	case nodev1.Verdict_VERDICT_NO_SUCH_TURN:
		return resultcode.New(resultcode.UnknownTurn, "there is no turn %s to go on from", current.call.Turn.Previous)
	case nodev1.Verdict_VERDICT_NO_ROOM:
		return resultcode.New(resultcode.NoRoom, "there is no room for the program to begin: %s", reservation.Reason).After(reservation.RetryAfter)
	default:
		comeBack := ownerRetry
		switch {
		case reservation.RetryAfter > 0:
			comeBack = current.retryWithin(reservation.RetryAfter)
		case reservation.TryOtherNode:
			comeBack = elsewhereRetry
		}
		return resultcode.New(resultcode.NoLeader, "the program's owner can't tell now: %s", reservation.Reason).After(comeBack)
	}
}

// retryWithin bounds a time to come back by what callers heed of it.
func (current *course) retryWithin(wait time.Duration) time.Duration {
	return max(min(wait, time.Duration(logRetryShare*float64(time.Until(current.end)))), 0)
}

// settle tells the owner what the turn spent, once.
func (current *course) settle(turn *history.Turn) {
	current.reserved = false
	current.service.Programs.Settle(current.call, current.reservation.Grant, TurnEnd{
		Tokens:       current.events * int64(current.definition.TokensPerEvent),
		Turn:         turn,
		FailedEngine: current.failedEngine,
	})
}
