package soak

import (
	"sync"
	"time"
)

// program is one agent program under way, with its sub-agents. It is safe for concurrent
// use by their lines.
type program struct {
	name   string
	tenant string
	budget int64
	// due is when the program should be over, the zero time where nothing is said.
	due time.Time
	// doubt tells how much of the budget may count as spent since owners were lost, nil where
	// nothing ever may.
	doubt func() int64

	mutex sync.Mutex
	// given is what the caller got.
	given    int64
	attempts []*turnAttempt
}

// turnAttempt is one attempt of a turn, and how it ended.
type turnAttempt struct {
	began time.Time
	// ended is the zero time for one that is open.
	ended time.Time
	whole bool
	// notRun is true where the caller was told that it did not run.
	notRun bool
}

// begin notes a new attempt.
func (running *program) begin(now time.Time) *turnAttempt {
	running.mutex.Lock()
	defer running.mutex.Unlock()
	attempt := &turnAttempt{began: now}
	running.attempts = append(running.attempts, attempt)
	return attempt
}

// end notes the end of an attempt that gave some tokens, and returns all that the program
// was given.
func (running *program) end(attempt *turnAttempt, whole, notRun bool, given int64) int64 {
	running.mutex.Lock()
	defer running.mutex.Unlock()
	attempt.ended = time.Now()
	attempt.whole = whole
	attempt.notRun = notRun
	running.given += given
	return running.given
}

// refusedTooEarly tells whether 402 came while the budget left room for a turn.
func (running *program) refusedTooEarly(room int64) bool {
	if running.doubt == nil {
		return room >= most
	}
	return room >= most+running.doubt()
}

// room is what the budget left to an attempt, where every other one counts at its most that
// had not ended for certain by settleTime before this one began.
func (running *program) room(of *turnAttempt) int64 {
	running.mutex.Lock()
	defer running.mutex.Unlock()
	room := running.budget
	for _, other := range running.attempts {
		settled := !other.ended.IsZero() && of.began.Sub(other.ended) >= settleTime
		switch {
		case other == of:
		case settled && other.notRun:
		case settled && other.whole:
			room -= eventsPerStream * tokensPerEvent
		default:
			room -= most
		}
	}
	return room
}
