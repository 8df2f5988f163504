// Package history records what the callers and operators of a run saw, and
// checks it against what must always hold. What ran is decided by the counts of
// the stand-in back ends, never by magpielug's own word.
package history

import (
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/rehearsal/caller"
)

// Outcome is what a call's caller was told in the end.
type Outcome string

// Outcomes of a call.
const (
	// Answered calls got their whole answer.
	Answered Outcome = "answered"
	// NotRun calls were refused with a code that says that nothing ran.
	NotRun Outcome = "not run"
	// Unknown calls were told that the outcome is lost, or their caller gave up
	// without a final answer.
	Unknown Outcome = "unknown"
	// Failed calls ended with another code.
	Failed Outcome = "failed"
)

// OutcomeOf is what a result code tells a caller.
func OutcomeOf(code resultcode.Code) Outcome {
	switch {
	case code == 0:
		return Answered
	case code < resultcode.OutcomeUnknown:
		return NotRun
	case code == resultcode.OutcomeUnknown:
		return Unknown
	}
	return Failed
}

// Call is one call as its caller saw it. Times count from the run's begin.
type Call struct {
	RequestID string
	Sent      caller.Call
	Invoked   time.Duration
	Returned  time.Duration
	Outcome   Outcome
	Code      uint32
	Result    caller.Result
	// Sends is how often the request was sent, under one request id.
	Sends int
	// Failure is the last error of a call that was not answered.
	Failure string
}

// Read is one reading of a program's history.
type Read struct {
	Invoked  time.Duration
	Returned time.Duration
	Turns    []caller.Turn
}

// Program is one program as its caller saw it. Its calls were made one after
// the other.
type Program struct {
	ID     string
	Parent string
	Tier   string
	Kind   string
	Calls  []Call
	Reads  []Read
	// Final is the history at the end, nil where it could not be read.
	Final []caller.Turn
	// State is the program at its end.
	State caller.Program
	// Problem is why the caller could not go on; empty where all calls were made.
	Problem string
}

// Cut is a connection that broke or an answer that a careful caller had to ask
// for again.
type Cut struct {
	At      time.Duration
	Gateway string
	Request string
	Cause   string
}

// Run is everything recorded of one run.
type Run struct {
	Programs []Program
	Cuts     []Cut
	// Shown are the error answers that callers had to take for a while, though
	// the same request succeeded later.
	Shown     []Cut
	BackEnds  BackEnds
	Publishes []Publish
	Samples   []VersionSample
	Disturbed []Disturbance
	Leavings  []Leaving
	// Unreleased is the memory still held for programs at the end.
	Unreleased []HeldMemory
	// EnginesRead tells whether the engines were asked for it.
	EnginesRead bool
	Budgets     map[string]uint64
}

// calls walks all calls of the run.
func (run *Run) calls(visit func(program *Program, call *Call)) {
	for index := range run.Programs {
		program := &run.Programs[index]
		for place := range program.Calls {
			visit(program, &program.Calls[place])
		}
	}
}

// attemptSeparator begins the attempt's number in a back end's request id.
const attemptSeparator = "#"

// BackEndName is a call's name at the back ends, without its attempt.
func BackEndName(program, requestID string) string { return program + "/" + requestID }

func withoutAttempt(name string) string {
	if place := strings.LastIndex(name, attemptSeparator); place >= 0 {
		return name[:place]
	}
	return name
}
