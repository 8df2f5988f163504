package quarantine

import (
	"math/rand/v2"
	"time"
)

// EngineLife is one incarnation of an engine.
type EngineLife struct {
	ID          string
	Incarnation int64
}

// Identity is what is the same in several attempts at engines.
type Identity struct {
	// Request identifies the work of one program, or of none: all tries of it are the same request.
	Request Fingerprint
	// Content identifies what the engine receives, whatever program sends it. It is the zero value outside
	// programs, where Request says the same.
	Content Fingerprint
}

// Attempt is one sending of a request to an engine.
type Attempt struct {
	Identity
	Engine EngineLife
	// Address is the engine's address.
	Address string
	// Began is when it was sent; Deadline is when the engine stops working on it.
	Began, Deadline time.Time
	// Started is true if the engine has begun to respond.
	Started bool
}

// Answer is how an engine answered an attempt.
type Answer int

// Answers.
const (
	// NoAnswer: there was no complete response, as far as this node can tell.
	NoAnswer Answer = iota
	// CompleteAnswer: the response was complete and no error of the engine.
	CompleteAnswer
	// ErrorAnswer: the response was complete and an error of the engine.
	ErrorAnswer
)

// Cause is how an attempt ended without a complete response.
type Cause int

// Causes.
const (
	// Interrupted: the connection ended, or the response was broken off.
	Interrupted Cause = iota
	// Silent: the wait was given up after the engine had sent nothing for long.
	Silent
	// Left: the wait was given up earlier, by the caller or for another engine.
	Left
	// Answered: the engine ended after a complete response to the attempt.
	Answered
	// Unfinished: the attempt is under way, or may still be at its engine.
	Unfinished
)

var causeNames = map[Cause]string{Interrupted: "interrupted", Silent: "silent", Left: "left", Answered: "answered", Unfinished: "unfinished"}

// String returns the cause as it appears in logs.
func (cause Cause) String() string { return causeNames[cause] }

// GivenUp reports whether the wait for the engine was given up while the engine may have gone on.
func (cause Cause) GivenUp() bool { return cause == Silent || cause == Left }

// Loss is an attempt that an engine may have run and did not answer completely, or under which it ended
// later. It is held against its request as an end of the engine until it is refuted. A Unfinished one is not
// held against the request, but bounds the engines at which the request may be at a time.
type Loss struct {
	// ID is random. Nodes know a loss by it, since their clocks differ.
	ID uint64
	Identity
	Engine EngineLife
	// Began is when the attempt began.
	Began time.Time
	// At is when the connection ended, or when the wait for the engine was given up.
	At time.Time
	// Settled is the time after which an answer of the engine shows that it has gone on.
	Settled time.Time
	Cause   Cause
	// Refuted is true once the engine is known to have gone on, or the request to be sound.
	Refuted bool
}

const (
	// abandonedSettling is how long after its caller has left an engine may still work on a request, and end
	// under it, if it stops once the connection is closed.
	abandonedSettling = 500 * time.Millisecond
	// givenUpPeriod is how long a request counts as unfinished at an engine after the wait for the engine was
	// given up. Some engines work on for longer; callers that come back meanwhile would reach one engine after
	// another before the first of them ends.
	givenUpPeriod = 2 * time.Second
)

// NewLoss returns the loss of an attempt, with an ID of its own.
func NewLoss(attempt Attempt, cause Cause, at time.Time) Loss {
	loss := Loss{ID: rand.Uint64(), Identity: attempt.Identity, Engine: attempt.Engine, Began: attempt.Began, At: at, Settled: at, Cause: cause}
	switch {
	case cause.GivenUp():
		loss.Settled = at.Add(abandonedSettling)
	case cause == Unfinished:
		loss.Settled = attempt.Deadline.Add(abandonedSettling)
	}
	return loss
}

// NewGivenUp returns the loss of an attempt whose engine may work on after the wait for it was given up.
func NewGivenUp(attempt Attempt, at time.Time) Loss {
	loss := NewLoss(attempt, Unfinished, at)
	loss.Settled = at.Add(givenUpPeriod)
	return loss
}

// NewEngineEnd returns a message that an engine has ended, which is held against no request by itself.
func NewEngineEnd(engine EngineLife, at time.Time) Loss {
	return Loss{ID: rand.Uint64(), Engine: engine, Began: at, At: at, Settled: at}
}

// IsEngineEnd reports whether the loss is a message of NewEngineEnd.
func (loss *Loss) IsEngineEnd() bool { return loss.Request == Fingerprint{} }

// Counts reports whether the loss is held against its request as an end of its engine.
func (loss *Loss) Counts() bool { return !loss.Refuted && loss.Cause != Unfinished }
