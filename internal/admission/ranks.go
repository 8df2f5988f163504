package admission

import "slices"

const (
	// rankReserve of the capacity is left free by each rank for the more urgent ones, so
	// that one of those finds room at once; mostReserves bounds for how many.
	rankReserve  = 0.05
	mostReserves = 2
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
func reserve(place int) float64 { return rankReserve * float64(min(place, mostReserves)) }

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
