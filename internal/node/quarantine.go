package node

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/quarantine"
	"go.uber.org/zap"
)

// requestQuarantine implements forward.Quarantine. It shares what this node observes with all others.
type requestQuarantine struct {
	node    *Node
	tracker *quarantine.Tracker
	sharing *lossSharing
	records *lossRecords
	ends    *engineEnds
}

func newRequestQuarantine(node *Node) *requestQuarantine {
	created := &requestQuarantine{node: node}
	created.tracker = quarantine.NewTracker(created.onQuarantine)
	created.sharing = newLossSharing(node, created.tracker, created.merge)
	created.records = newLossRecords(node, created.tracker, created.sharing, created.merge)
	created.ends = newEngineEnds(node, created)
	return created
}

// onQuarantine ends the calls of a request under which too many engines have ended.
func (requests *requestQuarantine) onQuarantine(fingerprint quarantine.Fingerprint) {
	identity := quarantine.Identity{Request: fingerprint, Content: fingerprint}
	requests.node.logger.Warn("request quarantined", zap.Stringer("content", fingerprint),
		zap.Duration("for", requests.tracker.QuarantinedFor(identity, time.Now())), zap.Strings("engines", requests.tracker.EnginesLost(fingerprint, time.Now())))
	requests.node.meter.quarantined.Inc()
	requests.node.service.CancelQuarantined(fingerprint)
}

// run shares and records losses until ctx ends.
func (requests *requestQuarantine) run(ctx context.Context) {
	if requests.records.enabled() {
		go requests.records.run(ctx)
	}
	go requests.ends.run(ctx)
	requests.sharing.run(ctx)
}

// ready reports whether this node knows the losses that were shared or recorded before it started.
func (requests *requestQuarantine) ready() bool {
	return !feature.Enabled(feature.RequestQuarantine) || requests.sharing.synchronized.Load() && requests.records.isKnown()
}

// Known implements forward.Quarantine.
func (requests *requestQuarantine) Known() <-chan struct{} { return requests.records.known }

// Empty implements forward.Quarantine.
func (requests *requestQuarantine) Empty() bool { return requests.tracker.Empty() }

// Count implements forward.Quarantine.
func (requests *requestQuarantine) Count(identity quarantine.Identity) int {
	return requests.tracker.Count(identity, time.Now())
}

// Quarantined implements forward.Quarantine.
func (requests *requestQuarantine) Quarantined(identity quarantine.Identity) bool {
	return requests.tracker.QuarantinedFor(identity, time.Now()) > 0
}

// RetryAfter implements forward.Quarantine.
func (requests *requestQuarantine) RetryAfter(identity quarantine.Identity) time.Duration {
	return requests.tracker.RetryAfter(identity, time.Now())
}

// PlacementFor implements forward.Quarantine.
func (requests *requestQuarantine) PlacementFor(fingerprint quarantine.Fingerprint, service string) quarantine.Placement {
	var engines []quarantine.EngineLife
	for _, instance := range requests.node.engines.Instances(service) {
		engines = append(engines, engineLife(instance))
	}
	return requests.tracker.PlacementFor(fingerprint, engines, time.Now())
}

// Announce implements forward.Quarantine.
func (requests *requestQuarantine) Announce(attempt quarantine.Attempt) (quarantine.Loss, quarantine.Verdict) {
	now := time.Now()
	announced := quarantine.NewLoss(attempt, quarantine.Unfinished, now)
	if !feature.Enabled(feature.AllEngineEnds) {
		return announced, quarantine.Admitted
	}
	verdict := requests.tracker.Admit(announced, now)
	if verdict != quarantine.Admitted || !requests.tracker.IsSuspect(attempt.Identity, now) {
		return announced, verdict
	}
	news := requests.merge([]quarantine.Loss{announced}, now)
	requests.sharing.shareNow(news, requests.records.recordNow(attempt.Identity, quarantine.Unfinished, now))
	return announced, requests.tracker.Admit(announced, time.Now())
}

// Withdraw implements forward.Quarantine. Where engines have ended, an answered attempt is finished once the
// engine has gone on for a while.
func (requests *requestQuarantine) Withdraw(announced quarantine.Loss, answered bool) {
	withdraw := func() { requests.sharing.shareSoon(requests.tracker.Withdraw(announced)) }
	if answered && requests.knownToEnd(announced.Request) {
		time.AfterFunc(quarantine.EndSettling, withdraw)
		return
	}
	withdraw()
}

// knownToEnd reports whether an engine is known to have ended that counts as ended under a request.
func (requests *requestQuarantine) knownToEnd(request quarantine.Fingerprint) bool {
	return requests.tracker.KnownToEnd(request, requests.ends.isKnown, time.Now())
}

// RecordLoss implements forward.Quarantine.
func (requests *requestQuarantine) RecordLoss(attempt quarantine.Attempt, cause quarantine.Cause) {
	if !feature.Enabled(feature.AllEngineEnds) {
		requests.recordLoss(attempt, cause, nil)
		return
	}
	requests.ends.add(attempt, false)
	var check *verification
	if cause == quarantine.Interrupted {
		check = requests.ends.verifySoon(attempt.Engine, attempt.Address)
	}
	requests.recordLoss(attempt, cause, check)
}

// recordLoss records a loss. If an engine's connection ended, it returns once the other nodes know. check is
// nil if the engine is not checked for having ended.
func (requests *requestQuarantine) recordLoss(attempt quarantine.Attempt, cause quarantine.Cause, check *verification) {
	now := time.Now()
	requests.node.meter.lossesRecorded.WithLabelValues(cause.String()).Inc()
	losses := []quarantine.Loss{quarantine.NewLoss(attempt, cause, now)}
	if cause.GivenUp() && !attempt.Started && feature.Enabled(feature.AllEngineEnds) {
		losses = append(losses, quarantine.NewGivenUp(attempt, now))
	}
	news := requests.merge(losses, now)
	recorded := requests.records.recordNow(attempt.Identity, cause, now)
	if cause != quarantine.Interrupted {
		requests.sharing.shareSoon(news)
		return
	}
	if recorded == nil && check != nil {
		recorded = requests.records.recordOnceEnded(attempt.Request, check)
	}
	requests.sharing.shareNow(news, recorded)
}

// merge adds losses and returns those that were new. Attempts of this node that are unfinished
// are shared.
func (requests *requestQuarantine) merge(losses []quarantine.Loss, now time.Time) []quarantine.Loss {
	held := make([]quarantine.Loss, 0, len(losses))
	for _, loss := range losses {
		if loss.IsEngineEnd() {
			requests.ends.ended(loss.Engine, false)
			continue
		}
		held = append(held, loss)
	}
	news := requests.tracker.Merge(held, now)
	if !feature.Enabled(feature.AllEngineEnds) {
		for _, loss := range news {
			if loss.Cause == quarantine.Interrupted && !loss.Refuted && requests.node.engines.ServingLife(loss.Engine.ID, loss.Engine.Incarnation) {
				requests.ends.ended(loss.Engine, false)
			}
		}
		return news
	}
	for index := range news {
		if loss := &news[index]; loss.Counts() && !loss.Cause.GivenUp() {
			requests.sharing.shareSoon(requests.tracker.Merge(requests.unfinishedOf(loss, now), now))
		}
	}
	return news
}

// unfinishedOf returns the losses of those attempts of this node that are unfinished when an engine has ended
// under the same request: under way at other engines, or over and perhaps still there. At most as many are
// returned as hold the request back.
func (requests *requestQuarantine) unfinishedOf(lost *quarantine.Loss, now time.Time) []quarantine.Loss {
	attempts := requests.node.service.UnderWay(lost.Request)
	for _, exposure := range requests.ends.of(lost.Request, now) {
		if !exposure.Answered || lost.Cause == quarantine.Answered {
			attempts = append(attempts, exposure.Attempt)
		}
	}
	var unfinished []quarantine.Loss
	for _, attempt := range attempts {
		if len(unfinished) < quarantine.MaxLosses && !requests.tracker.Knows(attempt) {
			unfinished = append(unfinished, quarantine.NewLoss(attempt, quarantine.Unfinished, now))
		}
	}
	return unfinished
}

// AttemptOver implements forward.Quarantine.
func (requests *requestQuarantine) AttemptOver(attempt quarantine.Attempt, answer quarantine.Answer) {
	switch {
	case feature.Enabled(feature.AllEngineEnds):
		requests.ends.add(attempt, answer != quarantine.NoAnswer)
	case answer == quarantine.ErrorAnswer:
		requests.ends.add(attempt, true)
	}
}

// EngineUnreachable implements forward.Quarantine.
func (requests *requestQuarantine) EngineUnreachable(engine backend.Instance, refused bool) {
	if !feature.Enabled(feature.AllEngineEnds) {
		if requests.node.engines.Serving(engine) {
			requests.ends.ended(engineLife(engine), false)
		}
		return
	}
	if refused {
		requests.ends.found(engineLife(engine))
	}
}

// expire forgets what no longer counts.
func (requests *requestQuarantine) expire(now time.Time) {
	requests.tracker.Expire(now)
	requests.ends.expire(now)
}

// EngineAnswered implements forward.Quarantine.
func (requests *requestQuarantine) EngineAnswered(engine backend.Instance, began time.Time) {
	requests.ends.answered(engineLife(engine), began)
	requests.shareRefuted(requests.tracker.EngineAnswered(engineLife(engine), began))
}

// RequestAnswered implements forward.Quarantine. Where engines have ended, the answer counts once the engine
// has gone on for a while: some end after their answers. Under other programs it counts at once.
func (requests *requestQuarantine) RequestAnswered(attempt quarantine.Attempt, at time.Time) {
	if !feature.Enabled(feature.AllEngineEnds) || !requests.knownToEnd(attempt.Request) {
		requests.shareRefuted(requests.tracker.RequestAnswered(attempt.Identity, at))
		return
	}
	requests.shareRefuted(requests.tracker.ContentAnswered(attempt.Identity, at))
	time.AfterFunc(quarantine.EndSettling, func() {
		if !requests.tracker.LostAt(attempt) {
			requests.shareRefuted(requests.tracker.RequestAnswered(attempt.Identity, at))
		}
	})
}

// release refutes all losses of the request whose fingerprint logs show as content, on all nodes and in
// the log. It returns their number.
func (requests *requestQuarantine) release(content string) int {
	released := requests.tracker.Release(content)
	if len(released) > 0 {
		requests.node.logger.Warn("request released", zap.String("content", content), zap.Int("losses", len(released)))
	}
	requests.shareRefuted(released)
	return len(released)
}

func (requests *requestQuarantine) shareRefuted(refuted []quarantine.Loss) {
	if len(refuted) == 0 {
		return
	}
	for _, loss := range refuted {
		if loss.Cause != quarantine.Unfinished {
			requests.node.meter.lossesRefuted.Inc()
			requests.node.logger.Info("loss refuted", zap.Stringer("content", loss.Request), zap.String("engine", loss.Engine.ID),
				zap.Int64("life", loss.Engine.Incarnation), zap.Stringer("cause", loss.Cause), zap.Duration("after", time.Since(loss.At)))
		}
	}
	requests.sharing.shareSoon(refuted)
}

func engineLife(instance backend.Instance) quarantine.EngineLife {
	return quarantine.EngineLife{ID: instance.ID, Incarnation: instance.Incarnation}
}
