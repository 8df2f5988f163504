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
	// leastRankShare of what may begin is kept for each rank that asks: its programs get
	// through now and then, also while more urgent ones could use all.
	leastRankShare = 0.05
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
