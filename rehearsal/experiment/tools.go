package experiment

import (
	"container/heap"
	"time"
)

// toolBackends models the application back ends as a fixed number of slots that
// serve tool calls in order of arrival.
type toolBackends struct {
	slots slotHeap
}

func newToolBackends(slots int) *toolBackends {
	return &toolBackends{slots: make(slotHeap, max(slots, 1))}
}

// schedule adds a tool call that arrives at now and takes duration, and returns
// when it ends.
func (backends *toolBackends) schedule(now, duration time.Duration) time.Duration {
	end := max(now, backends.slots[0]) + duration
	backends.slots[0] = end
	heap.Fix(&backends.slots, 0)
	return end
}

// slotHeap is a heap of the times at which the slots become free.
type slotHeap []time.Duration

func (slots slotHeap) Len() int                  { return len(slots) }
func (slots slotHeap) Less(left, right int) bool { return slots[left] < slots[right] }
func (slots slotHeap) Swap(left, right int)      { slots[left], slots[right] = slots[right], slots[left] }
func (slots *slotHeap) Push(value any)           { *slots = append(*slots, value.(time.Duration)) }
func (slots *slotHeap) Pop() any                 { panic("slots are never removed") }
