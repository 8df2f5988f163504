package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/internal/resultcode"
)

const (
	// leastRetryAfter and mostRetryAfter bound what a refused caller is told.
	leastRetryAfter = time.Second
	mostRetryAfter  = time.Minute
	// leastRate keeps predictions finite, grants a second.
	leastRate = 0.001
)

// admit decides whether an offered call may wait, and refuses it if not.
func (keeper *Keeper) admit(request *Request, rank queue.Rank) bool {
	if keeper.withoutEngine() {
		keeper.refuse(request, resultcode.NoBackEnd, keeper.config.NoEngineGrace, "no engine is ready")
		return false
	}
	predicted := keeper.predictWait(rank.Band) + keeper.predictLoad(request.Adapter)
	if bound := keeper.waitBound(request); bound > 0 && predicted > bound {
		keeper.refuse(request, resultcode.Overloaded, retryAfter(predicted), "predicted wait over the tier's bound")
		return false
	}
	if len(keeper.waiting) < keeper.config.MaxWaiting {
		return true
	}
	if keeper.pushOut(request.Weight, predicted) {
		return true
	}
	keeper.refuse(request, resultcode.Overloaded, retryAfter(predicted), "queue full")
	return false
}

// waitBound is the bound for a request, wider for a program that has begun.
func (keeper *Keeper) waitBound(request *Request) time.Duration {
	if request.AttainedService == 0 {
		return request.WaitBound
	}
	return time.Duration(float64(request.WaitBound) * keeper.config.InProgressFactor)
}

// pushOut refuses the last waiting call of the lightest tier, if that tier is
// lighter than weight. The call has not run, so the refusal is true.
func (keeper *Keeper) pushOut(weight uint32, predicted time.Duration) bool {
	victim := keeper.lightestWaiting()
	if victim == nil || victim.request.Weight >= weight {
		return false
	}
	keeper.refuseWaiting(victim, resultcode.Overloaded, retryAfter(predicted), "pushed out by a higher tier")
	return true
}

// lightestWaiting returns the waiting call that would be served last.
func (keeper *Keeper) lightestWaiting() *waitingCall {
	var victim *waitingCall
	consider := func(waiting *queue.Queue[*waitingCall]) {
		last := waiting.PeekLast()
		if last != nil && (victim == nil || servedLater(last.Value, victim)) {
			victim = last.Value
		}
	}
	consider(keeper.pool)
	for _, engine := range keeper.engines {
		consider(engine.bound)
	}
	for _, adapter := range keeper.adapters {
		consider(adapter.waiting)
	}
	return victim
}

// servedLater orders calls of different queues by weight, then rank.
func servedLater(call, other *waitingCall) bool {
	if call.request.Weight != other.request.Weight {
		return call.request.Weight < other.request.Weight
	}
	return call.rank.Value > other.rank.Value
}

// predictWait is the wait a call entering a band now can expect. In a band with
// a backlog it is the calls that wait over the rate at which they are granted,
// which also knows how far memory and not slots bound the pool. Without one, a
// band is served either after all calls above it, at the rate that higher bands
// leave, or by its reserved share, whichever comes first. While no engine is
// ready there is nothing to predict from: calls wait for NoEngineGrace.
func (keeper *Keeper) predictWait(band uint32) time.Duration {
	atOrAbove, inBand := keeper.ahead(band)
	if rate := keeper.tiers.backlogRate(band, keeper.now); rate > 0 {
		return seconds(float64(inBand+1) / rate)
	}
	slots, free := 0, 0
	for _, engine := range keeper.engines {
		if engine.ready() {
			slots += keeper.limit(engine)
			free += keeper.freeSlots(engine)
		}
	}
	if slots == 0 || free > len(keeper.waiting) {
		return 0
	}
	rate := max(float64(slots)/keeper.estimates.hold(), leastRate)
	left := max(rate-keeper.tiers.rateAbove(band, keeper.now), leastRate)
	inTurn := float64(atOrAbove+1) / left
	byShare := float64(inBand+1) / max(rate*keeper.pool.ReservedShare(band), leastRate)
	return seconds(min(inTurn, byShare))
}

// noteIdleBands records which bands have no waiting call.
func (keeper *Keeper) noteIdleBands() {
	for _, rate := range keeper.tiers.bands {
		if _, inBand := keeper.ahead(rate.number); inBand == 0 {
			rate.idleAt = keeper.now
		}
	}
}

// ahead counts waiting calls at or above a band, and in it.
func (keeper *Keeper) ahead(band uint32) (atOrAbove, inBand int) {
	atOrAbove, inBand = keeper.pool.CountAtOrAbove(band)
	for _, engine := range keeper.engines {
		higher, same := engine.bound.CountAtOrAbove(band)
		atOrAbove += higher
		inBand += same
	}
	return atOrAbove, inBand
}

// retryAfter bounds a predicted wait for the caller, in whole seconds.
func retryAfter(predicted time.Duration) time.Duration {
	rounded := (predicted + time.Second - 1).Truncate(time.Second)
	return min(max(rounded, leastRetryAfter), mostRetryAfter)
}

// withoutEngine tells whether no engine has been ready for longer than the
// grace.
func (keeper *Keeper) withoutEngine() bool {
	for _, engine := range keeper.engines {
		if engine.ready() {
			keeper.lastReady = keeper.now
			return false
		}
		if engine.allowed() {
			// It was ready until its silence grew too long.
			keeper.lastReady = max(keeper.lastReady, engine.reportedAt+keeper.config.ReportTimeout)
		}
	}
	return keeper.now-keeper.lastReady > keeper.config.NoEngineGrace
}

// refuseWithoutEngine refuses every waiting call once no engine has been ready
// for longer than the grace.
func (keeper *Keeper) refuseWithoutEngine() {
	if len(keeper.waiting) == 0 || !keeper.withoutEngine() {
		return
	}
	for _, engine := range keeper.engines {
		keeper.unbind(engine)
	}
	keeper.unparkAll()
	for keeper.pool.Len() > 0 {
		call := keeper.pool.Pop().Value
		keeper.refuseWaiting(call, resultcode.NoBackEnd, keeper.config.NoEngineGrace, "no engine is ready")
	}
}

// refuse gives a call its final answer.
func (keeper *Keeper) refuse(request *Request, code resultcode.Code, after time.Duration, why string) {
	keeper.decide(request.Call, "refuse", why)
	predicted := time.Duration(0)
	if code == resultcode.Overloaded {
		predicted = keeper.predictWait(keeper.policies.Order.Rank(keeper.describe(request)).Band)
	}
	keeper.emit(Refuse{Request: *request, Code: code, RetryAfter: after, Why: why, Grounds: keeper.grounds(predicted)})
}
