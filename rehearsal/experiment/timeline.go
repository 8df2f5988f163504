package experiment

import (
	"container/heap"
	"time"
)

// timeline is a virtual clock with the actions that are still to come. Actions
// of the same instant run in the order in which they were added, so a run is a
// function of its inputs alone.
type timeline struct {
	now      time.Duration
	sequence uint64
	pending  pendingActions
}

type pendingAction struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after adds an action that runs once delay has passed.
func (timeline *timeline) after(delay time.Duration, run func()) {
	timeline.at(timeline.now+delay, run)
}

// at adds an action for an instant; one in the past runs now.
func (timeline *timeline) at(instant time.Duration, run func()) {
	timeline.sequence++
	heap.Push(&timeline.pending, pendingAction{
		at:       max(instant, timeline.now),
		sequence: timeline.sequence,
		run:      run,
	})
}

// step runs the next action; it returns false when none is left.
func (timeline *timeline) step() bool {
	if len(timeline.pending) == 0 {
		return false
	}
	next := heap.Pop(&timeline.pending).(pendingAction)
	timeline.now = next.at
	next.run()
	return true
}

// pendingActions is a heap ordered by instant, then by sequence.
type pendingActions []pendingAction

func (actions pendingActions) Len() int { return len(actions) }

func (actions pendingActions) Less(left, right int) bool {
	if actions[left].at != actions[right].at {
		return actions[left].at < actions[right].at
	}
	return actions[left].sequence < actions[right].sequence
}

func (actions pendingActions) Swap(left, right int) {
	actions[left], actions[right] = actions[right], actions[left]
}

// Push implements heap.Interface.
func (actions *pendingActions) Push(value any) {
	*actions = append(*actions, value.(pendingAction))
}

// Pop implements heap.Interface.
func (actions *pendingActions) Pop() any {
	last := len(*actions) - 1
	value := (*actions)[last]
	(*actions)[last] = pendingAction{}
	*actions = (*actions)[:last]
	return value
}
