package queue

import "slices"

// DefaultReservedShare is the fraction of grants divided among the waiting bands
// in proportion to their number, so that low bands do not starve.
const DefaultReservedShare = 0.5

// Queue holds ranked items in bands. The highest waiting band is served first,
// except for the reserved share: with every grant each waiting band earns credit
// in proportion to its number, and a band with credit of at least 1 goes first.
// A band with share s is served at least once in about 1/s grants.
type Queue[V any] struct {
	reservedShare float64
	// bands is sorted by number, highest first.
	bands    []*band[V]
	length   int
	sequence uint64
}

// New returns an empty queue. reservedShare is between 0 and 1; 0 selects strict
// priority.
func New[V any](reservedShare float64) *Queue[V] {
	return &Queue[V]{reservedShare: reservedShare}
}

// Len returns the number of queued items.
func (queue *Queue[V]) Len() int { return queue.length }

// Push queues a value and returns its item.
func (queue *Queue[V]) Push(value V, rank Rank) *Item[V] {
	queue.sequence++
	item := &Item[V]{Value: value, rank: rank, sequence: queue.sequence}
	queue.Restore(item)
	return item
}

// Restore queues an item that Pop returned again, at its previous position.
func (queue *Queue[V]) Restore(item *Item[V]) {
	queue.ensureBand(item.rank.Band).push(item)
	queue.length++
}

// Remove removes an item. It does nothing if the item is not queued.
func (queue *Queue[V]) Remove(item *Item[V]) {
	if !item.Queued() {
		return
	}
	queue.ensureBand(item.rank.Band).remove(item)
	queue.length--
}

// Pop removes and returns the next item, or nil if the queue is empty. The
// caller then calls RecordGrant, or Restore to queue the item again.
func (queue *Queue[V]) Pop() *Item[V] {
	chosen := queue.nextBand()
	if chosen == nil {
		return nil
	}
	queue.length--
	return chosen.pop()
}

// RecordGrant updates the band credits after an item was granted. Items that the
// caller popped and did not grant must be restored first, so that their bands
// count as waiting.
func (queue *Queue[V]) RecordGrant(item *Item[V]) {
	served := queue.ensureBand(item.rank.Band)
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

// HasFullCredit reports whether the item's band has earned a grant from the
// reserved share.
func (queue *Queue[V]) HasFullCredit(item *Item[V]) bool {
	return queue.ensureBand(item.rank.Band).credit >= 1
}

// CountAtOrAbove returns the number of items in band number and all higher bands,
// and the number in that band alone.
func (queue *Queue[V]) CountAtOrAbove(number uint32) (atOrAbove, inBand int) {
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

// ReservedShare returns the fraction of all grants reserved for a band, given
// the bands that have items now. The band itself is counted even if empty.
func (queue *Queue[V]) ReservedShare(number uint32) float64 {
	target := queue.ensureBand(number)
	return queue.reservedShare * bandWeight(target) / queue.waitingWeight(target)
}

// nextBand returns the waiting band with the most credit of at least 1, or the
// highest waiting band if there is none.
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

// waitingWeight returns the total weight of included and the bands with items.
func (queue *Queue[V]) waitingWeight(included *band[V]) float64 {
	total := 0.0
	for _, candidate := range queue.bands {
		if candidate == included || candidate.items.Len() > 0 {
			total += bandWeight(candidate)
		}
	}
	return total
}

// bandWeight returns a band's weight in the reserved share; band 0 counts as 1.
func bandWeight[V any](b *band[V]) float64 { return float64(max(b.number, 1)) }

// ensureBand returns the band, creating it if needed. There are few bands: one
// for each tier weight. Bands are never removed.
func (queue *Queue[V]) ensureBand(number uint32) *band[V] {
	index, found := slices.BinarySearchFunc(queue.bands, number, compareBand[V])
	if !found {
		queue.bands = slices.Insert(queue.bands, index, &band[V]{number: number})
	}
	return queue.bands[index]
}

// compareBand compares by descending band number.
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

// PeekHighestBand returns the first item of the highest waiting band without
// removing it, or nil if the queue is empty.
func (queue *Queue[V]) PeekHighestBand() *Item[V] {
	for _, candidate := range queue.bands {
		if candidate.items.Len() > 0 {
			return candidate.items[0]
		}
	}
	return nil
}

// PeekLast returns the last item of the lowest waiting band without removing it,
// or nil if the queue is empty. It is linear in the size of that band.
func (queue *Queue[V]) PeekLast() *Item[V] {
	for _, candidate := range slices.Backward(queue.bands) {
		if candidate.items.Len() > 0 {
			return candidate.items.lastItem()
		}
	}
	return nil
}
