package scheduler

import (
	"fmt"
	"time"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// startTool commits the intent of a tool call at the least busy back end.
func (host *host) startTool(live *liveCall) {
	accepted := live.call.Accepted()
	machine, found := host.core.pickTool(accepted.Target)
	if !found {
		host.refuse(live, resultcode.New(resultcode.NoBackEnd,
			"no back end of %s takes work", accepted.Target).After(noBackEndRetryAfter))
		return
	}
	live.decide("placed", "tool back end "+machine.ID)
	host.intend(live, &shardv1.CallIntended{BackEnd: machine.ID, Address: machine.Address})
}

// send starts the run, if the lease covers this moment and the machine list is
// not from before a freeze: a leader that was paused may have been replaced, and
// its successor answers for the intent. A back end that has left since it was
// chosen gets nothing; the call is queued again.
func (host *host) send(live *liveCall) {
	if !host.replica.HoldsLease(host.core.now) || !host.core.listCurrent() {
		host.unsent = append(host.unsent, live.run())
		return
	}
	live.phase = phaseRunning
	live.sentAt = host.core.now
	live.begun = false
	if host.core.leftSince(live) {
		host.runEnded(live, RunEnded{Run: live.run(), End: RunNotRun, Detail: "the back end left before the call was sent"})
		return
	}
	host.core.log("call_sent", host.number, live.id().program, live.id().requestID,
		fmt.Sprintf("back_end=%s list_age=%s granted_ago=%s", live.call.Intent().BackEnd, host.core.now-host.core.listAskedAt, host.core.now-live.grantedAt))
	if live.isTool() {
		host.runTool(live)
		return
	}
	host.runModel(live, false)
}

// sendUnsent starts runs that waited for the lease or the machine list.
func (host *host) sendUnsent() {
	waiting := host.unsent
	host.unsent = nil
	for _, run := range waiting {
		live := host.calls[callID{program: run.Program, requestID: run.RequestID}]
		if live != nil && live.run() == run && live.phase == phaseIntending {
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

// callDeadline is how long one call of the service may take.
func (core *Core) callDeadline(service string) time.Duration {
	declared, found := core.configuration.Service(service)
	if !found || declared.CallDeadlineMs == 0 {
		return core.config.DefaultCallDeadline
	}
	return time.Duration(declared.CallDeadlineMs) * time.Millisecond
}

// backEndRequestID names a run at its back end. Attempts after the first have
// names of their own: the back end may have sealed the earlier one.
func backEndRequestID(run RunKey) string {
	name := run.Program + "/" + run.RequestID
	if run.Attempt == 1 {
		return name
	}
	return name + attemptSuffix(run.Attempt)
}
