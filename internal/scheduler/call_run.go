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

func abandonedBuffer() *stream.Buffer {
	buffer := stream.New()
	buffer.Abandon()
	return buffer
}

// resumeCalls takes over all open calls when this replica becomes the leader. A call with a
// committed intent may be running: it is attached to and never sent again.
func (host *host) resumeCalls() {
	for _, program := range host.sortedPrograms() {
		if program.IsFinal() {
			host.endedSince[program.ID()] = host.core.now
			continue
		}
		if program.OpenCalls() == 0 {
			host.idleSince[program.ID()] = host.core.now
			continue
		}
		for _, call := range program.Open() {
			host.track(call).recordDecision("resumed", "this process is the shard's new leader")
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
		host.runEnded(head, RunEnded{Run: head.run(), End: RunLost, Detail: "the leader that ran the tool call was lost"})
		return
	}
	head.pool = host.core.poolOfEngine(head.call.Intent().BackEnd)
	head.recordDecision("attached", "the intent was committed under an earlier leader")
	host.runModel(head, true)
}

func (live *liveCall) isTool() bool {
	return live.call.Accepted().Kind == schedulerv1.CallKind_CALL_KIND_TOOL
}

// advance starts the program's next call if it is not started yet.
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
		// The next leader starts the call.
		return
	}
	if live.isTool() {
		host.startTool(live)
		return
	}
	host.offer(live)
}

// proposeIntent proposes the intent to send a call. The call is sent only after the intent is
// applied.
func (host *host) proposeIntent(live *liveCall, intent *shardv1.CallIntended) {
	intent.ProgramId = live.id().program
	intent.RequestId = live.id().requestID
	intent.Attempt = live.call.Attempt()
	live.phase = phaseCommittingIntent
	live.grantedAt = host.core.now
	entry := &shardv1.Entry{Change: &shardv1.Entry_CallIntended{CallIntended: intent}}
	host.proposeFor(live, entry)
}

// proposeFor proposes an entry about an open call. If that fails, leadership is lost or
// uncertain, and the next tick tries again.
func (host *host) proposeFor(live *liveCall, entry *shardv1.Entry) {
	if failure := host.propose(entry, callWaiter{id: live.id()}); failure != nil {
		live.retry = entry
	}
}

// callWaiter continues a call once an entry about it is applied.
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
	case live.call.IsFinal():
		host.closeCall(live)
	case live.call.State() == charts.CallStateDispatched && live.phase == phaseCommittingIntent:
		host.sendWhenArchived(live)
	case live.call.State() == charts.CallStateQueued:
		live.phase = phaseWaiting
		host.advance(live.call.Program())
	}
}

func (callWaiter) abandoned(*host) {}

// runEnded handles the end of a run and proposes the result.
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
		host.requeue(live, true, event.Detail)
	case RunTimedOut:
		host.runTimedOut(live, event)
	case RunLost, RunAbandoned:
		host.runLost(live, event)
	}
}

// finish commits the complete output before the caller's stream is completed.
func (host *host) finish(live *liveCall, event RunEnded) {
	live.phase = phaseClosing
	output, chunkBytes := live.buffer.Content()
	live.recordDecision("finished", event.FinishReason)
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
		host.requeue(live, false, event.Detail)
		return
	}
	host.fail(live, resultcode.New(resultcode.OutcomeUnknown,
		"the call was sent and its outcome is unknown: %s", event.Detail))
}

func (host *host) runTimedOut(live *liveCall, event RunEnded) {
	if live.isTool() && live.call.Accepted().Repeatable {
		host.fail(live, resultcode.New(resultcode.ToolTimeout, "the tool did not answer before the deadline"))
		return
	}
	host.runLost(live, event)
}

// requeue puts the call back into the queue, or fails it if MaximumAttempts is reached.
func (host *host) requeue(live *liveCall, notRun bool, detail string) {
	if live.call.Attempt() >= host.core.config.MaximumAttempts {
		host.fail(live, resultcode.New(resultcode.EngineFailed,
			"%d attempts failed; last error: %s", live.call.Attempt(), detail).WithRetryAfter(noBackEndRetryAfter))
		return
	}
	live.phase = phaseClosing
	live.recordDecision("queued again", detail)
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

// refuse commits that the call did not run and never will. If an earlier attempt may have run,
// the call is committed as failed instead.
func (host *host) refuse(live *liveCall, failure *resultcode.Error) {
	if live.call.MayHaveRun() {
		failure = resultcode.New(resultcode.EngineFailed,
			"an attempt was lost and the next one was refused: %s", failure.Message).WithRetryAfter(failure.RetryAfter)
	}
	host.fail(live, failure)
}

// fail commits that the call has no result.
func (host *host) fail(live *liveCall, failure *resultcode.Error) {
	live.phase = phaseClosing
	live.recordDecision("ended", failure.Error())
	host.proposeFor(live, &shardv1.Entry{Change: &shardv1.Entry_CallEnded{CallEnded: &shardv1.CallEnded{
		ProgramId:    live.id().program,
		RequestId:    live.id().requestID,
		Attempt:      live.call.Attempt(),
		Code:         uint32(failure.Code),
		Message:      failure.Message,
		RetryAfterMs: millisecondsOf(failure.RetryAfter),
	}}})
}

// closeCall completes the streams of a call that is over, and starts the program's next call.
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
	host.retainDecisions(live)
	program := call.Program()
	if program.IsFinal() {
		return
	}
	if program.OpenCalls() > 0 {
		host.advance(program)
		return
	}
	host.idleSince[program.ID()] = host.core.now
	if program.Created().SingleCall {
		host.proposeEnd(&shardv1.ProgramEnded{ProgramId: program.ID()}, ignoredWaiter{})
		return
	}
	host.pauseProgram(program, live.pool)
}

// retryEntries proposes again the entries whose proposal failed.
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

// firstChunkArrived reports the end of the prefill phase to the keeper.
func (core *Core) firstChunkArrived(run RunKey) {
	host := core.hosts[core.shardOf(run.Program)]
	if host == nil || !host.serving {
		return
	}
	live := host.calls[callID{program: run.Program, requestID: run.RequestID}]
	if live == nil || live.run() != run || live.pool == "" {
		return
	}
	live.firstChunkSeen = true
	core.requestKeeper(live.pool, host.number, &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_FirstToken{FirstToken: live.wireKey()},
	})
}
