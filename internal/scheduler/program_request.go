package scheduler

import (
	"slices"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
)

func (core *Core) answerProgram(replyTo ReplyID, failure *schedulerv1.Error, program *shard.Program) {
	reply := &schedulerv1.ProgramReply{Error: failure}
	if program != nil {
		reply.Program = describeProgram(program)
	}
	core.emit(Reply{To: replyTo, Message: reply})
}

func describeProgram(program *shard.Program) *schedulerv1.Program {
	created := program.Created()
	return &schedulerv1.Program{
		Id:             program.ID(),
		Tenant:         created.Tenant,
		Tier:           created.Tier,
		Kind:           created.Kind,
		ParentId:       created.ParentId,
		State:          program.State().String(),
		Turns:          uint32(len(program.Turns())),
		SpentMicros:    program.Spent(),
		ReservedMicros: program.Reserved(),
		CapMicros:      created.CapMicros,
	}
}

// createRequested proposes a program. Its cap is the lower of the tier's and the caller's.
func (core *Core) createRequested(event CreateRequested) {
	request := event.Request
	host := core.leadingHost(request.ProgramId)
	if host == nil {
		core.answerProgram(event.ReplyTo, core.notLeader(core.shardOf(request.ProgramId)), nil)
		return
	}
	created, failure := core.checkCreation(request)
	if failure != nil {
		core.answerProgram(event.ReplyTo, wireError(failure), nil)
		return
	}
	entry := &shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: created}}
	if failure := host.propose(entry, programWaiter{replyTo: event.ReplyTo}); failure != nil {
		core.answerProgram(event.ReplyTo, wireError(failure), nil)
	}
}

func (core *Core) checkCreation(request *schedulerv1.CreateProgramRequest) (*shardv1.ProgramCreated, *resultcode.Error) {
	if core.configuration == nil || !core.configurationCurrent {
		return nil, resultcode.New(resultcode.ConfigurationStale,
			"the configuration may not be current").WithRetryAfter(staleRetryAfter)
	}
	tier, found := core.configuration.Tier(request.Caller.GetTenant(), request.Caller.GetTier())
	if !found {
		return nil, resultcode.New(resultcode.BadKey, "no tier %s", request.Caller.GetTier())
	}
	kind, found := core.configuration.Kind(request.Kind)
	if !found || !slices.Contains(kind.Tiers, tier.Name) {
		return nil, resultcode.New(resultcode.KindNotAllowed,
			"tier %s may not run programs of kind %q", tier.Name, request.Kind)
	}
	limit := tier.ProgramCapMicros
	if request.CapMicros > 0 && (limit == 0 || request.CapMicros < limit) {
		limit = request.CapMicros
	}
	return &shardv1.ProgramCreated{
		ProgramId: request.ProgramId,
		Tenant:    tier.Tenant,
		Tier:      tier.Name,
		Kind:      kind.Name,
		ParentId:  request.ParentId,
		CapMicros: limit,
		TurnLimit: kind.TurnLimit,
	}, nil
}

// programWaiter replies once an entry about a program is applied.
type programWaiter struct{ replyTo ReplyID }

func (waiting programWaiter) applied(host *host, outcome shard.Outcome) {
	if outcome.Program != nil && outcome.Err == nil && !outcome.Program.IsFinal() {
		host.noteIdle(outcome.Program)
	}
	host.core.answerProgram(waiting.replyTo, wireError(outcome.Err), outcome.Program)
}

func (waiting programWaiter) abandoned(host *host) {
	host.core.answerProgram(waiting.replyTo, host.core.notLeader(host.number), nil)
}

// endRequested proposes the end or the stop of a program.
func (core *Core) endRequested(event EndRequested) {
	request := event.Request
	host := core.leadingHost(request.ProgramId)
	if host == nil {
		core.answerProgram(event.ReplyTo, core.notLeader(core.shardOf(request.ProgramId)), nil)
		return
	}
	program := host.state.Program(request.ProgramId)
	foreign := program != nil && !request.ByOperator && program.Created().Tenant != request.Caller.GetTenant()
	if program == nil || foreign {
		core.answerProgram(event.ReplyTo, wireError(unknownProgram(request.ProgramId)), nil)
		return
	}
	ended := &shardv1.ProgramEnded{ProgramId: request.ProgramId, Stopped: request.Stop, Reason: request.Reason}
	host.proposeEnd(ended, programWaiter{replyTo: event.ReplyTo})
}

// proposeEnd proposes the end of a program and notifies waiting once it is applied.
func (host *host) proposeEnd(ended *shardv1.ProgramEnded, waiting waiter) {
	entry := &shardv1.Entry{Change: &shardv1.Entry_ProgramEnded{ProgramEnded: ended}}
	if failure := host.propose(entry, endWaiter{programID: ended.ProgramId, next: waiting}); failure != nil {
		waiting.abandoned(host)
	}
}

// endWaiter stops the calls of ended programs and releases their cache.
type endWaiter struct {
	programID string
	next      waiter
}

func (waiting endWaiter) applied(host *host, outcome shard.Outcome) {
	if outcome.Err == nil && !outcome.Duplicate {
		host.programsEnded(outcome)
	}
	waiting.next.applied(host, outcome)
}

func (waiting endWaiter) abandoned(host *host) { waiting.next.abandoned(host) }

func (host *host) programsEnded(outcome shard.Outcome) {
	for _, call := range outcome.Cancelled {
		host.stopCall(call)
	}
	for _, program := range outcome.Ended {
		delete(host.idleSince, program.ID())
		host.endedSince[program.ID()] = host.core.now
		host.releaseProgramCache(program)
	}
}

// stopCall fails the stream of a cancelled call and stops its run.
func (host *host) stopCall(call *shard.Call) {
	live := host.calls[callID{program: call.Program().ID(), requestID: call.RequestID()}]
	if live == nil {
		return
	}
	switch live.phase {
	case phaseRunning, phaseCommittingIntent, phaseClosing:
		host.stopRun(live)
	case phaseOffered:
		host.cancelOffer(live)
	}
	live.buffer.Fail(call.Failure())
	delete(host.calls, live.id())
	host.retainDecisions(live)
}

func (host *host) stopRun(live *liveCall) {
	intent := live.call.Intent()
	stop := StopRun{Run: live.run(), Fence: live.fence()}
	if intent != nil {
		stop.AtBackEnd = !live.isTool()
		stop.Address = intent.Address
	}
	host.core.emit(stop)
	host.returnSlot(live, RunEnded{Run: live.run(), End: RunAbandoned})
}
