package queue

import "container/heap"

// Item is one queued value with its rank.
type Item[V any] struct {
	Value V

	rank     Rank
	sequence uint64
	// position is the item's index in its band's heap, or notQueued.
	position int
}

const notQueued = -1

// Rank returns the rank the item was pushed with.
func (item *Item[V]) Rank() Rank { return item.rank }

// Queued reports whether the item is in a queue.
func (item *Item[V]) Queued() bool { return item.position != notQueued }

// itemHeap orders items by rank value, then by arrival. The order is total, so
// the pop order is deterministic.
type itemHeap[V any] []*Item[V]

func (items itemHeap[V]) Len() int { return len(items) }

func (items itemHeap[V]) Less(i, j int) bool {
	if items[i].rank.Value != items[j].rank.Value {
		return items[i].rank.Value < items[j].rank.Value
	}
	return items[i].sequence < items[j].sequence
}

func (items itemHeap[V]) Swap(i, j int) {
	items[i], items[j] = items[j], items[i]
	items[i].position = i
	items[j].position = j
}

// Push implements heap.Interface.
func (items *itemHeap[V]) Push(element any) {
	item := element.(*Item[V])
	item.position = len(*items)
	*items = append(*items, item)
}

// Pop implements heap.Interface.
func (items *itemHeap[V]) Pop() any {
	last := len(*items) - 1
	item := (*items)[last]
	(*items)[last] = nil
	*items = (*items)[:last]
	item.position = notQueued
	return item
}

// lastItem returns the item that sorts last, in linear time. The heap must not
// be empty.
func (items itemHeap[V]) lastItem() *Item[V] {
	found := 0
	for index := range items {
		if items.Less(found, index) {
			found = index
		}
	}
	return items[found]
}

// band holds the items of one rank band.
type band[V any] struct {
	number uint32
	items  itemHeap[V]
	// credit counts the grants, in fractions, that the band has earned from the
	// reserved share and not used. It is 0 while the band is empty.
	credit float64
}

func (b *band[V]) push(item *Item[V]) { heap.Push(&b.items, item) }

func (b *band[V]) pop() *Item[V] { return heap.Pop(&b.items).(*Item[V]) }

func (b *band[V]) remove(item *Item[V]) { heap.Remove(&b.items, item.position) }
