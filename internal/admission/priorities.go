package admission

import (
	"slices"
	"time"
)

const (
	// Each priority leaves a fraction of the capacity free for every more urgent one, up to
	// maxReserves of them. The fraction rises from minPriorityReserve to maxPriorityReserve as
	// the fraction of refused programs reaches scarcityThreshold. Less urgent programs cannot
	// be preempted once they have started.
	maxPriorityReserve = 0.15
	minPriorityReserve = 0.04
	maxReserves        = 2
	scarcityThreshold  = 0.2
	// scarcityWindow is the averaging window for the fraction of refused programs.
	scarcityWindow = 800 * time.Millisecond
	// maxCostlyReserve bounds the fraction of the capacity that a route leaves free for routes
	// of its priority whose programs need less work, since the same capacity finishes more of
	// those.
	maxCostlyReserve = 0.4
	// reserveThreshold is the utilization at which reserves begin to apply; they apply in full
	// at the limit. Otherwise the reserves, which grow with recent refusals, would cause further
	// refusals after a burst while capacity is free.
	reserveThreshold = 0.85
	// minPriorityShare is the fraction of the start rate kept for each priority with demand, so
	// that none starves.
	minPriorityShare = 0.05
	// minRouteShare is the fraction of the capacity kept for each route that has to leave a
	// costly reserve free, so that it does not starve.
	minRouteShare = 0.02
)

// priorityIndex returns the number of more urgent priorities.
func priorityIndex(priorities []int, priority int) int {
	index, _ := slices.BinarySearch(priorities, priority)
	return index
}

// priorityReserve returns the fraction of the capacity left free for more urgent priorities.
func (estimator *estimator) priorityReserve(index int) float64 {
	scarcity := min(estimator.refusedFraction.value/scarcityThreshold, 1)
	return float64(min(index, maxReserves)) * (minPriorityReserve + scarcity*(maxPriorityReserve-minPriorityReserve))
}

// reserveScale returns the factor by which the reserves are scaled at a utilization: 0 up to
// reserveThreshold, then rising linearly to 1 at the limit.
func reserveScale(utilization float64) float64 {
	return min(max((utilization-reserveThreshold)/(1-reserveThreshold), 0), 1)
}

// costlyReserve returns the fraction of the capacity that a route's programs leave free for
// programs of the same priority that need less work.
func (estimator *estimator) costlyReserve(name string, priority int, state *State) float64 {
	work := estimator.slotSeconds(name)
	least := work
	for other, route := range state.Total.Routes {
		if route.Priority == priority && perSecond(route.ProgramsStarted+route.Refused) >= 1 && estimator.hasPrograms(other, route) {
			least = min(least, estimator.slotSeconds(other))
		}
	}
	if work <= 0 {
		return 0
	}
	return min(estimator.refusedFraction.value/scarcityThreshold, 1) * maxCostlyReserve * (1 - least/work)
}

// slotSeconds returns the total work of one of a route's programs, in slot-seconds.
func (estimator *estimator) slotSeconds(name string) float64 {
	usage := estimator.routes[name]
	return usage.slotsPerProgram() * usage.lifetime().Seconds()
}

// divideRate divides a start rate among priorities, the most urgent first, and returns the part
// of the priority at index. wanted holds the rate each one requests. A small part is reserved
// for each priority with demand.
func divideRate(rate float64, wanted []float64, index int) float64 {
	reserved := make([]float64, len(wanted))
	remaining := rate
	for priority, requested := range wanted {
		reserved[priority] = min(requested, minPriorityShare*rate)
		remaining -= reserved[priority]
	}
	for priority, requested := range wanted[:index] {
		remaining -= min(requested-reserved[priority], max(remaining, 0))
	}
	return reserved[index] + max(remaining, 0)
}
