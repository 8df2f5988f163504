package shard

import (
	"bytes"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Turn is one finished call in a program's history.
type Turn = schedulerv1.Turn

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

// Accepted returns the entry the call was accepted by. Its messages are gone
// once the call has finished: they stand in the history then.
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

// Prompt returns the whole prompt of the call, one part a message: the
// program's history first, then the call's own messages. An earlier output is a
// part with its text unchanged, so that an engine finds its cached blocks.
func (call *Call) Prompt() []string {
	var parts []string
	for _, turn := range call.program.record.History {
		parts = appendMessages(parts, turn.Messages)
		if turn.Output != "" {
			parts = append(parts, turn.Output)
		}
	}
	parts = appendMessages(parts, call.record.Accepted.Messages)
	if partial := call.Partial().Output; partial != "" {
		parts = append(parts, partial)
	}
	return parts
}

func appendMessages(parts []string, messages []*schedulerv1.Message) []string {
	for _, message := range messages {
		parts = append(parts, renderMessage(message.Role, message.Content))
	}
	return parts
}

func renderMessage(role, content string) string {
	return "\n" + role + ": " + content
}
