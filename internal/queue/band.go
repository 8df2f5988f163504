package queue

import "container/heap"

// Item is one waiting call in a queue, with the value its owner tracks it by.
type Item[V any] struct {
	Value V

	rank     Rank
	sequence uint64
	// position is the item's place in its band's heap, or notQueued.
	position int
}

const notQueued = -1

// Rank returns the rank the item was pushed with.
func (item *Item[V]) Rank() Rank { return item.rank }

// Queued tells whether the item stands in a queue.
func (item *Item[V]) Queued() bool { return item.position != notQueued }

// itemHeap orders items by rank value, then by arrival. The order is total, so
// what comes out never depends on the heap's inner layout.
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

// Push appends an item; container/heap calls it.
func (items *itemHeap[V]) Push(element any) {
	item := element.(*Item[V])
	item.position = len(*items)
	*items = append(*items, item)
}

// Pop removes the last item; container/heap calls it.
func (items *itemHeap[V]) Pop() any {
	last := len(*items) - 1
	item := (*items)[last]
	(*items)[last] = nil
	*items = (*items)[:last]
	item.position = notQueued
	return item
}

// last returns the item that sorts last; the heap must not be empty.
func (items itemHeap[V]) last() *Item[V] {
	found := 0
	for index := range items {
		if items.Less(found, index) {
			found = index
		}
	}
	return items[found]
}

// band holds the waiting calls of one rank band.
type band[V any] struct {
	number uint32
	items  itemHeap[V]
	// credit is the part of a grant that the band's reserved share has earned
	// since it was last served. It stays 0 while the band is empty.
	credit float64
}

func (b *band[V]) push(item *Item[V]) { heap.Push(&b.items, item) }

func (b *band[V]) pop() *Item[V] { return heap.Pop(&b.items).(*Item[V]) }

func (b *band[V]) remove(item *Item[V]) { heap.Remove(&b.items, item.position) }
