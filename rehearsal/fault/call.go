package fault

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/rehearsal/caller"
	"github.com/magpielug/magpielug/rehearsal/history"
)

const (
	// answerBound is how long one send waits for its whole answer.
	answerBound = 20 * time.Second
	// callBound is how long a caller sends one request id again.
	callBound = 60 * time.Second
)

// makeCall sends a call to its final answer, through two gateways at once where
// it is a duplicate. The failure is nil where the call was answered or its
// caller gave up.
func (program *programRun) makeCall(ctx context.Context, requestID string, call caller.Call, duplicate bool) (history.Call, *caller.Failure) {
	if !duplicate {
		return program.sendUntilAnswered(ctx, requestID, call)
	}
	type answer struct {
		made    history.Call
		failure *caller.Failure
	}
	second := make(chan answer, 1)
	go func() {
		made, failure := program.sendUntilAnswered(ctx, requestID, call)
		second <- answer{made, failure}
	}()
	made, failure := program.sendUntilAnswered(ctx, requestID, call)
	other := <-second
	return program.agreed(made, failure, other.made, other.failure)
}

// agreed makes one call of the two answers to one request id. Both have to be
// the same; an unknown outcome, and a refusal of one request alone, tell nothing
// of the other.
func (program *programRun) agreed(first history.Call, firstFailure *caller.Failure, second history.Call, secondFailure *caller.Failure) (history.Call, *caller.Failure) {
	if tellsNothing(first) {
		first, firstFailure, second = second, secondFailure, first
	}
	first.Sends += second.Sends
	first.Invoked = min(first.Invoked, second.Invoked)
	same := first.Outcome == second.Outcome && first.Result.Output == second.Result.Output
	if !same && !tellsNothing(second) {
		program.record.Problem = first.RequestID + " got two answers: " + string(first.Outcome) + " " + first.Failure +
			", " + string(second.Outcome) + " " + second.Failure
	}
	return first, firstFailure
}

func tellsNothing(made history.Call) bool {
	return made.Outcome == history.Unknown || (made.Outcome == history.NotRun && speaksOfRequestAlone(resultcode.Code(made.Code)))
}

// sendUntilAnswered sends a call, and again with the same request id through
// any gateway while its connection breaks or a refusal speaks of that request
// alone, as a careful caller does. Where no send was broken off, such a refusal
// at the end means that the call did not run.
func (program *programRun) sendUntilAnswered(ctx context.Context, requestID string, call caller.Call) (history.Call, *caller.Failure) {
	runner := program.runner()
	made := history.Call{RequestID: requestID, Sent: call, Invoked: runner.now(), Outcome: history.Unknown}
	until := time.Now().Add(callBound)
	cut := false
	var last *caller.Failure
	for time.Now().Before(until) && ctx.Err() == nil {
		gateway := program.gateway()
		result, err := program.send(ctx, gateway, requestID, call)
		made.Returned = runner.now()
		made.Sends++
		if err == nil {
			made.Outcome, made.Result, made.Failure = history.Answered, result, ""
			return made, nil
		}
		made.Failure = err.Error()
		var failure *caller.Failure
		switch {
		case errors.As(err, &failure) && isFinal(failure):
			made.Code = failure.Code
			made.Outcome = history.OutcomeOf(resultcode.Code(failure.Code))
			return made, failure
		case failure != nil && speaksOfRequestAlone(resultcode.Code(failure.Code)):
			last = failure
			runner.shown(gateway, history.BackEndName(program.record.ID, requestID), err)
		case !isUnreachable(err):
			cut = true
			runner.cut(gateway, history.BackEndName(program.record.ID, requestID), err)
		}
		pause(ctx, program.backOff(err))
	}
	if !cut && last != nil {
		made.Code, made.Outcome = last.Code, history.NotRun
		return made, last
	}
	return made, nil
}

func (program *programRun) send(ctx context.Context, gateway, requestID string, call caller.Call) (caller.Result, error) {
	bounded, cancel := context.WithTimeout(ctx, answerBound)
	defer cancel()
	return program.caller.Run(bounded, gateway, program.record.ID, requestID, call)
}

// isFinal tells whether an error answer ends its request id. The others ask for
// the same request again.
func isFinal(failure *caller.Failure) bool {
	code := resultcode.Code(failure.Code)
	return code != resultcode.SlowReader && code != resultcode.Internal && !speaksOfRequestAlone(code)
}

// speaksOfRequestAlone tells whether a refusal is not recorded for its request
// id: it says that this request did not run, and nothing of an earlier one.
func speaksOfRequestAlone(code resultcode.Code) bool {
	switch code {
	case resultcode.NoLeader, resultcode.Stopping, resultcode.ConfigurationStale, resultcode.TooManyConnections:
		return true
	}
	return false
}

// isUnreachable tells whether no connection was made: nothing was sent.
func isUnreachable(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// cut notes a request that was broken off.
func (runner *runner) cut(gateway, request string, cause error) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Cuts = append(runner.record.Cuts, runner.incident(gateway, request, cause))
}

// shown notes an error answer after which the same request is sent again.
func (runner *runner) shown(gateway, request string, cause error) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Shown = append(runner.record.Shown, runner.incident(gateway, request, cause))
}

func (runner *runner) incident(gateway, request string, cause error) history.Cut {
	return history.Cut{At: runner.now(), Gateway: gateway, Request: request, Cause: cause.Error()}
}
