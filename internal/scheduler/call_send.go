package scheduler

import (
	"fmt"
	"time"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// startTool selects a back end for a tool call and proposes the intent.
func (host *host) startTool(live *liveCall) {
	accepted := live.call.Accepted()
	machine, found := host.core.selectTool(accepted.Target)
	if !found {
		host.refuse(live, resultcode.New(resultcode.NoBackEnd,
			"no back end of %s accepts work", accepted.Target).WithRetryAfter(noBackEndRetryAfter))
		return
	}
	live.recordDecision("placed", "tool back end "+machine.ID)
	host.proposeIntent(live, &shardv1.CallIntended{BackEnd: machine.ID, Address: machine.Address})
}

// send starts the run if this leader holds the lease and the machine list is not older than the
// last freeze; otherwise the run waits. A paused leader may have been replaced by one that is
// now responsible for the intent. If the back end is no longer available, the call is requeued.
func (host *host) send(live *liveCall) {
	if !host.replica.HoldsLease(host.core.now) || !host.core.machineListCurrent() {
		host.unsent = append(host.unsent, live.run())
		return
	}
	live.phase = phaseRunning
	live.sentAt = host.core.now
	live.firstChunkSeen = false
	if host.core.backEndUnavailable(live) {
		host.runEnded(live, RunEnded{Run: live.run(), End: RunNotRun, Detail: "the back end became unavailable before the call was sent"})
		return
	}
	host.core.log("call_sent", host.number, live.id().program, live.id().requestID,
		fmt.Sprintf("back_end=%s list_age=%s granted_ago=%s", live.call.Intent().BackEnd, host.core.now-host.core.listRequestedAt, host.core.now-live.grantedAt))
	if live.isTool() {
		host.runTool(live)
		return
	}
	host.runModel(live, false)
}

// sendUnsent retries the runs that waited for the lease or the machine list.
func (host *host) sendUnsent() {
	waiting := host.unsent
	host.unsent = nil
	for _, run := range waiting {
		live := host.calls[callID{program: run.Program, requestID: run.RequestID}]
		if live != nil && live.run() == run && live.phase == phaseCommittingIntent {
			host.send(live)
		}
	}
}

func (host *host) runModel(live *liveCall, attachOnly bool) {
	accepted := live.call.Accepted()
	intent := live.call.Intent()
	priority := 0
	if live.grant != nil {
		priority = int(live.grant.Priority)
	}
	host.core.emit(RunModelCall{
		Run:     live.run(),
		Address: intent.Address,
		Buffer:  live.buffer,
		Offset:  uint64(len(live.call.Partial().ChunkBytes)),
		Prompt:  live.call.Prompt(),

		DecidedAt: host.core.now,
		Request: outside.GenerateRequest{
			RequestID:  backEndRequestID(live.run()),
			Program:    live.id().program,
			Model:      accepted.Target,
			Adapter:    accepted.Adapter,
			MaxTokens:  int(accepted.MaxTokens - min(accepted.MaxTokens, live.call.Partial().Tokens)),
			Priority:   priority,
			Fence:      live.fence(),
			AttachOnly: attachOnly,
		},
	})
}

func (host *host) runTool(live *liveCall) {
	accepted := live.call.Accepted()
	input := ""
	for _, message := range accepted.Messages {
		input += message.Content
	}
	host.core.emit(RunToolCall{
		Run:      live.run(),
		Address:  live.call.Intent().Address,
		Deadline: host.core.callDeadline(accepted.Target),
		Buffer:   live.buffer,

		DecidedAt: host.core.now,
		Request: outside.ToolRequest{
			RequestID:  backEndRequestID(live.run()),
			Program:    live.id().program,
			Service:    accepted.Target,
			Input:      input,
			Repeatable: accepted.Repeatable,
		},
	})
}

// callDeadline returns the time limit of one call to the service.
func (core *Core) callDeadline(service string) time.Duration {
	declared, found := core.configuration.Service(service)
	if !found || declared.CallDeadlineMs == 0 {
		return core.config.DefaultCallDeadline
	}
	return time.Duration(declared.CallDeadlineMs) * time.Millisecond
}

// backEndRequestID names a run at its back end. Each attempt has its own name because the back
// end may refuse the name of an earlier one.
func backEndRequestID(run RunKey) string {
	name := run.Program + "/" + run.RequestID
	if run.Attempt == 1 {
		return name
	}
	return name + attemptSuffix(run.Attempt)
}
