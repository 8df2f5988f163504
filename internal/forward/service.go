package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/heldbytes"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/region"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
	"go.uber.org/zap"
)

// ReservationRequest asks the owner of a turn's program for a reservation.
type ReservationRequest struct {
	Call *Call
	// Service runs the turn.
	Service string
	// Route is the name of the turn's route, Priority that of the turn; 0 is the highest.
	Route    string
	Priority int
	// Zones are the zones in which the turn may be served and stored.
	Zones region.ZoneSet
}

// Reservation is the owner's response to a ReservationRequest.
type Reservation struct {
	Verdict nodev1.Verdict
	Chain   []*history.Turn
	Reason  string
	Grant   Grant
	// Engine is the engine assigned to the turn's session, empty if there is none.
	Engine string
	// TryOtherNode is true if this node could not reach the owner but another node may.
	TryOtherNode bool
	// RetryAfter is when the call may be retried, 0 if unknown.
	RetryAfter time.Duration
	// TurnsGranted is how many turns the owner has granted to the program since it took the program's
	// shard over; 0 if unknown.
	TurnsGranted int64
}

// Grant identifies a reservation to the owner that made it.
type Grant struct {
	Owner string
	Epoch int64
	Key   string
}

// TurnResult is the outcome of a turn as reported to the owner of its program.
type TurnResult struct {
	// Tokens is the number of tokens that the turn used.
	Tokens int64
	// Turn is the stored record of the turn, nil if none is stored.
	Turn *history.Turn
	// FailedEngine is the engine that ran the turn and failed, empty if none did.
	FailedEngine string
	// RecordTime is how long it took to record the turn, 0 if Turn is nil.
	RecordTime time.Duration
}

// Programs gives access to the owners of programs.
type Programs interface {
	// Reserve asks for a turn's tokens, its chain of previous turns and its engine, and whether
	// its program may start.
	Reserve(ctx context.Context, request *ReservationRequest) Reservation
	// Settle reports the outcome of a reserved turn. It does not block.
	Settle(call *Call, grant Grant, end TurnResult)
	// Record stores a turn and returns nil once it is durable.
	Record(ctx context.Context, turn *history.Turn) error
}

// Metrics receives measurements of calls.
type Metrics interface {
	// Finished records the end of a call: its route's kind, its result and its duration.
	Finished(kind routing.Kind, code resultcode.Code, took time.Duration)
	// TurnFinished records the end of a turn of a program with a budget: its route and its result.
	TurnFinished(route string, turn *TurnRequest, code resultcode.Code)
	// FirstEvent records the time to a stream's first event.
	FirstEvent(took time.Duration)
	// RefusedForCapacity records a call that was refused because no engine had capacity in time.
	RefusedForCapacity(service string, reason CapacityRefusal)
	// Resumed records how a request to resume a stream was handled.
	Resumed(handled Resumption)
}

// Service forwards calls to engines.
type Service struct {
	Routes  *routing.ActiveConfiguration
	Engines *backend.Directory
	// WaitQueue orders the calls that wait for an engine.
	WaitQueue *backend.WaitQueue
	// RetryBudget limits the attempts that follow refusals by engines. RetryScheduler spreads
	// the times at which refused callers are told to retry.
	RetryBudget    backend.RetryBudget
	RetryScheduler backend.RetryScheduler
	Sender         Sender
	Programs       Programs
	// Quotas enforces the request limits of tenants; nil if none has a limit.
	Quotas Quotas
	// ToolCalls counts the tool calls in flight; nil if they are not counted.
	ToolCalls *ToolCalls
	Metrics   Metrics
	Logger    *zap.Logger
	Zone      string
	// Regions maps each zone to its region.
	Regions region.Map
	// Started is when the process started.
	Started time.Time
	// Nodes returns the number of nodes that share the engines' connections.
	Nodes func() int
	// ViewAge returns the time since the list of engines was last confirmed.
	ViewAge func() time.Duration
	// Views tells whether the configuration and the list of engines predate a freeze; nil if
	// unknown.
	Views Views
	// FreezeDetector detects freezes of the process; nil means none.
	FreezeDetector *freeze.Detector
	// HeldResponses limits the bytes of buffered responses; nil is unlimited.
	HeldResponses *heldbytes.Limiter
	// ZoneIsolated reports whether this node's zone reaches neither the store nor another zone;
	// nil if unknown.
	ZoneIsolated func() bool
	// LogUnavailable reports whether the log currently responds to no node; nil if unknown.
	LogUnavailable func() bool
	// Quarantine keeps requests under which engines ended from being sent again; nil if nothing does.
	Quarantine Quarantine
	// StreamOrigins knows where streams began; nil if streams may be resumed at any engine.
	StreamOrigins StreamOrigins
	// underWay holds the calls that can be canceled.
	underWay callSet
}

const (
	// transientRetryAfter is the retry delay during startup, and for streams that cannot be
	// resumed.
	transientRetryAfter = 150 * time.Millisecond
	// noConfigurationRetryAfter is the retry delay of a node that has no configuration after
	// startupGrace. The store is then unavailable, and callers have a limited number of retries.
	noConfigurationRetryAfter = 1200 * time.Millisecond
	startupGrace              = 150 * time.Millisecond
	// ownerRetryAfter is the retry delay if a program's owner could not be found, or could not
	// write, for longer than a call waits.
	ownerRetryAfter = 400 * time.Millisecond
	// otherNodeRetryAfter is the retry delay if another node may be able to serve the call.
	otherNodeRetryAfter = 50 * time.Millisecond
	// defaultCapacityRetryAfter is the retry delay if all engines are full and no wait is
	// predicted, and the minimum of a predicted delay.
	defaultCapacityRetryAfter = 100 * time.Millisecond
	// maxCapacityRetryFraction limits a predicted retry delay to a fraction of the call's
	// remaining time: callers do not retry after a longer one.
	maxCapacityRetryFraction = 0.3
	// engineWaitFraction is the fraction of the route's objective for which a call may wait for an
	// engine.
	engineWaitFraction = 0.8
	// toolWaitFraction is the fraction of the time from receipt to deadline for which a program's
	// tool call may wait for an engine. Tool calls wait longer because a failed one wastes all
	// previous work of the program.
	toolWaitFraction = 0.5
	// continuedTurnWaitFraction is the fraction for a turn of a program that already has turns. It
	// is smaller than toolWaitFraction because the caller's retry of a refused turn has the full
	// time again.
	continuedTurnWaitFraction = 0.3
	// refusalDrainTimeout and maxRefusalBytes limit how much of an engine's refusal is read so that
	// the connection can be reused.
	refusalDrainTimeout = 50 * time.Millisecond
	maxRefusalBytes     = 4 << 10
	// defaultObjective applies to routes without an objective.
	defaultObjective = 200 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a deadline.
	defaultTimeout = 30 * time.Second
	// ResponseMargin is subtracted from the caller's deadline to get the engine's.
	ResponseMargin = 5 * time.Millisecond
	// minRemaining is the minimum time before the deadline at which a request is still sent.
	minRemaining = 3 * time.Millisecond
	// Other requests avoid an engine that has not sent the first byte of a response within
	// firstByteObjectiveFactor times the route's objective, and at least minFirstByteTimeout.
	firstByteObjectiveFactor = 3
	minFirstByteTimeout      = 600 * time.Millisecond
	// minRetryTimeout is the shortest time without a response after which a safe request is
	// retried on another engine.
	minRetryTimeout = 50 * time.Millisecond
	// maxBufferedBytes is how much of a response is buffered before it is relayed. It must be
	// initialBufferBytes times a power of two, because buffers grow by doubling.
	maxBufferedBytes = 1 << 20
	// initialBufferBytes is the initial size of a response's buffer.
	initialBufferBytes = 4 << 10
	// relayBufferBytes is the read size for the part of a response that exceeds its buffer.
	relayBufferBytes = 16 << 10
)

// inflightCall is the state of one call.
type inflightCall struct {
	service *Service
	call    *Call
	writer  ResponseWriter
	route   *routing.Route
	// serviceName is the service that runs the call.
	serviceName   string
	serviceConfig routing.Service
	// zones are the zones in which the call may be served and stored.
	zones                region.ZoneSet
	configurationVersion int64
	configuration        *routing.Configuration
	// requiredVersion is the software version that began the stream which the call resumes, nil for
	// other calls.
	requiredVersion *string
	// tenant sends the call, nil if it is anonymous.
	tenant   *tenant.Tenant
	deadline time.Time
	body     []byte
	// instance is the engine that was chosen last, as it was known then.
	instance backend.Instance
	// triedEngines are the engines that are not chosen again because the call has tried them.
	triedEngines []string
	// executions counts the attempts that an engine may have run.
	executions int
	// refusalState counts the engines' refusals of the call.
	refusalState backend.RefusalState
	// continuesProgram is true for a turn whose program already has turns.
	continuesProgram bool
	lastEngine       string
	// lastVersion is the software version of the engine that runs the call's stream.
	lastVersion string
	// lastStatus is the HTTP status of the last engine's response.
	lastStatus int
	// failedEngine is the engine that last failed the call, empty if none did.
	failedEngine string
	// via is the node to which the last attempt was delegated.
	via             string
	responseStarted bool
	// releaseEngine ends the attempt at its engine.
	releaseEngine func(backend.Outcome)
	// firstByteReceived is called when the first byte of a response arrives.
	firstByteReceived func()
	// endFirstByteWait is called when the attempt gets its first byte, and when it ends.
	endFirstByteWait func()
	// streamCompleted is called when a stream has arrived completely.
	streamCompleted func()
	eventCount      int64
	firstEventAt    time.Time
	lastEventAt     time.Time
	// awaitingSince is when the wait for the engine's next event began; writeDuration is the total
	// time spent writing events to the caller.
	awaitingSince   time.Time
	writeDuration   time.Duration
	reserved        bool
	reservation     Reservation
	reserveDuration time.Duration
	admitDuration   time.Duration
	recordDuration  time.Duration
	// engineViewAge and eligibleEngines describe the list of engines at the last choice.
	engineViewAge   time.Duration
	eligibleEngines int
	// searchStarted is when the search for an engine began; hasWaited is true once the call has
	// waited for one.
	searchStarted time.Time
	hasWaited     bool
	// initialForecast is the forecast when the call first had to wait.
	initialForecast backend.Forecast
	// fingerprint returns the fingerprint of the call's request, and content that of what engines receive.
	// Each is computed at its first use.
	fingerprint func() quarantine.Fingerprint
	content     func() quarantine.Fingerprint
	// attempt is the attempt under way at an engine, nil if there is none.
	attempt atomic.Pointer[quarantine.Attempt]
	// announced is what all nodes were told of the attempt, nil if nothing.
	announced *quarantine.Loss
	// heldSince is when the call was first held until other attempts of its request are over.
	heldSince time.Time
}

// Serve runs a call until its response is complete or has failed. ctx must be done when the
// caller is gone.
func (service *Service) Serve(ctx context.Context, call *Call, writer ResponseWriter) {
	inflight := &inflightCall{service: service, call: call, writer: writer}
	inflight.fingerprint = sync.OnceValue(inflight.computeFingerprint)
	inflight.content = sync.OnceValue(inflight.computeContent)
	inflight.awaitLoadedViews(ctx)
	inflight.awaitFreshViews(ctx)
	failure := inflight.prepare()
	if failure == nil {
		failure = inflight.runUntilDeadline(ctx)
	}
	inflight.finish(ctx, failure)
}

// runUntilDeadline runs the call until its deadline, or until its request is quarantined.
func (inflight *inflightCall) runUntilDeadline(ctx context.Context) error {
	cancelable, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer inflight.service.underWay.add(inflight, cancel)()
	bounded, endDeadline := context.WithDeadline(cancelable, inflight.deadline)
	defer endDeadline()
	failure := inflight.run(bounded)
	if failure != nil && errors.Is(context.Cause(cancelable), errQuarantined) {
		return inflight.quarantineError()
	}
	return failure
}

// prepare determines the call's route, tenant, service and deadline.
func (inflight *inflightCall) prepare() error {
	configuration := inflight.service.Routes.Load()
	if configuration == nil {
		return resultcode.New(resultcode.ConfigurationStale, "no configuration loaded yet").WithRetryAfter(inflight.service.configurationRetryAfter())
	}
	inflight.configurationVersion = configuration.Version
	inflight.configuration = configuration
	inflight.route = configuration.Match(inflight.call.Host, inflight.call.Path)
	if inflight.route == nil {
		return inflight.denialError(resultcode.UnknownRoute, "no route for this host and path")
	}
	if inflight.route.StoresTurns && inflight.call.Resumes {
		// The turn's record must contain the whole response, but this node may not have the part
		// that the caller already received.
		return resultcode.New(resultcode.ResumeNotHeld, "stream cannot be resumed: its beginning is not available").WithRetryAfter(transientRetryAfter)
	}
	failure := inflight.authenticate(configuration)
	if failure != nil {
		return failure
	}
	inflight.serviceName = inflight.route.PickService()
	inflight.zones = inflight.allowedZones()
	inflight.continuesProgram = inflight.call.Turn != nil && inflight.call.Turn.Previous != ""
	inflight.serviceConfig = configuration.Services[inflight.serviceName]
	inflight.body = inflight.call.Body
	inflight.deadline = inflight.callerDeadline()
	if inflight.route.Timeout > 0 && inflight.call.Received.Add(inflight.route.Timeout).Before(inflight.deadline) {
		inflight.deadline = inflight.call.Received.Add(inflight.route.Timeout)
	}
	return nil
}

// callerDeadline returns the deadline that the caller has set, or the default.
func (inflight *inflightCall) callerDeadline() time.Time {
	if inflight.call.Deadline.IsZero() {
		return inflight.call.Received.Add(defaultTimeout)
	}
	return inflight.call.Deadline
}

// allowedZones returns the zones that both the route and the tenant allow.
func (inflight *inflightCall) allowedZones() region.ZoneSet {
	if inflight.tenant == nil {
		return inflight.service.Regions.AllowedZones(inflight.route.Regions)
	}
	return inflight.service.Regions.AllowedZones(inflight.route.Regions, inflight.tenant.Regions)
}

func (service *Service) configurationRetryAfter() time.Duration {
	if time.Since(service.Started) < startupGrace || !feature.Enabled(feature.StaggeredRetries) {
		return transientRetryAfter
	}
	return noConfigurationRetryAfter
}

func (inflight *inflightCall) run(ctx context.Context) error {
	failure := inflight.restrictResumption(ctx)
	if failure != nil {
		return failure
	}
	if inflight.requiredVersion == nil && inflight.service.Engines.NoneAvailable(inflight.serviceName, inflight.zones) {
		return inflight.refuseForCapacity(NoEngineAvailable, backend.Forecast{})
	}
	failure = inflight.checkQuarantine(ctx)
	if failure != nil {
		return failure
	}
	failure = inflight.waitForLog(ctx)
	if failure != nil {
		return failure
	}
	failure = inflight.admit(ctx)
	if failure != nil {
		return failure
	}
	if inflight.needsReservation() {
		failure := inflight.reserve(ctx)
		if failure != nil {
			return failure
		}
	}
	defer inflight.trackToolCall()()
	failure = inflight.sendWithRetries(ctx)
	if inflight.reserved {
		inflight.settle(nil)
	}
	return failure
}

// needsReservation reports whether the call is a turn that must be reserved with its program's
// owner: the program has a budget, or the turn continues a stored one.
func (inflight *inflightCall) needsReservation() bool {
	turn := inflight.call.Turn
	if turn == nil || inflight.route.Kind != routing.Streaming {
		return false
	}
	return turn.Budget < Unlimited || (inflight.route.StoresTurns && turn.Previous != "")
}

// reserve reserves the turn with its program's owner, and prepends the chain of previous turns to
// the input.
func (inflight *inflightCall) reserve(ctx context.Context) error {
	if !inflight.route.StoresTurns {
		inflight.call.Turn.Previous = ""
	}
	began := time.Now()
	reservation := inflight.service.Programs.Reserve(ctx, &ReservationRequest{
		Call: inflight.call, Service: inflight.serviceName, Route: inflight.route.Name, Priority: inflight.priority(), Zones: inflight.zones})
	inflight.reservation = reservation
	inflight.reserveDuration = time.Since(began)
	switch reservation.Verdict {
	case nodev1.Verdict_VERDICT_GRANTED:
		inflight.reserved = true
		if len(reservation.Chain) > 0 {
			inflight.body = history.BuildPrompt(reservation.Chain, inflight.call.Body)
		}
		return nil
	case nodev1.Verdict_VERDICT_SPENT:
		return resultcode.New(resultcode.ProgramCapReached, "program budget does not cover the turn: %s", reservation.Reason)
	case nodev1.Verdict_VERDICT_NO_SUCH_TURN:
		return resultcode.New(resultcode.UnknownTurn, "previous turn %s does not exist", inflight.call.Turn.Previous)
	case nodev1.Verdict_VERDICT_NO_ROOM:
		return resultcode.New(resultcode.NoRoom, "no capacity to start the program: %s", reservation.Reason).WithRetryAfter(reservation.RetryAfter)
	default:
		retryAfter := ownerRetryAfter
		switch {
		case reservation.RetryAfter > 0:
			retryAfter = inflight.clampRetryAfter(reservation.RetryAfter)
		case reservation.TryOtherNode:
			retryAfter = otherNodeRetryAfter
		}
		return resultcode.New(resultcode.NoLeader, "program owner cannot decide now: %s", reservation.Reason).WithRetryAfter(retryAfter)
	}
}

// clampRetryAfter limits a retry delay to a fraction of the call's remaining time: callers do not
// retry after a longer one.
func (inflight *inflightCall) clampRetryAfter(delay time.Duration) time.Duration {
	return max(min(delay, time.Duration(maxRetryAfterFraction*float64(time.Until(inflight.deadline)))), 0)
}

// settle reports the outcome of the reserved turn to its owner.
func (inflight *inflightCall) settle(turn *history.Turn) {
	inflight.reserved = false
	result := TurnResult{
		Tokens:       inflight.eventCount * int64(inflight.serviceConfig.TokensPerEvent),
		Turn:         turn,
		FailedEngine: inflight.failedEngine,
	}
	if turn != nil {
		result.RecordTime = inflight.recordDuration
	}
	inflight.service.Programs.Settle(inflight.call, inflight.reservation.Grant, result)
}
