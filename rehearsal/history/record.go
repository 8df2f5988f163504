// Package history records what the callers and operators of a run observed and
// checks it against magpielug's invariants. Whether a call ran is determined from
// the run counts of the stand-in back ends.
package history

import (
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/rehearsal/caller"
)

// Outcome is the final outcome of a call as reported to its caller.
type Outcome string

// Outcomes of a call.
const (
	// Answered calls received their complete response.
	Answered Outcome = "answered"
	// NotRun calls were refused with a code that guarantees that they did not run.
	NotRun Outcome = "not run"
	// Unknown calls were refused with OutcomeUnknown, or their caller gave up
	// without a final response.
	Unknown Outcome = "unknown"
	// Failed calls failed with another code.
	Failed Outcome = "failed"
)

// OutcomeOf returns the outcome that a result code reports; 0 stands for success.
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

// Call is a call as its caller saw it. Times are relative to the start of the run.
type Call struct {
	RequestID string
	Request   caller.Call
	Invoked   time.Duration
	Returned  time.Duration
	Outcome   Outcome
	Code      uint32
	Result    caller.Result
	// SendCount is the number of times the request was sent with its request ID.
	SendCount int
	// Failure is the last error of an unanswered call.
	Failure string
}

// Read is a read of a program's history.
type Read struct {
	Invoked  time.Duration
	Returned time.Duration
	Turns    []caller.Turn
}

// Program is a program as its caller saw it. Its calls were sequential.
type Program struct {
	ID     string
	Parent string
	Tier   string
	Kind   string
	Calls  []Call
	Reads  []Read
	// FinalTurns is the history at the end of the run; nil if it could not be read.
	FinalTurns []caller.Turn
	// FinalState is the program's state at the end of the run.
	FinalState caller.Program
	// AbortReason is why the caller stopped early; empty if it made all calls.
	AbortReason string
}

// RequestError is a request that its caller had to repeat because of a broken connection or
// an error response.
type RequestError struct {
	At      time.Duration
	Gateway string
	Request string
	Cause   string
}

// Run is the record of a run.
type Run struct {
	Programs []Program
	// InterruptedRequests are the requests interrupted by broken connections.
	InterruptedRequests []RequestError
	// TransientErrors are the transient errors: error responses to requests that succeeded
	// when repeated.
	TransientErrors []RequestError
	BackEnds        BackEnds
	Publishes       []Publish
	Samples         []VersionSample
	Outages         []Outage
	Drains          []Drain
	// LeakedMemory is the engine memory held for ended programs at the end of the run.
	LeakedMemory []HeldMemory
	// EngineMemoryChecked reports whether the engines were asked for that memory.
	EngineMemoryChecked bool
	// Budgets are the tiers' budgets in micros.
	Budgets map[string]uint64
}

// forEachCall calls visit for each call of the run.
func (run *Run) forEachCall(visit func(program *Program, call *Call)) {
	for index := range run.Programs {
		program := &run.Programs[index]
		for position := range program.Calls {
			visit(program, &program.Calls[position])
		}
	}
}

// attemptSeparator precedes the attempt number in a back end's request ID.
const attemptSeparator = "#"

// BackEndRequestID returns a call's request ID at the back ends, without the attempt
// number.
func BackEndRequestID(program, requestID string) string { return program + "/" + requestID }

func trimAttempt(name string) string {
	if index := strings.LastIndex(name, attemptSeparator); index >= 0 {
		return name[:index]
	}
	return name
}
