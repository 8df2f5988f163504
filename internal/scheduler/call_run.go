package scheduler

import (
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
	"github.com/magpielug/magpielug/internal/stream"
)

const noBackEndRetryAfter = 2 * time.Second

func droppedBuffer() *stream.Buffer {
	buffer := stream.New()
	buffer.Drop()
	return buffer
}

// resumeCalls takes up every open call when this replica becomes the leader.
// A call with a committed intent may be running: it is attached to, never sent
// anew.
func (host *host) resumeCalls() {
	for _, program := range host.sortedPrograms() {
		if program.Over() {
			host.overSince[program.ID()] = host.core.now
			continue
		}
		if program.OpenCalls() == 0 {
			host.quietSince[program.ID()] = host.core.now
			continue
		}
		for _, call := range program.Open() {
			host.track(call).decide("resumed", "this process leads the shard now")
		}
		host.resumeHead(program)
	}
}

func (host *host) resumeHead(program *shard.Program) {
	head := host.calls[callID{program: program.ID(), requestID: program.Head().RequestID()}]
	if head.call.State() != charts.CallStateDispatched {
		host.advance(program)
		return
	}
	head.phase = phaseRunning
	if head.isTool() {
		host.runEnded(head, RunEnded{Run: head.run(), End: RunLost, Detail: "the leader was lost"})
		return
	}
	head.pool = host.core.poolOfEngine(head.call.Intent().BackEnd)
	head.decide("attached", "the intent was committed under an earlier leader")
	host.runModel(head, true)
}

func (live *liveCall) isTool() bool {
	return live.call.Accepted().Kind == schedulerv1.CallKind_CALL_KIND_TOOL
}

// advance starts the program's next call once the one before it has ended.
func (host *host) advance(program *shard.Program) {
	head := program.Head()
	if head == nil {
		return
	}
	live := host.calls[callID{program: program.ID(), requestID: head.RequestID()}]
	if live == nil || live.phase != phaseWaiting {
		return
	}
	if host.core.stopping {
		// The next leader starts it.
		return
	}
	if live.isTool() {
		host.startTool(live)
		return
	}
	host.offer(live)
}

// intend commits that the call is about to be sent. Only an applied intent is
// acted on.
func (host *host) intend(live *liveCall, intent *shardv1.CallIntended) {
	intent.ProgramId = live.id().program
	intent.RequestId = live.id().requestID
	intent.Attempt = live.call.Attempt()
	live.phase = phaseIntending
	live.grantedAt = host.core.now
	entry := &shardv1.Entry{Change: &shardv1.Entry_CallIntended{CallIntended: intent}}
	host.proposeFor(live, entry)
}

// proposeFor proposes an entry about an open call. Where that fails, leadership
// is over or in doubt, and the tick tries again.
func (host *host) proposeFor(live *liveCall, entry *shardv1.Entry) {
	if failure := host.propose(entry, callWaiter{id: live.id()}); failure != nil {
		live.retry = entry
	}
}

// callWaiter goes on with a call once an entry about it is applied.
type callWaiter struct{ id callID }

func (waiting callWaiter) applied(host *host, outcome shard.Outcome) {
	live := host.calls[waiting.id]
	if live == nil {
		return
	}
	if outcome.Err != nil {
		host.core.log("entry_refused", host.number, waiting.id.program, waiting.id.requestID, outcome.Err.Error())
		return
	}
	switch {
	case live.call.Over():
		host.closeCall(live)
	case live.call.State() == charts.CallStateDispatched && live.phase == phaseIntending:
		host.sendArchived(live)
	case live.call.State() == charts.CallStateQueued:
		live.phase = phaseWaiting
		host.advance(live.call.Program())
	}
}

func (callWaiter) abandoned(*host) {}

// runEnded takes the end of a run in and proposes what follows from it.
func (core *Core) runEnded(event RunEnded) {
	host := core.hosts[core.shardOf(event.Run.Program)]
	if host == nil || !host.serving {
		return
	}
	live := host.calls[callID{program: event.Run.Program, requestID: event.Run.RequestID}]
	if live == nil || live.run() != event.Run || live.phase != phaseRunning {
		return
	}
	core.noteToolEnd(live, event.End)
	host.runEnded(live, event)
}

func (host *host) runEnded(live *liveCall, event RunEnded) {
	host.returnSlot(live, event)
	switch event.End {
	case RunCompleted:
		host.finish(live, event)
	case RunNotRun:
		host.runAgain(live, true, event.Detail)
	case RunTimedOut:
		host.runTimedOut(live, event)
	case RunLost, RunAbandoned:
		host.runLost(live, event)
	}
}

// finish commits the whole answer before the caller is told that it is whole.
func (host *host) finish(live *liveCall, event RunEnded) {
	live.phase = phaseClosing
	output, chunkBytes := live.buffer.Content()
	live.decide("finished", event.FinishReason)
	host.proposeFor(live, &shardv1.Entry{Change: &shardv1.Entry_CallFinished{CallFinished: &shardv1.CallFinished{
		ProgramId:    live.id().program,
		RequestId:    live.id().requestID,
		Attempt:      live.call.Attempt(),
		Output:       output,
		FinishReason: event.FinishReason,
		PromptTokens: event.PromptTokens,
		CachedTokens: event.CachedTokens,
		OutputTokens: event.OutputTokens + live.call.Partial().Tokens,
		ChunkBytes:   chunkBytes,
	}}})
}

func (host *host) runLost(live *liveCall, event RunEnded) {
	if live.call.Accepted().Repeatable {
		host.runAgain(live, false, event.Detail)
		return
	}
	host.end(live, resultcode.New(resultcode.OutcomeUnknown,
		"the call was sent and its outcome is lost: %s", event.Detail))
}

func (host *host) runTimedOut(live *liveCall, event RunEnded) {
	if live.isTool() && live.call.Accepted().Repeatable {
		host.end(live, resultcode.New(resultcode.ToolTimeout, "no answer by the deadline"))
		return
	}
	host.runLost(live, event)
}

// runAgain puts the call back into the queue, as often as the bound on
// attempts allows.
func (host *host) runAgain(live *liveCall, notRun bool, detail string) {
	if live.call.Attempt() >= host.core.config.MaximumAttempts {
		host.end(live, resultcode.New(resultcode.EngineFailed,
			"%d attempts failed, the last: %s", live.call.Attempt(), detail).After(noBackEndRetryAfter))
		return
	}
	live.phase = phaseClosing
	live.decide("queued again", detail)
	host.core.counters.Requeued++
	output, chunkBytes := live.buffer.Content()
	partial := &shardv1.Partial{
		Output:     output,
		Tokens:     live.buffer.Tokens(),
		ChunkBytes: chunkBytes,
	}
	host.proposeFor(live, &shardv1.Entry{Change: &shardv1.Entry_CallRequeued{CallRequeued: &shardv1.CallRequeued{
		ProgramId: live.id().program,
		RequestId: live.id().requestID,
		Attempt:   live.call.Attempt(),
		NotRun:    notRun,
		Partial:   partial,
	}}})
}

// refuse commits that the call did not run and never will. A call of which an
// earlier attempt may have run is given up as failed instead.
func (host *host) refuse(live *liveCall, failure *resultcode.Error) {
	if live.call.MayHaveRun() {
		failure = resultcode.New(resultcode.EngineFailed,
			"an attempt was lost and the next one got no slot: %s", failure.Message).After(failure.RetryAfter)
	}
	host.end(live, failure)
}

// end commits that the call has no result.
func (host *host) end(live *liveCall, failure *resultcode.Error) {
	live.phase = phaseClosing
	live.decide("ended", failure.Error())
	host.proposeFor(live, &shardv1.Entry{Change: &shardv1.Entry_CallEnded{CallEnded: &shardv1.CallEnded{
		ProgramId:    live.id().program,
		RequestId:    live.id().requestID,
		Attempt:      live.call.Attempt(),
		Code:         uint32(failure.Code),
		Message:      failure.Message,
		RetryAfterMs: millisecondsOf(failure.RetryAfter),
	}}})
}

// closeCall answers the followers of a call that is over, and goes on with the
// program.
func (host *host) closeCall(live *liveCall) {
	call := live.call
	if failure := call.Failure(); failure != nil {
		host.core.counters.Ended[failure.Code]++
		live.buffer.Fail(failure)
	} else {
		host.core.counters.Finished++
		live.buffer.Finish(call.Finished().FinishReason, call.Usage())
	}
	delete(host.calls, live.id())
	host.rememberDecisions(live)
	program := call.Program()
	if program.Over() {
		return
	}
	if program.OpenCalls() > 0 {
		host.advance(program)
		return
	}
	host.quietSince[program.ID()] = host.core.now
	if program.Created().SingleCall {
		host.proposeEnd(&shardv1.ProgramEnded{ProgramId: program.ID()}, ignoredWaiter{})
		return
	}
	host.pauseProgram(program, live.pool)
}

// retryEntries proposes again what could not be proposed before.
func (host *host) retryEntries() {
	for _, live := range host.sortedCalls() {
		if live.retry == nil {
			continue
		}
		entry := live.retry
		live.retry = nil
		host.proposeFor(live, entry)
	}
}

// firstChunkArrived tells the keeper that the prompt phase is over.
func (core *Core) firstChunkArrived(run RunKey) {
	host := core.hosts[core.shardOf(run.Program)]
	if host == nil || !host.serving {
		return
	}
	live := host.calls[callID{program: run.Program, requestID: run.RequestID}]
	if live == nil || live.run() != run || live.pool == "" {
		return
	}
	live.begun = true
	core.requestKeeper(live.pool, host.number, &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_FirstToken{FirstToken: live.wireKey()},
	})
}
