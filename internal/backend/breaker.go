package backend

import (
	"cmp"
	"slices"
	"time"
)

// Engine breakers answer one load pattern: some of a service's engines end requests badly
// while the others serve. They answer errors at once, hang, or break answers off; as they
// are never busy, they draw more work the worse they are. A breaker that is open keeps
// work off its engine but for single probes, which tell when the engine serves again.
//
// The code here decides and has no clock, lock or network. docs/design/breaker.md tells
// who calls it.

const (
	// leastFailed is how many bad ends open a breaker at least, as they have faded: three
	// within half a second. Two come about by chance, as one in a hundred calls that a tool
	// answers itself ends in an error.
	leastFailed = 2.3
	// leastShare is the least share of bad ends that opens a breaker. A caller tries a turn
	// three times: at a share of 0.25 one turn in 64 fails even if all tries fall on such
	// engines, and to close the engine to work would cost more in room.
	leastShare = 0.25
	// usualFactor is how many times the usual share of the service an engine's has to be, or
	// half way from that to 1: where all engines fail alike the cause is not an engine.
	usualFactor = 5.0
	// closingExcess over the usual share keeps a breaker open. It is less than what opens
	// one, so that an engine on the edge is not opened and closed in turn.
	closingExcess = 0.15
	// forgottenFailed bad ends are too few to keep a breaker open.
	forgottenFailed = 0.25
	// halfOpenShare is the share of bad ends below which probes go out halfOpenRate
	// times as often: some of them have succeeded.
	halfOpenShare = 0.7
	halfOpenRate  = 5
	// ownWeight is how much more what a node has seen itself weighs than what others
	// have: an engine may fail the callers of one zone only.
	ownWeight = 2.0
	// leastOpen is how long a breaker stays open at least. It doubles with each time that
	// it opens within flapMemory of its closing, up to longestOpen: nodes notice a failure
	// half a second late, and of one that comes each other second only a long pause spares
	// callers most.
	leastOpen   = time.Second
	longestOpen = 8 * time.Second
	flapMemory  = 20 * time.Second
	// probePeriod is how long all nodes together leave between two probes of an engine
	// whose breaker is open. Each may cost a caller one of its tries.
	probePeriod = 500 * time.Millisecond
	// probeGrace is how long a due probe waits for a request that may be repeated.
	probeGrace = probePeriod
)

// ends sums how requests to an engine ended, faded by answeredMemory and failedMemory.
type ends struct{ answered, failed float64 }

// share is that of bad ends as they come: good ones fade sooner. It is 0 where there are none.
func (sum ends) share() float64 {
	if sum.failed == 0 {
		return 0
	}
	answered := sum.answered / answeredMemory.Seconds()
	failed := sum.failed / failedMemory.Seconds()
	return failed / (answered + failed)
}

// plus adds other ends, each counted some times.
func (sum ends) plus(other ends, weight float64) ends {
	return ends{answered: sum.answered + weight*other.answered, failed: sum.failed + weight*other.failed}
}

// breakerState is an engine's breaker before a decision.
type breakerState struct {
	// ends are weighed, failed counts the bad ones as they are.
	ends   ends
	failed float64
	// fails is true where further requests have ended badly since the decision before.
	fails bool
	open  bool
	// held is true while the breaker may not close yet.
	held bool
}

// openBreakers tells of the engines of a service whose breakers are open from now on: the
// worst of those whose ends say so, and no more than doubtShare of all.
func openBreakers(states []breakerState) []bool {
	usual := usualShareOfBad(states)
	var bad []int
	for index, state := range states {
		if isBad(state, usual) {
			bad = append(bad, index)
		}
	}
	slices.SortStableFunc(bad, func(left, right int) int { return compareEnds(states[right].ends, states[left].ends) })
	open := make([]bool, len(states))
	for _, index := range bad[:min(len(bad), mostOpen(len(states)))] {
		open[index] = true
	}
	return open
}

// mostOpen is how many breakers of a service may be open: the others have to carry the load.
func mostOpen(engines int) int { return int(doubtShare * float64(engines)) }

// isBad tells whether an engine's ends open its breaker or keep it open. Old ones open
// none: when a service recovers whose engines have all failed, some are the first to answer.
func isBad(state breakerState, usual float64) bool {
	if !state.open {
		limit := max(leastShare, usual+closingExcess, min(usualFactor*usual, (usual+1)/2))
		return state.fails && state.failed >= leastFailed && state.ends.share() > limit
	}
	return state.held || (state.failed > forgottenFailed && state.ends.share() > usual+closingExcess)
}

// compareEnds orders by how bad the ends are.
func compareEnds(left, right ends) int {
	return cmp.Or(cmp.Compare(left.share(), right.share()), cmp.Compare(left.failed, right.failed))
}

// usualShareOfBad is the share of bad ends of the engines that would stay if all that may
// be were left out: those that fail draw much of the work and would hide themselves in a
// mean over all.
func usualShareOfBad(states []breakerState) float64 {
	sums := make([]ends, 0, len(states))
	for _, state := range states {
		sums = append(sums, state.ends)
	}
	slices.SortFunc(sums, compareEnds)
	var best ends
	for _, sum := range sums[:len(sums)-mostOpen(len(sums))] {
		best.answered += sum.answered
		best.failed += sum.failed
	}
	return best.share()
}

// openTime is how long a breaker stays open at least that has opened again some times.
func openTime(repetitions int) time.Duration {
	const mostDoublings = 8
	return min(leastOpen<<min(repetitions, mostDoublings), longestOpen)
}

// halfOpen tells whether probes of an engine whose breaker is open have succeeded.
func halfOpen(sum ends) bool { return sum.share() < halfOpenShare }

// probePause is how long one of some nodes waits between its probes of an engine.
func probePause(nodes int, halfOpen bool) time.Duration {
	pause := probePeriod * time.Duration(max(nodes, 1))
	if halfOpen {
		pause /= halfOpenRate
	}
	return pause
}
