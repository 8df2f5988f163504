package shard

import (
	"bytes"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Call is the replicated record of one call.
type Call struct {
	program *Program
	record  *shardv1.CallRecord
	state   charts.CallState
}

// RequestID returns the id that the caller assigned.
func (call *Call) RequestID() string { return call.record.Accepted.RequestId }

// Program returns the call's program.
func (call *Call) Program() *Program { return call.program }

// Accepted returns the entry that accepted the call. For a finished call it holds
// only the ids and the digest; the rest is in the stored turn.
func (call *Call) Accepted() *shardv1.CallAccepted { return call.record.Accepted }

// Intent returns the committed dispatch intent of the current attempt; nil if there
// is none.
func (call *Call) Intent() *shardv1.CallIntended { return call.record.Intent }

// Attempt returns the number of the current attempt, from 1.
func (call *Call) Attempt() uint32 { return call.record.Attempt }

// State returns the call's state in the call state chart.
func (call *Call) State() charts.CallState { return call.state }

// Turn returns the call's position among the program's accepted calls, from 1; 0 for
// a rejected call.
func (call *Call) Turn() uint32 { return call.record.Turn }

// IsFinal reports whether the call is in a final state.
func (call *Call) IsFinal() bool { return charts.Call.Final(call.state) }

// HasDigest reports whether digest equals the digest of the call's request body.
func (call *Call) HasDigest(digest []byte) bool {
	return bytes.Equal(call.record.Accepted.Digest, digest)
}

// Finished returns the recorded result; nil if the call has none.
func (call *Call) Finished() *shardv1.CallFinished { return call.record.Finished }

// MayHaveRun reports whether an earlier attempt of unknown outcome may have run. Such
// a call must not be reported as not run.
func (call *Call) MayHaveRun() bool { return call.record.MayHaveRun }

// Partial returns the output that earlier attempts generated; empty if there is none.
func (call *Call) Partial() *shardv1.Partial {
	if call.record.Partial == nil {
		return &shardv1.Partial{}
	}
	return call.record.Partial
}

// Usage returns the token usage and cost of a finished call.
func (call *Call) Usage() *schedulerv1.Usage {
	finished := call.record.Finished
	return &schedulerv1.Usage{
		PromptTokens: finished.PromptTokens,
		CachedTokens: finished.CachedTokens,
		OutputTokens: finished.OutputTokens,
		CostMicros:   call.record.CostMicros,
	}
}

// Failure returns the recorded error of a call that ended without a result; nil for
// any other call.
func (call *Call) Failure() *resultcode.Error {
	ended := call.record.Ended
	if ended == nil {
		return nil
	}
	failure := resultcode.New(resultcode.Code(ended.Code), "%s", ended.Message)
	return failure.WithRetryAfter(time.Duration(ended.RetryAfterMs) * time.Millisecond)
}

// Prompt returns the full prompt of an open call. Prompt.Parts assembles it.
func (call *Call) Prompt() Prompt {
	return Prompt{
		history:       call.program.turns,
		newMessages:   call.record.Accepted.Messages,
		partialOutput: call.Partial().Output,
	}
}

// callFromTurn builds a finished call from its stored turn. A turn that cannot be
// decoded gives a call with an Internal error.
func (program *Program) callFromTurn(stored StoredTurn) *Call {
	record := &shardv1.CallRecord{
		Accepted: &shardv1.CallAccepted{
			ProgramId: program.ID(),
			RequestId: stored.RequestID(),
			Digest:    stored.record.Digest,
		},
		Turn: stored.Number(),
	}
	call := &Call{program: program, state: charts.CallStateDone, record: record}
	content, err := stored.Decode()
	if err != nil {
		record.Ended = &shardv1.CallEnded{Code: uint32(resultcode.Internal), Message: err.Error()}
		return call
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
	return call
}
