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
	// attemptTimeout bounds one attempt, up to the complete response.
	attemptTimeout = 20 * time.Second
	// callTimeout is how long a request id is retried.
	callTimeout = 60 * time.Second
)

// makeCall sends a call until it has a final outcome; a duplicate is sent twice
// concurrently. The failure is nil if the call succeeded or its outcome is unknown.
func (program *programRun) makeCall(ctx context.Context, requestID string, call caller.Call, duplicate bool) (history.Call, *caller.ErrorResponse) {
	if !duplicate {
		return program.sendUntilAnswered(ctx, requestID, call)
	}
	type answer struct {
		record  history.Call
		failure *caller.ErrorResponse
	}
	second := make(chan answer, 1)
	go func() {
		record, failure := program.sendUntilAnswered(ctx, requestID, call)
		second <- answer{record, failure}
	}()
	record, failure := program.sendUntilAnswered(ctx, requestID, call)
	other := <-second
	return program.mergeDuplicates(record, failure, other.record, other.failure)
}

// mergeDuplicates merges the outcomes of two concurrent sends of a request id into
// one call. It records a problem if both are conclusive and differ.
func (program *programRun) mergeDuplicates(first history.Call, firstFailure *caller.ErrorResponse, second history.Call, secondFailure *caller.ErrorResponse) (history.Call, *caller.ErrorResponse) {
	if isInconclusive(first) {
		first, firstFailure, second = second, secondFailure, first
	}
	first.SendCount += second.SendCount
	first.Invoked = min(first.Invoked, second.Invoked)
	same := first.Outcome == second.Outcome && first.Result.Output == second.Result.Output
	if !same && !isInconclusive(second) {
		program.record.AbortReason = first.RequestID + " got two different responses: " + string(first.Outcome) + " " + first.Failure +
			", " + string(second.Outcome) + " " + second.Failure
	}
	return first, firstFailure
}

// isInconclusive reports whether an outcome allows no conclusion about the other send
// of the same request id.
func isInconclusive(record history.Call) bool {
	return record.Outcome == history.Unknown || (record.Outcome == history.NotRun && isUnrecordedRefusal(resultcode.Code(record.Code)))
}

// sendUntilAnswered sends a call and retries it with the same request id, through any
// gateway, after connection failures and retryable error responses. When callTimeout
// passes, a call that was refused and never interrupted counts as not run; otherwise
// its outcome is unknown.
func (program *programRun) sendUntilAnswered(ctx context.Context, requestID string, call caller.Call) (history.Call, *caller.ErrorResponse) {
	runner := program.runner()
	record := history.Call{RequestID: requestID, Request: call, Invoked: runner.elapsed(), Outcome: history.Unknown}
	deadline := time.Now().Add(callTimeout)
	interrupted := false
	var lastRefusal *caller.ErrorResponse
	for time.Now().Before(deadline) && ctx.Err() == nil {
		gateway := program.gateway()
		result, err := program.send(ctx, gateway, requestID, call)
		record.Returned = runner.elapsed()
		record.SendCount++
		if err == nil {
			record.Outcome, record.Result, record.Failure = history.Answered, result, ""
			return record, nil
		}
		record.Failure = err.Error()
		var failure *caller.ErrorResponse
		switch {
		case errors.As(err, &failure) && isFinal(failure):
			record.Code = failure.Code
			record.Outcome = history.OutcomeOf(resultcode.Code(failure.Code))
			return record, failure
		case failure != nil && isUnrecordedRefusal(resultcode.Code(failure.Code)):
			lastRefusal = failure
			runner.recordRetriedError(gateway, history.BackEndRequestID(program.record.ID, requestID), err)
		case !isUnreachable(err):
			interrupted = true
			runner.recordInterruption(gateway, history.BackEndRequestID(program.record.ID, requestID), err)
		}
		sleep(ctx, program.backOff(err))
	}
	if !interrupted && lastRefusal != nil {
		record.Code, record.Outcome = lastRefusal.Code, history.NotRun
		return record, lastRefusal
	}
	return record, nil
}

func (program *programRun) send(ctx context.Context, gateway, requestID string, call caller.Call) (caller.Result, error) {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return program.caller.StreamCall(bounded, gateway, program.record.ID, requestID, call)
}

// isFinal reports whether an error response is the final outcome of its request id.
// After any other, the same request is to be retried.
func isFinal(failure *caller.ErrorResponse) bool {
	code := resultcode.Code(failure.Code)
	return code != resultcode.SlowReader && code != resultcode.Internal && !isUnrecordedRefusal(code)
}

// isUnrecordedRefusal reports whether a refusal is not recorded for its request id:
// this attempt did not run, but an earlier one with the same id may have.
func isUnrecordedRefusal(code resultcode.Code) bool {
	switch code {
	case resultcode.NoLeader, resultcode.Stopping, resultcode.ConfigurationStale, resultcode.TooManyConnections:
		return true
	}
	return false
}

// isUnreachable reports whether the connection could not be established, so that
// nothing was sent.
func isUnreachable(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// recordInterruption records a request whose connection failed after it was
// established.
func (runner *runner) recordInterruption(gateway, request string, cause error) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.InterruptedRequests = append(runner.record.InterruptedRequests, runner.newIncident(gateway, request, cause))
}

// recordRetriedError records an error response after which the request is retried.
func (runner *runner) recordRetriedError(gateway, request string, cause error) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.TransientErrors = append(runner.record.TransientErrors, runner.newIncident(gateway, request, cause))
}

func (runner *runner) newIncident(gateway, request string, cause error) history.RequestError {
	return history.RequestError{At: runner.elapsed(), Gateway: gateway, Request: request, Cause: cause.Error()}
}
