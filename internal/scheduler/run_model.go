package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// resumeAttempts bounds the reconnections to an interrupted engine stream.
	resumeAttempts = 4
	resumeDelay    = 50 * time.Millisecond
)

var errChunkGap = errors.New("the engine's stream has a gap in its sequence numbers")

// modelRun follows one generation across reconnections.
type modelRun struct {
	executor *executor
	effect   RunModelCall
	last     outside.EngineChunk
	started  bool
}

// runModelCall sends a call to its engine and follows the stream to its end. An interrupted
// stream is resumed at the same engine, which runs a request id only once.
func (executor *executor) runModelCall(ctx context.Context, effect RunModelCall) {
	run := &modelRun{executor: executor, effect: effect}
	ended := notSentInTime(effect.Run)
	if effect.Request.AttachOnly || !executor.decisionExpired(effect.DecidedAt) {
		ended = run.start(ctx)
	}
	ended.Run = effect.Run
	if ctx.Err() == nil {
		executor.post(ended)
	}
	executor.forgetRun(effect.Run)
}

// start builds the prompt and follows the generation.
func (run *modelRun) start(ctx context.Context) RunEnded {
	parts, err := run.effect.Prompt.Parts()
	if err != nil {
		return RunEnded{End: RunNotRun, Detail: err.Error()}
	}
	run.effect.Request.Prompt = parts
	return run.follow(ctx)
}

func (run *modelRun) follow(ctx context.Context) RunEnded {
	request := run.effect.Request
	for attempt := 0; ; attempt++ {
		err := run.executor.engines.Generate(ctx, run.effect.Address, request, run.receive)
		if err == nil && run.last.Finish != "" {
			return run.completed()
		}
		if ctx.Err() != nil {
			return RunEnded{End: RunAbandoned}
		}
		if ended, final := run.classify(err, request.AttachOnly); final || attempt == resumeAttempts {
			return ended
		}
		time.Sleep(resumeDelay << attempt)
		request.AttachOnly = true
		request.ResumeAfter = run.effect.Buffer.LastSequence() - run.effect.Offset
	}
}

// receive handles one item of the stream.
func (run *modelRun) receive(chunk outside.EngineChunk) error {
	if chunk.Finish != "" {
		run.last = chunk
	}
	if chunk.Text == "" && chunk.Tokens == 0 {
		return nil
	}
	if !run.effect.Buffer.Append(chunk.Sequence+run.effect.Offset, chunk.Text, uint32(chunk.Tokens)) {
		return errChunkGap
	}
	if !run.started {
		run.started = true
		run.executor.post(FirstChunkArrived{Run: run.effect.Run})
	}
	return nil
}

func (run *modelRun) completed() RunEnded {
	if run.last.Finish == finishCancelled {
		return RunEnded{End: RunLost, Detail: "cancelled by the engine"}
	}
	return RunEnded{
		End:          RunCompleted,
		FinishReason: run.last.Finish,
		PromptTokens: uint32(run.last.PromptTokens),
		CachedTokens: uint32(run.last.CachedTokens),
		OutputTokens: uint32(run.last.OutputTokens),
	}
}

const finishCancelled = "cancelled"

// classify returns the end of a run that corresponds to the error, and whether it is final.
func (run *modelRun) classify(err error, attached bool) (RunEnded, bool) {
	if err == nil {
		err = errors.New("the engine's stream ended without a finish reason")
	}
	lost := RunEnded{End: RunLost, Detail: err.Error()}
	refused := errors.Is(err, outside.ErrNotRun) || errors.Is(err, outside.ErrStaleFence)
	if refused && attached {
		// The engine does not know the call; it may have restarted.
		return lost, true
	}
	if refused {
		return RunEnded{End: RunNotRun, Detail: err.Error()}, true
	}
	return lost, false
}
