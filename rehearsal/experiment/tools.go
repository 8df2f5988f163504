package experiment

import (
	"container/heap"
	"time"
)

// toolServers models the application back ends: a number of slots that serve
// tool calls in order of arrival.
type toolServers struct {
	freeAt slotHeap
}

func newToolServers(slots int) *toolServers {
	return &toolServers{freeAt: make(slotHeap, max(slots, 1))}
}

// call returns when a tool call that arrives now and takes duration ends.
func (servers *toolServers) call(now, duration time.Duration) time.Duration {
	end := max(now, servers.freeAt[0]) + duration
	servers.freeAt[0] = end
	heap.Fix(&servers.freeAt, 0)
	return end
}

// slotHeap holds when each slot becomes free, the earliest first.
type slotHeap []time.Duration

func (slots slotHeap) Len() int                  { return len(slots) }
func (slots slotHeap) Less(left, right int) bool { return slots[left] < slots[right] }
func (slots slotHeap) Swap(left, right int)      { slots[left], slots[right] = slots[right], slots[left] }
func (slots *slotHeap) Push(value any)           { *slots = append(*slots, value.(time.Duration)) }
func (slots *slotHeap) Pop() any                 { panic("slots are never removed") }
