package backend

import (
	"cmp"
	"slices"
	"time"
)

// Circuit breakers for engines that fail requests while others of the same service succeed.
// Failing engines never appear busy, so load-based selection would send them even more work. An
// open breaker blocks all requests to its engine except single probes, which detect recovery.
//
// This file holds pure decision logic, without clock, locks or network. See
// docs/design/breaker.md for its callers.

const (
	// minFailures is the decayed number of failures required to open a breaker: three within
	// 0.5 s. Two may be chance, as about 1 % of tool calls return an error.
	minFailures = 2.3
	// minFailureRate is the lowest failure rate that opens a breaker. With three attempts per
	// call, a rate of 0.25 fails at most one call in 64, which costs less than the capacity
	// lost by opening the breaker.
	minFailureRate = 0.25
	// baselineFactor is how many times the service's baseline an engine's failure rate must be,
	// capped at halfway between the baseline and 1: if all engines fail alike, the cause is
	// elsewhere.
	baselineFactor = 5.0
	// keepOpenMargin is the excess over the baseline that keeps a breaker open. It is below the
	// opening threshold to provide hysteresis.
	keepOpenMargin = 0.15
	// negligibleFailures is the decayed number of failures below which a breaker may close
	// regardless of its failure rate.
	negligibleFailures = 0.25
	// halfOpenFailureRate is the failure rate below which probes are sent halfOpenProbeFactor
	// times as often, because some of them have succeeded.
	halfOpenFailureRate = 0.7
	halfOpenProbeFactor = 5
	// localWeight is the weight of outcomes seen by this node relative to those reported by
	// other nodes: an engine may fail only callers of one zone.
	localWeight = 2.0
	// initialOpenTime is the minimum time a breaker stays open. It doubles, up to maxOpenTime,
	// each time the breaker reopens within flapWindow of closing, so that a flapping engine is
	// excluded for most of the time.
	initialOpenTime = time.Second
	maxOpenTime     = 8 * time.Second
	flapWindow      = 20 * time.Second
	// engineProbeInterval is the time between two probes of an engine with an open breaker,
	// over all nodes. A failed probe costs its caller one attempt.
	engineProbeInterval = 500 * time.Millisecond
	// nonRepeatableProbeDelay is how long a due probe is reserved for repeatable requests.
	nonRepeatableProbeDelay = engineProbeInterval
)

// outcomeCounts holds the numbers of succeeded and failed requests to an engine, decayed by
// successDecay and failureDecay.
type outcomeCounts struct{ succeeded, failed float64 }

// failureRate returns the rate of failures, corrected for the different decay of the two
// counts. It is 0 if there are no failures.
func (counts outcomeCounts) failureRate() float64 {
	if counts.failed == 0 {
		return 0
	}
	succeeded := counts.succeeded / successDecay.Seconds()
	failed := counts.failed / failureDecay.Seconds()
	return failed / (succeeded + failed)
}

// plusWeighted returns the sum of both counts, with other scaled by weight.
func (counts outcomeCounts) plusWeighted(other outcomeCounts, weight float64) outcomeCounts {
	return outcomeCounts{succeeded: counts.succeeded + weight*other.succeeded, failed: counts.failed + weight*other.failed}
}

// breakerState is the input to the decision on one engine's breaker.
type breakerState struct {
	// outcomes are weighted by localWeight, failed is the unweighted number of failures.
	outcomes outcomeCounts
	failed   float64
	// newFailures is true if requests have failed since the previous evaluation.
	newFailures bool
	open        bool
	// mustStayOpen is true until the minimum open time has passed.
	mustStayOpen bool
}

// selectOpenBreakers returns, for each engine of a service, whether its breaker is open from
// now on. If more than maxOpenBreakers qualify, those with the highest failure rates are
// chosen.
func selectOpenBreakers(states []breakerState) []bool {
	baseline := baselineFailureRate(states)
	var candidates []int
	for index, state := range states {
		if shouldBeOpen(state, baseline) {
			candidates = append(candidates, index)
		}
	}
	slices.SortStableFunc(candidates, func(left, right int) int { return compareFailureRates(states[right].outcomes, states[left].outcomes) })
	open := make([]bool, len(states))
	for _, index := range candidates[:min(len(candidates), maxOpenBreakers(len(states)))] {
		open[index] = true
	}
	return open
}

// maxOpenBreakers is the maximum number of open breakers of a service: the other engines have
// to carry the load.
func maxOpenBreakers(engines int) int { return int(maxExcludedShare * float64(engines)) }

// shouldBeOpen reports whether an engine's outcomes open its breaker or keep it open. Without
// new failures no breaker opens: when all engines of a service recover, some are the first to
// succeed and lower the baseline for the others.
func shouldBeOpen(state breakerState, baseline float64) bool {
	if !state.open {
		threshold := max(minFailureRate, baseline+keepOpenMargin, min(baselineFactor*baseline, (baseline+1)/2))
		return state.newFailures && state.failed >= minFailures && state.outcomes.failureRate() > threshold
	}
	return state.mustStayOpen || (state.failed > negligibleFailures && state.outcomes.failureRate() > baseline+keepOpenMargin)
}

// compareFailureRates orders by failure rate, then by number of failures.
func compareFailureRates(left, right outcomeCounts) int {
	return cmp.Or(cmp.Compare(left.failureRate(), right.failureRate()), cmp.Compare(left.failed, right.failed))
}

// baselineFailureRate is the failure rate of a service without its maxOpenBreakers worst
// engines, which would otherwise dominate the mean because they attract much of the work.
func baselineFailureRate(states []breakerState) float64 {
	counts := make([]outcomeCounts, 0, len(states))
	for _, state := range states {
		counts = append(counts, state.outcomes)
	}
	slices.SortFunc(counts, compareFailureRates)
	var total outcomeCounts
	for _, each := range counts[:len(counts)-maxOpenBreakers(len(counts))] {
		total.succeeded += each.succeeded
		total.failed += each.failed
	}
	return total.failureRate()
}

// openTime returns the minimum time a breaker stays open after the given number of reopenings.
func openTime(reopenings int) time.Duration {
	const maxDoublings = 8
	return min(initialOpenTime<<min(reopenings, maxDoublings), maxOpenTime)
}

// isHalfOpen reports whether some probes of an engine with an open breaker have succeeded.
func isHalfOpen(counts outcomeCounts) bool { return counts.failureRate() < halfOpenFailureRate }

// nodeProbeInterval is the time between two probes of an engine by one of the given number of
// nodes.
func nodeProbeInterval(nodes int, halfOpen bool) time.Duration {
	interval := engineProbeInterval * time.Duration(max(nodes, 1))
	if halfOpen {
		interval /= halfOpenProbeFactor
	}
	return interval
}
