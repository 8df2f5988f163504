package scheduler

import (
	"context"
	"errors"

	"github.com/magpielug/magpielug/internal/outside"
)

// runToolCall sends a call to a tool service and waits for its answer until the deadline.
func (executor *executor) runToolCall(ctx context.Context, effect RunToolCall) {
	if executor.decisionExpired(effect.DecidedAt) {
		executor.post(notSentInTime(effect.Run))
		executor.forgetRun(effect.Run)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, effect.Deadline)
	output, err := executor.tools.Call(bounded, effect.Address, effect.Request)
	timedOut := bounded.Err() != nil
	cancel()
	if ctx.Err() == nil {
		executor.post(toolEnded(effect, output, err, timedOut))
	}
	executor.forgetRun(effect.Run)
}

func toolEnded(effect RunToolCall, output string, err error, timedOut bool) RunEnded {
	ended := RunEnded{Run: effect.Run}
	switch {
	case err == nil:
		effect.Buffer.Append(1, output, 0)
		ended.End = RunCompleted
		ended.FinishReason = finishStop
	case errors.Is(err, outside.ErrNotRun):
		ended.End = RunNotRun
		ended.Detail = err.Error()
	case timedOut:
		ended.End = RunTimedOut
		ended.Detail = err.Error()
	default:
		ended.End = RunLost
		ended.Detail = err.Error()
	}
	return ended
}

const finishStop = "stop"
