package admission

import (
	"math"
	"time"
)

const (
	// initialLimit is the fraction of a service's slots that programs may use at first.
	initialLimit = 1.0
	// minLimit and maxLimit bound the adjustment. At maxLimit a turn takes 1.3 times as long,
	// which is all that soft deadlines of 1.3 times the time on idle engines leave; below
	// minLimit usable slots stay idle.
	minLimit = 0.85
	maxLimit = 1.3
	// overloadThreshold is the load per slot above which the limit decreases.
	overloadThreshold = 1.3
	// expectedLateFraction is the fraction of programs that loop until their budget is spent,
	// and are late whatever is admitted.
	expectedLateFraction = 0.05
	// lateThreshold is the fraction of late programs, beyond expectedLateFraction, above which
	// the limit decreases while requests queue. It is high enough to tolerate
	// the failure of single machines.
	lateThreshold = 0.1
	// lateLoadThreshold is the load per slot above which late programs decrease the limit. With
	// a shorter queue they are left over from an earlier overload.
	lateLoadThreshold = 1.1
	// decreaseRate is the fraction by which the limit falls per second, recoveryRate the amount
	// by which it rises towards initialLimit. An overload thus takes it from maxLimit to
	// minLimit within a second.
	decreaseRate = 0.5
	recoveryRate = 0.15
	// probeRate is the amount per second by which the limit rises beyond initialLimit while
	// forecast demand reaches the limit although nothing queues and programs finish in time.
	probeRate = 0.03
	// bindingThreshold is the fraction of the limit at which demand counts as constrained by
	// it.
	bindingThreshold = 0.9
)

const (
	// maxQueueDelay is the accumulated queueing delay at which the burst allowance is used up.
	// It is about half of the slack in the soft deadlines of short programs, 0.3 of 1.4 s and
	// 0.2 s. A refused program loses as much before it retries.
	maxQueueDelay = 300 * time.Millisecond
	// growthHorizon is how long excess demand accumulates before the programs that cause it
	// finish: the lifetime of the shortest programs.
	growthHorizon = time.Second
)

// utilizationLimit is the fraction of a service's slots that programs may use. It adapts to the
// observed load.
type utilizationLimit struct {
	// level is the sustained limit.
	level float64
	// queueDelay is the accumulated queueing delay of running programs, less the time without a
	// queue.
	queueDelay time.Duration
}

// observe updates the limit with the load observed for a time step. A queue of half the slots
// delays running programs by half of the step.
func (limit *utilizationLimit) observe(observed loadSignals, step time.Duration) {
	limit.level = adjustLimit(limit.level, observed, step)
	limit.queueDelay += time.Duration((observed.loadPerSlot - 1) * float64(step))
	limit.queueDelay = min(max(limit.queueDelay, 0), maxQueueDelay)
}

// burstAllowance returns the fraction of the slots that programs may use temporarily beyond the
// level, so that a burst is admitted if it ends before it delays programs past their soft
// deadlines. demandGrowth, per second as a fraction of the slots, reduces it: a burst that
// would soon exceed maxLimit gets none.
func (limit *utilizationLimit) burstAllowance(demandGrowth float64) float64 {
	if limit.level < initialLimit {
		return 0
	}
	remaining := 1 - limit.queueDelay.Seconds()/maxQueueDelay.Seconds()
	return max(remaining*(maxLimit-limit.level)-growthHorizon.Seconds()*max(demandGrowth, 0), 0)
}

// loadSignals are the observations that adjust a utilizationLimit.
type loadSignals struct {
	// loadPerSlot is the number of running and queued requests per slot, lateFraction the
	// fraction of late programs beyond expectedLateFraction.
	loadPerSlot  float64
	lateFraction float64
	// binding is true if programs use about all that the limit allows.
	binding bool
}

// adjustLimit returns a limit after a time step. Late programs do not decrease it without a
// queue, since admitting fewer programs would not speed up the others.
func adjustLimit(limit float64, observed loadSignals, step time.Duration) float64 {
	seconds := step.Seconds()
	switch {
	case observed.loadPerSlot > overloadThreshold, observed.loadPerSlot > lateLoadThreshold && observed.lateFraction > lateThreshold:
		return max(limit*math.Exp(-decreaseRate*seconds), minLimit)
	case limit < initialLimit && observed.loadPerSlot <= 1:
		return min(limit+recoveryRate*seconds, initialLimit)
	case limit >= initialLimit && observed.binding && observed.loadPerSlot <= 1 && observed.lateFraction <= lateThreshold:
		return min(limit+probeRate*seconds, maxLimit)
	case limit > initialLimit && !observed.binding:
		return max(limit-probeRate*seconds, initialLimit)
	}
	return limit
}

// excessLateFraction returns the fraction of late programs beyond expectedLateFraction.
func excessLateFraction(started, late float64) float64 {
	if started < 1 {
		return 0
	}
	return max(late/started-expectedLateFraction, 0)
}
