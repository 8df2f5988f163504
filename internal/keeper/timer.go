package keeper

import (
	"container/heap"
	"time"
)

// timer is a time at which the keeper must act: a waiting call's deadline or
// adapter timeout, or the end of a paused program's keep duration. Exactly one
// of call and program is set.
type timer struct {
	at       time.Duration
	sequence uint64
	// position is the index in the heap, or notScheduled.
	position int
	call     *waitingCall
	program  *programState
}

const notScheduled = -1

// timerHeap orders timers by time, then by the order in which they were set.
type timerHeap struct {
	timers   []*timer
	sequence uint64
}

// set schedules a timer that is not scheduled.
func (h *timerHeap) set(t *timer, at time.Duration) {
	h.sequence++
	t.at = at
	t.sequence = h.sequence
	heap.Push(h, t)
}

// stop cancels a timer if it is scheduled. The timer may be nil.
func (h *timerHeap) stop(t *timer) {
	if t != nil && t.position != notScheduled {
		heap.Remove(h, t.position)
	}
}

// popDue removes and returns the first timer at or before now, or nil if none
// is due.
func (h *timerHeap) popDue(now time.Duration) *timer {
	if len(h.timers) == 0 || h.timers[0].at > now {
		return nil
	}
	return heap.Pop(h).(*timer)
}

// Len implements heap.Interface.
func (h *timerHeap) Len() int { return len(h.timers) }

// Less orders by time, then sequence.
func (h *timerHeap) Less(i, j int) bool {
	if h.timers[i].at != h.timers[j].at {
		return h.timers[i].at < h.timers[j].at
	}
	return h.timers[i].sequence < h.timers[j].sequence
}

// Swap implements heap.Interface.
func (h *timerHeap) Swap(i, j int) {
	h.timers[i], h.timers[j] = h.timers[j], h.timers[i]
	h.timers[i].position = i
	h.timers[j].position = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(element any) {
	t := element.(*timer)
	t.position = len(h.timers)
	h.timers = append(h.timers, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	t := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	t.position = notScheduled
	return t
}

// runTimers runs all timers that are due.
func (keeper *Keeper) runTimers() {
	for {
		t := keeper.timers.popDue(keeper.now)
		if t == nil {
			return
		}
		switch {
		case t.program != nil:
			keeper.releaseExpired(t.program)
		case t == t.call.adapterTimer:
			keeper.refuseAdapterTimeout(t.call)
		default:
			keeper.refuseExpired(t.call)
		}
	}
}
