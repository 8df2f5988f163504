package scheduler

import (
	"slices"
	"strings"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
	"github.com/magpielug/magpielug/internal/stream"
)

// callPhase is the leader's volatile progress of an open call, in addition to the replicated
// call state.
type callPhase int

const (
	// phaseWaiting: the program's earlier calls are not finished.
	phaseWaiting callPhase = iota
	// phaseOffered: the call is offered to a keeper.
	phaseOffered
	// phaseCommittingIntent: a slot is granted and the intent is being committed.
	phaseCommittingIntent
	// phaseRunning: the call has been sent.
	phaseRunning
	// phaseClosing: the result, the refusal or the next attempt is being committed.
	phaseClosing
)

// liveCall is a leader's volatile record of an open call.
type liveCall struct {
	host   *host
	call   *shard.Call
	buffer *stream.Buffer
	phase  callPhase
	// pool is the pool that the call is offered to; empty for a tool call.
	pool string
	// poolsTried counts the model's pools that were full.
	poolsTried int
	offeredAt  time.Duration
	// grantedAt is the time at which the back end was selected.
	grantedAt  time.Duration
	acceptedAt time.Duration
	// sentAt is the time at which the call was sent; firstChunkSeen is true once its first chunk
	// has arrived.
	sentAt         time.Duration
	firstChunkSeen bool
	// deadline is on this leader's clock; 0 means none.
	deadline time.Duration
	grant    *schedulerv1.CallGrant
	// retry is an entry about the call whose proposal failed.
	retry     *shardv1.Entry
	decisions []*schedulerv1.Decision
}

// transitTimeout is the maximum time that a sent call is considered to be in transit to its
// engine.
const transitTimeout = 500 * time.Millisecond

// inTransit reports whether the call is granted but may not have reached its engine yet.
func (live *liveCall) inTransit(now time.Duration) bool {
	sending := live.phase == phaseRunning && !live.firstChunkSeen && now-live.sentAt < transitTimeout
	return live.phase == phaseCommittingIntent || sending
}

// maximumDecisions bounds the decisions retained per call.
const maximumDecisions = 32

func (live *liveCall) id() callID {
	return callID{program: live.call.Program().ID(), requestID: live.call.RequestID()}
}

func (live *liveCall) run() RunKey {
	return RunKey{
		Program:   live.call.Program().ID(),
		RequestID: live.call.RequestID(),
		Attempt:   live.call.Attempt(),
	}
}

func (live *liveCall) wireKey() *schedulerv1.CallKey {
	return &schedulerv1.CallKey{
		ProgramId: live.call.Program().ID(),
		RequestId: live.call.RequestID(),
		Attempt:   live.call.Attempt(),
	}
}

// recordDecision records a decision for ExplainCall.
func (live *liveCall) recordDecision(what, why string) {
	if len(live.decisions) >= maximumDecisions {
		live.decisions = live.decisions[1:]
	}
	live.decisions = append(live.decisions, &schedulerv1.Decision{
		AtMs: uint64(live.host.core.now / time.Millisecond),
		Node: live.host.core.config.Process,
		What: what,
		Why:  why,
	})
}

// abandon ends the call's stream without an answer, and stops following its run.
func (live *liveCall) abandon() {
	live.buffer.Abandon()
	if live.phase == phaseRunning {
		live.host.core.emit(StopRun{Run: live.run()})
	}
}

// fence returns the fence under which the call was granted.
func (live *liveCall) fence() outside.Fence {
	intent := live.call.Intent()
	if intent == nil {
		return outside.Fence{}
	}
	return outside.Fence{Holder: intent.FenceHolder, Epoch: intent.FenceEpoch}
}

// bufferOf returns the stream of a known call: the live one, or a replay of the recorded result.
func (host *host) bufferOf(call *shard.Call) *stream.Buffer {
	id := callID{program: call.Program().ID(), requestID: call.RequestID()}
	if live := host.calls[id]; live != nil {
		return live.buffer
	}
	if failure := call.Failure(); failure != nil {
		return stream.NewFailed(failure)
	}
	if finished := call.Finished(); finished != nil {
		return stream.NewFinished(finished.Output, finished.ChunkBytes, call.Usage(), finished.FinishReason)
	}
	return stream.NewFailed(resultcode.New(resultcode.Internal, "call %s has no recorded result", call.RequestID()))
}

// track creates the leader's record of an open call.
func (host *host) track(call *shard.Call) *liveCall {
	live := &liveCall{
		host:       host,
		call:       call,
		buffer:     stream.NewPartial(call.Partial().Output, call.Partial().ChunkBytes, call.Partial().Tokens),
		acceptedAt: host.core.now,
	}
	host.calls[live.id()] = live
	return live
}

// sortedCalls lists the open calls in a deterministic order.
func (host *host) sortedCalls() []*liveCall {
	list := make([]*liveCall, 0, len(host.calls))
	for _, live := range host.calls {
		list = append(list, live)
	}
	slices.SortFunc(list, func(left, right *liveCall) int {
		byProgram := strings.Compare(left.id().program, right.id().program)
		if byProgram != 0 {
			return byProgram
		}
		return int(left.call.Turn()) - int(right.call.Turn())
	})
	return list
}
