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

// callPhase is how far the leader has brought an open call. The replicated part
// is the call chart's; this is what only the leader knows.
type callPhase int

const (
	// phaseWaiting: calls of the program stand before it.
	phaseWaiting callPhase = iota
	// phaseOffered: the keeper has been asked for a slot.
	phaseOffered
	// phaseIntending: a slot is granted, and the intent is being committed.
	phaseIntending
	// phaseRunning: the call has been sent.
	phaseRunning
	// phaseClosing: the result, the refusal or the next attempt is being
	// committed.
	phaseClosing
)

// liveCall is a leader's volatile record of an open call.
type liveCall struct {
	host   *host
	call   *shard.Call
	buffer *stream.Buffer
	phase  callPhase
	// pool the call is offered to; empty for a tool call.
	pool string
	// poolsTried counts the model's pools that were full.
	poolsTried int
	offeredAt  time.Duration
	// grantedAt is when the back end was chosen.
	grantedAt  time.Duration
	acceptedAt time.Duration
	// sentAt is when the call was sent, begun is true once its first chunk has come.
	sentAt time.Duration
	begun  bool
	// deadline is on this leader's clock; 0 is none.
	deadline time.Duration
	grant    *schedulerv1.CallGrant
	// retry is an entry about the call that could not be proposed yet.
	retry     *shardv1.Entry
	decisions []*schedulerv1.Decision
}

// arrivalBound is how long a call that was sent may be on its way to its engine.
const arrivalBound = 500 * time.Millisecond

// onItsWay tells whether the call is granted, and its engine may not have got it yet.
func (live *liveCall) onItsWay(now time.Duration) bool {
	sending := live.phase == phaseRunning && !live.begun && now-live.sentAt < arrivalBound
	return live.phase == phaseIntending || sending
}

// maximumDecisions bounds what is kept to explain one call.
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

// decide notes a decision for an operator's question why.
func (live *liveCall) decide(what, why string) {
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

// drop ends the leader's part in the call without an answer.
func (live *liveCall) drop() {
	live.buffer.Drop()
	if live.phase == phaseRunning {
		live.host.core.emit(StopRun{Run: live.run()})
	}
}

// fence is the order of the engine's lease under which the call was granted.
func (live *liveCall) fence() outside.Fence {
	intent := live.call.Intent()
	if intent == nil {
		return outside.Fence{}
	}
	return outside.Fence{Holder: intent.FenceHolder, Epoch: intent.FenceEpoch}
}

// bufferOf returns the stream to follow for a known call: the live one, or the
// recorded answer.
func (host *host) bufferOf(call *shard.Call) *stream.Buffer {
	id := callID{program: call.Program().ID(), requestID: call.RequestID()}
	if live := host.calls[id]; live != nil {
		return live.buffer
	}
	if failure := call.Failure(); failure != nil {
		return stream.Failed(failure)
	}
	if finished := call.Finished(); finished != nil {
		return stream.Recorded(finished.Output, finished.ChunkBytes, call.Usage(), finished.FinishReason)
	}
	return stream.Failed(resultcode.New(resultcode.Internal, "call %s has no record", call.RequestID()))
}

// track makes the leader's record of an open call.
func (host *host) track(call *shard.Call) *liveCall {
	live := &liveCall{
		host:       host,
		call:       call,
		buffer:     stream.Begun(call.Partial().Output, call.Partial().ChunkBytes, call.Partial().Tokens),
		acceptedAt: host.core.now,
	}
	host.calls[live.id()] = live
	return live
}

// sortedCalls lists the open calls in a repeatable order.
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
