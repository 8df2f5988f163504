package admission

import (
	"slices"
	"time"
)

const (
	// rankReserve of the capacity is left free by each rank for the more urgent ones, for
	// mostReserves of them, while scarceFrom or more of the programs are refused, and
	// calmReserve while none are. Programs of a lower rank that have begun go on for
	// seconds, and what comes of a more urgent one within those shall find room.
	rankReserve  = 0.15
	calmReserve  = 0.04
	mostReserves = 2
	scarceFrom   = 0.2
	// scarceSpan is over how long that is averaged.
	scarceSpan = 800 * time.Millisecond
	// dearReserve of the capacity is left free, while scarceFrom or more of the programs are
	// refused, by programs that need many times the work of others of their rank: of two that
	// are worth as much to their callers, the room for one that runs 38 turns ends six that
	// run 6.
	dearReserve = 0.4
	// nearFrom is the part of the limit from which on programs leave room to others, more and
	// more of it up to the limit: below it there is room for those that may come. Where they
	// left it at any demand, programs of a rank were refused for 8 s with 230 of 344 slots
	// used, after a burst of 2 s: the part refused kept up what they had to leave.
	nearFrom = 0.85
	// leastRankShare of what may begin is kept for each rank that asks: its programs get
	// through now and then, also while more urgent ones could use all.
	leastRankShare = 0.05
	// leastRouteShare of the capacity is kept for each route that leaves dearReserve to others:
	// where those of its rank, or more urgent ones, ask for all there is, it would never be
	// served. In a replay of three ranks on 270 slots without it none of 300 began in 15 s.
	leastRouteShare = 0.02
)

// position is how many more urgent ranks there are.
func position(ranks []int, rank int) int {
	place, _ := slices.BinarySearch(ranks, rank)
	return place
}

// reserve is what a rank leaves free for more urgent ones, as a part of the capacity.
func (known *learned) reserve(place int) float64 {
	scarcity := min(known.refused.value/scarceFrom, 1)
	return float64(min(place, mostReserves)) * (calmReserve + scarcity*(rankReserve-calmReserve))
}

// nearness is the part of what programs may have to leave to others that they leave where
// demand fills a part of the limit.
func nearness(filled float64) float64 {
	return min(max((filled-nearFrom)/(1-nearFrom), 0), 1)
}

// dear is what a route's programs leave free for those of their rank that need less work, as
// a part of the capacity.
func (known *learned) dear(name string, rank int, state *State) float64 {
	own := known.work(name)
	least := own
	for other, route := range state.Total.Routes {
		if route.Priority == rank && perSecond(route.ProgramsStarted+route.Refused) >= 1 && known.runsPrograms(other, route) {
			least = min(least, known.work(other))
		}
	}
	if own <= 0 {
		return 0
	}
	return min(known.refused.value/scarceFrom, 1) * dearReserve * (1 - least/own)
}

// work is how long a route's program uses a slot in all, seconds.
func (known *learned) work(name string) float64 {
	use := known.routes[name]
	return use.slots() * use.life().Seconds()
}

// divide deals what may begin in a second to ranks, the most urgent first, and returns the
// part of the one at a place. wanted is what each asks for. Each keeps a small part for
// itself as long as it asks.
func divide(rate float64, wanted []float64, place int) float64 {
	kept := make([]float64, len(wanted))
	left := rate
	for rank, asked := range wanted {
		kept[rank] = min(asked, leastRankShare*rate)
		left -= kept[rank]
	}
	for rank, asked := range wanted[:place] {
		left -= min(asked-kept[rank], max(left, 0))
	}
	return kept[place] + max(left, 0)
}
