package keeper

import (
	"container/heap"
	"time"
)

// timer is one moment at which the keeper must act: a waiting call's deadline
// or the end of the time a paused program's prefix is kept. Exactly one of call
// and program is set.
type timer struct {
	at       time.Duration
	sequence uint64
	// position is the place in the heap, or notSet.
	position int
	call     *waitingCall
	program  *programState
}

const notSet = -1

// timerHeap orders timers by time, then by the order they were set in.
type timerHeap struct {
	timers   []*timer
	sequence uint64
}

// set starts a timer that is not running.
func (h *timerHeap) set(t *timer, at time.Duration) {
	h.sequence++
	t.at = at
	t.sequence = h.sequence
	heap.Push(h, t)
}

// stop ends a timer, if it runs.
func (h *timerHeap) stop(t *timer) {
	if t != nil && t.position != notSet {
		heap.Remove(h, t.position)
	}
}

// due removes and returns the first timer at or before now, nil if none is.
func (h *timerHeap) due(now time.Duration) *timer {
	if len(h.timers) == 0 || h.timers[0].at > now {
		return nil
	}
	return heap.Pop(h).(*timer)
}

// Len, Less, Swap, Push and Pop make timerHeap a heap.Interface.

// Len returns the number of running timers.
func (h *timerHeap) Len() int { return len(h.timers) }

// Less orders by time, then sequence.
func (h *timerHeap) Less(i, j int) bool {
	if h.timers[i].at != h.timers[j].at {
		return h.timers[i].at < h.timers[j].at
	}
	return h.timers[i].sequence < h.timers[j].sequence
}

// Swap swaps two timers.
func (h *timerHeap) Swap(i, j int) {
	h.timers[i], h.timers[j] = h.timers[j], h.timers[i]
	h.timers[i].position = i
	h.timers[j].position = j
}

// Push appends a timer; container/heap calls it.
func (h *timerHeap) Push(element any) {
	t := element.(*timer)
	t.position = len(h.timers)
	h.timers = append(h.timers, t)
}

// Pop removes the last timer; container/heap calls it.
func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	t := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	t.position = notSet
	return t
}

// runTimers acts on every timer that is due.
func (keeper *Keeper) runTimers() {
	for {
		t := keeper.timers.due(keeper.now)
		if t == nil {
			return
		}
		switch {
		case t.program != nil:
			keeper.releaseOverdue(t.program)
		case t == t.call.patience:
			keeper.refuseUnserved(t.call)
		default:
			keeper.refuseLate(t.call)
		}
	}
}
