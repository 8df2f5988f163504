package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

// Quarantine knows, over all nodes, under which requests engines have ended.
type Quarantine interface {
	// Count returns how many engines have ended under a request.
	Count(identity quarantine.Identity) int
	// Quarantined reports whether a request must not be sent, and RetryAfter when it may be again.
	Quarantined(identity quarantine.Identity) bool
	RetryAfter(identity quarantine.Identity) time.Duration
	// PlacementFor returns where a request that was lost with an engine is tried next.
	PlacementFor(fingerprint quarantine.Fingerprint, service string) quarantine.Placement
	// Empty reports whether nothing is held against any request.
	Empty() bool
	// Known returns a channel that is closed once this node knows what is held against requests, or a
	// while after its start.
	Known() <-chan struct{}
	// Announce is called before an attempt of a request is sent under which engines have ended. If it may be
	// sent, all nodes know of it until it is withdrawn, also if this node is lost. Other requests are admitted
	// without being announced. answered is true if the engine answered the attempt completely.
	Announce(attempt quarantine.Attempt) (quarantine.Loss, quarantine.Verdict)
	Withdraw(announced quarantine.Loss, answered bool)
	// RecordLoss records an attempt without a complete response. If its connection ended, it returns
	// once the other nodes know, or after a short timeout: the caller's next try may reach any node.
	RecordLoss(attempt quarantine.Attempt, cause quarantine.Cause)
	// AttemptOver records an attempt that is not held against its request. If the engine turns out to end
	// then, it has ended under the request.
	AttemptOver(attempt quarantine.Attempt, answer quarantine.Answer)
	// EngineUnreachable records that no connection to an engine could be established; refused is true if
	// nothing listens at its address.
	EngineUnreachable(engine backend.Instance, refused bool)
	// EngineAnswered records that an engine answered an attempt that began at a time.
	EngineAnswered(engine backend.Instance, began time.Time)
	// RequestAnswered records that an attempt was answered at a time.
	RequestAnswered(attempt quarantine.Attempt, at time.Time)
}

const (
	// maxHold is how long a call waits for other attempts of the same request to be over. Callers that wait
	// longer are better served by another try.
	maxHold = time.Second
	// holdCheckInterval is the interval at which a held call is checked.
	holdCheckInterval = 25 * time.Millisecond
)

// frozenBacklogTime is how long after a freeze a node still reads calls that came during it. Those whose
// callers have left by then are sent and abandoned at once.
const frozenBacklogTime = time.Second

// errQuarantined is the cancellation cause of calls whose request is quarantined meanwhile.
var errQuarantined = errors.New("request is quarantined")

// computeFingerprint returns the fingerprint of the call's request.
func (inflight *inflightCall) computeFingerprint() quarantine.Fingerprint {
	call := inflight.call
	content := quarantine.Content{Tenant: call.Tenant, Program: call.Program, Method: call.Method, Host: call.Host, Target: call.Target, Body: call.Body}
	if call.Turn != nil && inflight.route.StoresTurns {
		content.Previous = call.Turn.Previous
	}
	return content.Fingerprint()
}

// computeContent returns the fingerprint of what engines receive, the zero value outside programs. It is
// called once the chain of previous turns is known.
func (inflight *inflightCall) computeContent() quarantine.Fingerprint {
	call := inflight.call
	if call.Program == "" || !feature.Enabled(feature.AllEngineEnds) {
		return quarantine.Fingerprint{}
	}
	content := quarantine.Content{Tenant: call.Tenant, Method: call.Method, Host: call.Host, Target: call.Target, Body: inflight.body}
	return content.Fingerprint()
}

// identity returns what is the same in all tries of the call's request.
func (inflight *inflightCall) identity() quarantine.Identity {
	return quarantine.Identity{Request: inflight.fingerprint(), Content: inflight.content()}
}

// quarantineAttempt describes an attempt at an engine that is to end at a time.
func (inflight *inflightCall) quarantineAttempt(engine backend.Instance, began, deadline time.Time) quarantine.Attempt {
	return quarantine.Attempt{Identity: inflight.identity(), Engine: quarantine.EngineLife{ID: engine.ID, Incarnation: engine.Incarnation},
		Address: engine.Address, Began: began, Deadline: deadline}
}

// checkQuarantine returns an error if engines have ended under the request too often for it to be
// sent again. On a node that has just started it waits until that is known.
func (inflight *inflightCall) checkQuarantine(ctx context.Context) error {
	tracker := inflight.service.Quarantine
	if tracker == nil {
		return nil
	}
	select {
	case <-tracker.Known():
	case <-ctx.Done():
		return inflight.timeoutError(ctx)
	}
	if tracker.Empty() || !tracker.Quarantined(inflight.knownIdentity()) {
		return nil
	}
	return inflight.quarantineError()
}

// knownIdentity returns the call's identity, without its content before that is known.
func (inflight *inflightCall) knownIdentity() quarantine.Identity {
	if inflight.searchStarted.IsZero() {
		return quarantine.Identity{Request: inflight.fingerprint()}
	}
	return inflight.identity()
}

// announceAttempt tells all nodes of an attempt that is about to be sent if engines have ended under its
// request. It returns false if the attempt must not be sent now, with an error if it must not be at all.
func (inflight *inflightCall) announceAttempt(ctx context.Context, engine *backend.Engine) (bool, error) {
	tracker := inflight.service.Quarantine
	inflight.announced = nil
	if tracker == nil || tracker.Empty() {
		return true, nil
	}
	announced, verdict := tracker.Announce(inflight.quarantineAttempt(inflight.instance, time.Now(), inflight.deadline))
	if verdict == quarantine.Admitted {
		inflight.announced = &announced
		return true, nil
	}
	tracker.Withdraw(announced, false)
	inflight.returnEngine(engine)
	if inflight.heldSince.IsZero() {
		inflight.heldSince = time.Now()
	}
	switch {
	case verdict == quarantine.Quarantined:
		return false, inflight.quarantineError()
	case time.Since(inflight.heldSince) > maxHold:
		return false, inflight.heldError()
	}
	wait.Sleep(ctx, holdCheckInterval)
	return false, nil
}

// returnEngine gives back an engine that was chosen and gets no request.
func (inflight *inflightCall) returnEngine(engine *backend.Engine) {
	inflight.refusalState.ReleaseAttempt(&inflight.service.RetryBudget)
	inflight.service.Engines.Finish(engine, backend.Abandoned, time.Now())
	inflight.service.WaitQueue.WakeNext(inflight.serviceName)
}

// beginAttempt describes an attempt that is about to be sent and has a time left.
func (inflight *inflightCall) beginAttempt(engine backend.Instance, began time.Time, remaining time.Duration) quarantine.Attempt {
	if inflight.service.Quarantine == nil {
		return quarantine.Attempt{}
	}
	attempt := inflight.quarantineAttempt(engine, began, began.Add(remaining))
	inflight.attempt.Store(&attempt)
	return attempt
}

// UnderWay returns the attempts of a request that are under way at engines.
func (service *Service) UnderWay(fingerprint quarantine.Fingerprint) []quarantine.Attempt {
	service.underWay.mutex.Lock()
	defer service.underWay.mutex.Unlock()
	var attempts []quarantine.Attempt
	for inflight := range service.underWay.calls {
		if attempt := inflight.attempt.Load(); attempt != nil && attempt.Request == fingerprint {
			attempts = append(attempts, *attempt)
		}
	}
	return attempts
}

// quarantineError returns the error of a quarantined call: refused as not run, unless an engine may
// have run this call itself.
func (inflight *inflightCall) quarantineError() error {
	if inflight.executions > 0 {
		return inflight.outcomeUnknownError()
	}
	return resultcode.New(resultcode.RequestQuarantined, "%d engines ended under requests with this content (%s); this one was not sent",
		quarantine.MaxLosses, inflight.fingerprint()).WithRetryAfter(inflight.service.Quarantine.RetryAfter(inflight.knownIdentity()))
}

// heldError returns the error of a call that has waited for other attempts of its request to be over.
func (inflight *inflightCall) heldError() error {
	if inflight.executions > 0 {
		return inflight.outcomeUnknownError()
	}
	return resultcode.New(resultcode.RequestHeld, "engines may yet end under other attempts with this content (%s); this one was not sent",
		inflight.fingerprint()).WithRetryAfter(inflight.clampRetryAfter(inflight.service.Quarantine.RetryAfter(inflight.knownIdentity())))
}

// isSuspect reports whether an engine may have ended under the request.
func (inflight *inflightCall) isSuspect() bool { return inflight.knownLosses() > 0 }

// knownLosses returns how many engines have ended under the request, as far as this node knows.
func (inflight *inflightCall) knownLosses() int {
	tracker := inflight.service.Quarantine
	if tracker == nil || tracker.Empty() {
		return 0
	}
	return tracker.Count(inflight.knownIdentity())
}

// placement returns where a request that was lost with an engine is tried next, so that it does not
// share a batch with others that were. The choice is free for all other requests.
func (inflight *inflightCall) placement() quarantine.Placement {
	if !inflight.isSuspect() {
		return quarantine.Placement{}
	}
	return inflight.service.Quarantine.PlacementFor(inflight.fingerprint(), inflight.serviceName)
}

// attemptEnd is how one attempt at an engine ended.
type attemptEnd struct {
	engine  backend.Instance
	attempt quarantine.Attempt
	began   time.Time
	outcome backend.Outcome
	// sent is true if the engine may have received the request, answered if it sent a response head.
	sent     bool
	answered bool
	// nodeLost is true if the node that was to send the request was lost.
	nodeLost bool
	// refused is true if nothing listens at the engine's address.
	refused bool
	// abandoned is true if the attempt was canceled.
	abandoned bool
}

// recordAttempt tells the quarantine how an attempt ended.
func (inflight *inflightCall) recordAttempt(end attemptEnd) {
	tracker := inflight.service.Quarantine
	// Until its loss is recorded the attempt counts as under way.
	defer inflight.attempt.Store(nil)
	if tracker == nil {
		if end.mayHaveRun() {
			inflight.recordLoss(end)
		}
		return
	}
	if end.answered {
		tracker.EngineAnswered(end.engine, end.began)
	}
	over := true
	switch {
	case end.outcome == backend.Succeeded:
		tracker.AttemptOver(end.attempt, quarantine.CompleteAnswer)
		if !tracker.Empty() {
			tracker.RequestAnswered(end.attempt, time.Now())
		}
	case end.outcome == backend.EngineError:
		tracker.AttemptOver(end.attempt, quarantine.ErrorAnswer)
	case end.outcome == backend.Unreachable:
		tracker.EngineUnreachable(end.engine, end.refused)
	case end.mayHaveRun():
		over = inflight.recordLoss(end)
	}
	if inflight.announced != nil && over {
		tracker.Withdraw(*inflight.announced, end.outcome == backend.Succeeded || end.outcome == backend.EngineError)
	}
}

// mayHaveRun reports whether an engine may have received the attempt and gave no complete response.
func (end attemptEnd) mayHaveRun() bool { return (end.sent || end.nodeLost) && mayHaveRun(end.outcome) }

// explanation is why the end of an attempt is not held against its request, as it appears in logs. It is
// empty if it is held.
type explanation string

// Explanations.
const (
	explainedByFreeze   explanation = "freeze"
	explainedByNodeLoss explanation = "node_lost"
	explainedByDrain    explanation = "planned"
	explainedByBacklog  explanation = "left_after_freeze"
)

// explain returns why the end of an attempt is not held against its request.
func (inflight *inflightCall) explain(end attemptEnd, cause quarantine.Cause) explanation {
	switch {
	case inflight.service.FreezeDetector.FrozenSince(end.began):
		return explainedByFreeze
	case end.nodeLost && !end.abandoned:
		return explainedByNodeLoss
	case !feature.Enabled(feature.AllEngineEnds) && inflight.service.plannedEnd(end.engine, cause):
		return explainedByDrain
	case inflight.leftDuringFreeze(end, cause):
		return explainedByBacklog
	}
	return ""
}

// mayHaveRun reports whether an attempt with this outcome may have reached its engine and got no
// complete response.
func mayHaveRun(outcome backend.Outcome) bool {
	switch outcome {
	case backend.Failed, backend.FailedRemotely, backend.NoResponse, backend.Abandoned:
		return true
	}
	return false
}

// recordLoss records an attempt that its engine may have run and did not answer completely. It returns false
// if something else than the engine's end explains that: it is then held against the request only once the
// engine is found to have ended.
func (inflight *inflightCall) recordLoss(end attemptEnd) bool {
	end.attempt.Started = end.answered
	silent := time.Since(inflight.lastHeard(end.began))
	cause := quarantine.Interrupted
	switch {
	case end.abandoned && silent >= minFirstByteTimeout:
		cause = quarantine.Silent
	case end.abandoned:
		cause = quarantine.Left
	}
	engine := end.engine
	explained := inflight.explain(end, cause)
	inflight.service.Logger.Info("attempt unanswered", zap.String("request", inflight.call.ID), zap.Stringer("content", inflight.fingerprint()),
		zap.String("engine", engine.ID), zap.Int64("life", engine.Incarnation), zap.Stringer("cause", cause),
		zap.Duration("after", time.Since(end.began)), zap.Duration("silent", silent), zap.Int64("events", inflight.eventCount),
		zap.String("explained", string(explained)), zap.Int("losses_known", inflight.knownLosses()), zap.Duration("node_age", time.Since(inflight.service.Started)))
	switch {
	case inflight.service.Quarantine == nil:
	case explained == "":
		inflight.service.Quarantine.RecordLoss(end.attempt, cause)
	default:
		inflight.service.Quarantine.AttemptOver(end.attempt, quarantine.NoAnswer)
	}
	return explained == ""
}

// plannedEnd reports whether an engine ends by plan: it is draining, or its record went before its
// connections. Such an end is not held against the requests that it cuts.
func (service *Service) plannedEnd(engine backend.Instance, cause quarantine.Cause) bool {
	return cause == quarantine.Interrupted && !service.Engines.Serving(engine)
}

// leftDuringFreeze reports whether the caller has probably left while this node was frozen, before the
// attempt began. Its leave says nothing about the engine.
func (inflight *inflightCall) leftDuringFreeze(end attemptEnd, cause quarantine.Cause) bool {
	return cause == quarantine.Left && inflight.service.FreezeDetector.FrozenSince(end.began.Add(-frozenBacklogTime))
}

// lastHeard returns when the engine of the attempt that began then was last heard from.
func (inflight *inflightCall) lastHeard(began time.Time) time.Time {
	if inflight.awaitingSince.After(began) {
		return inflight.awaitingSince
	}
	return began
}

// callSet holds the calls of a node that are under way. It is safe for concurrent use.
type callSet struct {
	mutex sync.Mutex
	calls map[*inflightCall]context.CancelCauseFunc
}

// add adds a call and returns a function that removes it.
func (set *callSet) add(inflight *inflightCall, cancel context.CancelCauseFunc) func() {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if set.calls == nil {
		set.calls = map[*inflightCall]context.CancelCauseFunc{}
	}
	set.calls[inflight] = cancel
	return func() {
		set.mutex.Lock()
		defer set.mutex.Unlock()
		delete(set.calls, inflight)
	}
}

// CancelQuarantined ends the calls of a request that has been quarantined, so that they are neither
// sent to an engine nor run on at one.
func (service *Service) CancelQuarantined(fingerprint quarantine.Fingerprint) {
	service.underWay.mutex.Lock()
	defer service.underWay.mutex.Unlock()
	for inflight, cancel := range service.underWay.calls {
		if inflight.fingerprint() == fingerprint {
			cancel(errQuarantined)
		}
	}
}
