package shard

import (
	"bytes"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Call is one call's replicated record.
type Call struct {
	program *Program
	record  *shardv1.CallRecord
	state   charts.CallState
}

// RequestID returns the caller-given id.
func (call *Call) RequestID() string { return call.record.Accepted.RequestId }

// Program returns the call's program.
func (call *Call) Program() *Program { return call.program }

// Accepted returns the entry the call was accepted by. Of a call with a result
// only the ids and the digest are kept: the rest stands in the stored turn.
func (call *Call) Accepted() *shardv1.CallAccepted { return call.record.Accepted }

// Intent returns the last committed intent, nil before the first.
func (call *Call) Intent() *shardv1.CallIntended { return call.record.Intent }

// Attempt returns the number of the attempt that is due or under way, from 1.
func (call *Call) Attempt() uint32 { return call.record.Attempt }

// State returns the call's state in the call chart.
func (call *Call) State() charts.CallState { return call.state }

// Turn returns the call's place in the program's order, from 1.
func (call *Call) Turn() uint32 { return call.record.Turn }

// Over tells whether the call has its final answer.
func (call *Call) Over() bool { return charts.Call.Final(call.state) }

// SameBody tells whether digest is the one the call was accepted with.
func (call *Call) SameBody(digest []byte) bool {
	return bytes.Equal(call.record.Accepted.Digest, digest)
}

// Finished returns the recorded result, nil where the call has none.
func (call *Call) Finished() *shardv1.CallFinished { return call.record.Finished }

// MayHaveRun tells whether an earlier attempt was lost that may have run. Such a
// call must not be answered as not run.
func (call *Call) MayHaveRun() bool { return call.record.MayHaveRun }

// Partial returns the beginning of the answer that earlier attempts have given;
// it is empty for a first attempt.
func (call *Call) Partial() *shardv1.Partial {
	if call.record.Partial == nil {
		return &shardv1.Partial{}
	}
	return call.record.Partial
}

// Usage returns what a finished call used.
func (call *Call) Usage() *schedulerv1.Usage {
	finished := call.record.Finished
	return &schedulerv1.Usage{
		PromptTokens: finished.PromptTokens,
		CachedTokens: finished.CachedTokens,
		OutputTokens: finished.OutputTokens,
		CostMicros:   call.record.CostMicros,
	}
}

// Failure returns the recorded error of a call that ended without a result.
func (call *Call) Failure() *resultcode.Error {
	ended := call.record.Ended
	if ended == nil {
		return nil
	}
	failure := resultcode.New(resultcode.Code(ended.Code), "%s", ended.Message)
	return failure.After(time.Duration(ended.RetryAfterMs) * time.Millisecond)
}

// Prompt returns the whole prompt of an open call, to be put together by its
// reader.
func (call *Call) Prompt() Prompt {
	return Prompt{
		history: call.program.turns,
		added:   call.record.Accepted.Messages,
		partial: call.Partial().Output,
	}
}

// finishedCall shows a stored turn as a call.
func (program *Program) finishedCall(stored StoredTurn) *Call {
	record := &shardv1.CallRecord{
		Accepted: &shardv1.CallAccepted{
			ProgramId: program.ID(),
			RequestId: stored.RequestID(),
			Digest:    stored.record.Digest,
		},
		Turn: stored.Number(),
	}
	shown := &Call{program: program, state: charts.CallStateDone, record: record}
	content, err := stored.Decode()
	if err != nil {
		record.Ended = &shardv1.CallEnded{Code: uint32(resultcode.Internal), Message: err.Error()}
		return shown
	}
	usage := content.Turn.Usage
	record.CostMicros = usage.GetCostMicros()
	record.Finished = &shardv1.CallFinished{
		Output:       content.Turn.Output,
		FinishReason: content.Turn.FinishReason,
		PromptTokens: usage.GetPromptTokens(),
		CachedTokens: usage.GetCachedTokens(),
		OutputTokens: usage.GetOutputTokens(),
		ChunkBytes:   content.ChunkBytes,
	}
	return shown
}
