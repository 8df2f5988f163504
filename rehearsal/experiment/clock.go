package experiment

import (
	"container/heap"
	"time"
)

// virtualClock is a clock with a queue of scheduled actions. Actions at the same
// instant run in the order in which they were added, so runs are deterministic.
type virtualClock struct {
	now      time.Duration
	sequence uint64
	pending  actionHeap
}

type scheduledAction struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after schedules an action to run after delay.
func (clock *virtualClock) after(delay time.Duration, run func()) {
	clock.at(clock.now+delay, run)
}

// at schedules an action at an instant; an instant in the past means now.
func (clock *virtualClock) at(instant time.Duration, run func()) {
	clock.sequence++
	heap.Push(&clock.pending, scheduledAction{
		at:       max(instant, clock.now),
		sequence: clock.sequence,
		run:      run,
	})
}

// step advances the clock to the next action and runs it. It returns false if
// none is left.
func (clock *virtualClock) step() bool {
	if len(clock.pending) == 0 {
		return false
	}
	next := heap.Pop(&clock.pending).(scheduledAction)
	clock.now = next.at
	next.run()
	return true
}

// actionHeap is a heap ordered by instant, then by sequence.
type actionHeap []scheduledAction

func (actions actionHeap) Len() int { return len(actions) }

func (actions actionHeap) Less(left, right int) bool {
	if actions[left].at != actions[right].at {
		return actions[left].at < actions[right].at
	}
	return actions[left].sequence < actions[right].sequence
}

func (actions actionHeap) Swap(left, right int) {
	actions[left], actions[right] = actions[right], actions[left]
}

// Push implements heap.Interface.
func (actions *actionHeap) Push(value any) {
	*actions = append(*actions, value.(scheduledAction))
}

// Pop implements heap.Interface.
func (actions *actionHeap) Pop() any {
	last := len(*actions) - 1
	value := (*actions)[last]
	(*actions)[last] = scheduledAction{}
	*actions = (*actions)[:last]
	return value
}
