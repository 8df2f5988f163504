package queue

import "slices"

// DefaultReservedShare is the part of all grants that is reserved for bands in
// proportion to their number, so that the lowest band is never starved.
const DefaultReservedShare = 0.5

// Queue holds ranked items. Grants go to the highest band with waiting items,
// save for the reserved share: each waiting band earns its part of it with
// every grant and is served as soon as it has earned a whole one. A band with
// share s is thus served at least once in about 1/s grants.
type Queue[V any] struct {
	reservedShare float64
	// bands are sorted by number, the highest first.
	bands    []*band[V]
	length   int
	sequence uint64
}

// New makes an empty queue. reservedShare lies in 0 to 1; 0 is strict priority.
func New[V any](reservedShare float64) *Queue[V] {
	return &Queue[V]{reservedShare: reservedShare}
}

// Len returns the number of waiting items.
func (queue *Queue[V]) Len() int { return queue.length }

// Push adds a value and returns its item.
func (queue *Queue[V]) Push(value V, rank Rank) *Item[V] {
	queue.sequence++
	item := &Item[V]{Value: value, rank: rank, sequence: queue.sequence}
	queue.Restore(item)
	return item
}

// Restore puts back an item that Take returned, at its old place.
func (queue *Queue[V]) Restore(item *Item[V]) {
	queue.bandOf(item.rank.Band).push(item)
	queue.length++
}

// Remove takes an item out wherever it stands. An item that is not queued is
// left alone.
func (queue *Queue[V]) Remove(item *Item[V]) {
	if !item.Queued() {
		return
	}
	queue.bandOf(item.rank.Band).remove(item)
	queue.length--
}

// Take removes and returns the item whose turn it is, nil when none waits. The
// caller settles it with Granted or puts it back with Restore.
func (queue *Queue[V]) Take() *Item[V] {
	chosen := queue.nextBand()
	if chosen == nil {
		return nil
	}
	queue.length--
	return chosen.pop()
}

// Granted settles the reserved shares after an item got its slot. Items that
// were set aside must be restored first, so that their bands count as waiting.
func (queue *Queue[V]) Granted(item *Item[V]) {
	served := queue.bandOf(item.rank.Band)
	total := queue.waitingWeight(served)
	for _, candidate := range queue.bands {
		if candidate != served && candidate.items.Len() == 0 {
			candidate.credit = 0
			continue
		}
		candidate.credit += queue.reservedShare * bandWeight(candidate) / total
	}
	served.credit = max(served.credit-1, 0)
	if served.items.Len() == 0 {
		served.credit = 0
	}
}

// Due tells whether an item's band has earned its reserved grant: the item must
// not be put off for the sake of other bands.
func (queue *Queue[V]) Due(item *Item[V]) bool {
	return queue.bandOf(item.rank.Band).credit >= 1
}

// Ahead returns how many items wait in bands at or above number, and how many
// of them in that very band.
func (queue *Queue[V]) Ahead(number uint32) (atOrAbove, inBand int) {
	for _, candidate := range queue.bands {
		if candidate.number < number {
			break
		}
		atOrAbove += candidate.items.Len()
		if candidate.number == number {
			inBand = candidate.items.Len()
		}
	}
	return atOrAbove, inBand
}

// ShareOf returns the part of all grants that is reserved for a band while it
// and the bands that wait now have items.
func (queue *Queue[V]) ShareOf(number uint32) float64 {
	target := queue.bandOf(number)
	return queue.reservedShare * bandWeight(target) / queue.waitingWeight(target)
}

// nextBand returns the waiting band that has earned a whole grant, the most
// credited first, else the highest waiting band.
func (queue *Queue[V]) nextBand() *band[V] {
	var highest, credited *band[V]
	for _, candidate := range queue.bands {
		if candidate.items.Len() == 0 {
			continue
		}
		if highest == nil {
			highest = candidate
		}
		if candidate.credit < 1 {
			continue
		}
		if credited == nil || candidate.credit > credited.credit {
			credited = candidate
		}
	}
	if credited != nil {
		return credited
	}
	return highest
}

// waitingWeight sums the weights of the bands with items, and of included.
func (queue *Queue[V]) waitingWeight(included *band[V]) float64 {
	total := 0.0
	for _, candidate := range queue.bands {
		if candidate == included || candidate.items.Len() > 0 {
			total += bandWeight(candidate)
		}
	}
	return total
}

// bandWeight is a band's weight in the reserved share; band 0 counts as 1.
func bandWeight[V any](b *band[V]) float64 { return float64(max(b.number, 1)) }

// bandOf finds a band or makes it. Bands are one for each tier weight, few.
func (queue *Queue[V]) bandOf(number uint32) *band[V] {
	index, found := slices.BinarySearchFunc(queue.bands, number, compareBand[V])
	if !found {
		queue.bands = slices.Insert(queue.bands, index, &band[V]{number: number})
	}
	return queue.bands[index]
}

// compareBand sorts bands by falling number.
func compareBand[V any](candidate *band[V], number uint32) int {
	switch {
	case candidate.number > number:
		return -1
	case candidate.number < number:
		return 1
	default:
		return 0
	}
}

// Highest returns the first item of the highest waiting band without taking it,
// nil when none waits.
func (queue *Queue[V]) Highest() *Item[V] {
	for _, candidate := range queue.bands {
		if candidate.items.Len() > 0 {
			return candidate.items[0]
		}
	}
	return nil
}

// Last returns the item that would be served last, nil when none waits. It
// looks at every item of the lowest waiting band.
func (queue *Queue[V]) Last() *Item[V] {
	for _, candidate := range slices.Backward(queue.bands) {
		if candidate.items.Len() > 0 {
			return candidate.items.last()
		}
	}
	return nil
}
