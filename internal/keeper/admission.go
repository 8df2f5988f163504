package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/internal/resultcode"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay in a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// minGrantRate, in grants per second, keeps predicted waits finite.
	minGrantRate = 0.001
)

// admit reports whether an offered call may be queued, and refuses it if not.
func (keeper *Keeper) admit(request *Request, rank queue.Rank) bool {
	if keeper.engineGraceExpired() {
		keeper.refuse(request, resultcode.NoBackEnd, keeper.config.NoEngineGrace, "no engine is ready")
		return false
	}
	predicted := keeper.predictWait(rank.Band) + keeper.predictLoadWait(request.Adapter)
	if bound := keeper.waitBound(request); bound > 0 && predicted > bound {
		keeper.refuse(request, resultcode.Overloaded, retryAfter(predicted), "predicted wait over the tier's bound")
		return false
	}
	if len(keeper.waiting) < keeper.config.MaxWaiting {
		return true
	}
	if keeper.displaceLowerTier(request.Weight, predicted) {
		return true
	}
	keeper.refuse(request, resultcode.Overloaded, retryAfter(predicted), "queue full")
	return false
}

// waitBound returns the longest predicted wait allowed for a request. It is
// longer for programs already in progress; 0 means no bound.
func (keeper *Keeper) waitBound(request *Request) time.Duration {
	if request.AttainedService == 0 {
		return request.WaitBound
	}
	return time.Duration(float64(request.WaitBound) * keeper.config.InProgressFactor)
}

// displaceLowerTier makes room in a full queue: it refuses the lowest-priority
// waiting call if its tier weight is below weight, and reports whether it did.
func (keeper *Keeper) displaceLowerTier(weight uint32, predicted time.Duration) bool {
	victim := keeper.lowestPriorityWaiting()
	if victim == nil || victim.request.Weight >= weight {
		return false
	}
	keeper.refuseWaiting(victim, resultcode.Overloaded, retryAfter(predicted), "displaced from the full queue by a higher tier")
	return true
}

// lowestPriorityWaiting returns the waiting call that would be served last, or
// nil if none waits.
func (keeper *Keeper) lowestPriorityWaiting() *waitingCall {
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

// servedLater orders calls from different queues by weight, then rank.
func servedLater(call, other *waitingCall) bool {
	if call.request.Weight != other.request.Weight {
		return call.request.Weight < other.request.Weight
	}
	return call.rank.Value > other.rank.Value
}

// predictWait predicts the wait of a call that enters a band now. A band with a
// backlog uses its measured grant rate, which also reflects limits other than
// slots, such as memory. Otherwise the prediction is the shorter of two waits:
// for all calls at or above the band at the rate that higher bands leave, or
// for the calls of the band at its reserved share. Without a backlog it is 0 if
// there are more free slots than waiting calls, and if no engine is ready:
// NoEngineGrace limits the wait then.
func (keeper *Keeper) predictWait(band uint32) time.Duration {
	atOrAbove, inBand := keeper.countAtOrAbove(band)
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
	rate := max(float64(slots)/keeper.estimates.hold(), minGrantRate)
	remaining := max(rate-keeper.tiers.rateAbove(band, keeper.now), minGrantRate)
	inOrder := float64(atOrAbove+1) / remaining
	byShare := float64(inBand+1) / max(rate*keeper.pool.ReservedShare(band), minGrantRate)
	return seconds(min(inOrder, byShare))
}

// recordIdleBands records which bands have no waiting call.
func (keeper *Keeper) recordIdleBands() {
	for _, rate := range keeper.tiers.bands {
		if _, inBand := keeper.countAtOrAbove(rate.number); inBand == 0 {
			rate.idleAt = keeper.now
		}
	}
}

// countAtOrAbove counts the waiting calls at or above a band and in it, without
// parked calls.
func (keeper *Keeper) countAtOrAbove(band uint32) (atOrAbove, inBand int) {
	atOrAbove, inBand = keeper.pool.CountAtOrAbove(band)
	for _, engine := range keeper.engines {
		boundAtOrAbove, boundInBand := engine.bound.CountAtOrAbove(band)
		atOrAbove += boundAtOrAbove
		inBand += boundInBand
	}
	return atOrAbove, inBand
}

// retryAfter rounds a predicted wait up to whole seconds and clamps it to the
// allowed range.
func retryAfter(predicted time.Duration) time.Duration {
	rounded := (predicted + time.Second - 1).Truncate(time.Second)
	return min(max(rounded, minRetryAfter), maxRetryAfter)
}

// engineGraceExpired reports whether no engine has been ready for longer than
// NoEngineGrace. It updates lastReadyAt.
func (keeper *Keeper) engineGraceExpired() bool {
	for _, engine := range keeper.engines {
		if engine.ready() {
			keeper.lastReadyAt = keeper.now
			return false
		}
		if engine.schedulable() {
			// The engine was ready until its report became overdue.
			keeper.lastReadyAt = max(keeper.lastReadyAt, engine.reportedAt+keeper.config.ReportTimeout)
		}
	}
	return keeper.now-keeper.lastReadyAt > keeper.config.NoEngineGrace
}

// refuseIfNoEngine refuses all waiting calls once NoEngineGrace has expired.
func (keeper *Keeper) refuseIfNoEngine() {
	if len(keeper.waiting) == 0 || !keeper.engineGraceExpired() {
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

// refuse records a refusal and emits it.
func (keeper *Keeper) refuse(request *Request, code resultcode.Code, after time.Duration, why string) {
	keeper.recordDecision(request.Call, "refuse", why)
	predicted := time.Duration(0)
	if code == resultcode.Overloaded {
		predicted = keeper.predictWait(keeper.policies.Order.Rank(keeper.orderCall(request)).Band)
	}
	keeper.emit(Refuse{Request: *request, Code: code, RetryAfter: after, Why: why, Context: keeper.refusalContext(predicted)})
}
