package soak

import (
	"sync"
	"time"
)

// program is the state of a running agent program. It is safe for concurrent use by the
// sessions of the program and its sub-agents.
type program struct {
	name   string
	tenant string
	budget int64
	// softDeadline is the time by which the program should end; zero for none.
	softDeadline time.Time
	// uncertainSpend returns how much of the budget may count as spent because owners
	// were lost. It is nil if no owner can be lost.
	uncertainSpend func() int64

	mutex sync.Mutex
	// receivedTokens is the number of tokens received by the caller.
	receivedTokens int64
	attempts       []*turnAttempt
}

// turnAttempt is an attempt of a turn and its result.
type turnAttempt struct {
	startedAt time.Time
	// endedAt is zero while the attempt is in progress.
	endedAt   time.Time
	completed bool
	// notRun is true if the response guarantees that the attempt did not run.
	notRun bool
}

// beginAttempt records the start of an attempt.
func (program *program) beginAttempt(now time.Time) *turnAttempt {
	program.mutex.Lock()
	defer program.mutex.Unlock()
	attempt := &turnAttempt{startedAt: now}
	program.attempts = append(program.attempts, attempt)
	return attempt
}

// endAttempt records the end of an attempt in which the caller received tokens. It
// returns the total received by the program.
func (program *program) endAttempt(attempt *turnAttempt, completed, notRun bool, received int64) int64 {
	program.mutex.Lock()
	defer program.mutex.Unlock()
	attempt.endedAt = time.Now()
	attempt.completed = completed
	attempt.notRun = notRun
	program.receivedTokens += received
	return program.receivedTokens
}

// isPrematureRefusal reports whether a refusal with status 402 is wrong because the
// available budget covers a turn.
func (program *program) isPrematureRefusal(available int64) bool {
	if program.uncertainSpend == nil {
		return available >= maxTurnTokens
	}
	return available >= maxTurnTokens+program.uncertainSpend()
}

// availableBudget returns a lower bound of the budget available to an attempt. Other
// attempts count as maxTurnTokens unless their result was known settlementDelay before
// this attempt started.
func (program *program) availableBudget(attempt *turnAttempt) int64 {
	program.mutex.Lock()
	defer program.mutex.Unlock()
	available := program.budget
	for _, other := range program.attempts {
		settled := !other.endedAt.IsZero() && attempt.startedAt.Sub(other.endedAt) >= settlementDelay
		switch {
		case other == attempt:
		case settled && other.notRun:
		case settled && other.completed:
			available -= eventsPerStream * tokensPerEvent
		default:
			available -= maxTurnTokens
		}
	}
	return available
}
