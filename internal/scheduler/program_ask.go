package scheduler

import (
	"slices"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
)

func (core *Core) answerProgram(ask AskID, failure *schedulerv1.Error, program *shard.Program) {
	reply := &schedulerv1.ProgramReply{Error: failure}
	if program != nil {
		reply.Program = describeProgram(program)
	}
	core.emit(Answer{Ask: ask, Message: reply})
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

// createAsked proposes a program. Its cap is the tier's, or the caller's where
// that is lower.
func (core *Core) createAsked(event CreateAsked) {
	request := event.Request
	host := core.leadingHost(request.ProgramId)
	if host == nil {
		core.answerProgram(event.Ask, core.notLeader(core.shardOf(request.ProgramId)), nil)
		return
	}
	created, failure := core.checkCreation(request)
	if failure != nil {
		core.answerProgram(event.Ask, wireError(failure), nil)
		return
	}
	entry := &shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: created}}
	if failure := host.propose(entry, programWaiter{ask: event.Ask}); failure != nil {
		core.answerProgram(event.Ask, wireError(failure), nil)
	}
}

func (core *Core) checkCreation(request *schedulerv1.CreateProgramRequest) (*shardv1.ProgramCreated, *resultcode.Error) {
	if core.configuration == nil || !core.fresh {
		return nil, resultcode.New(resultcode.ConfigurationStale,
			"the configuration may not be current").After(staleRetryAfter)
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

// programWaiter answers once an entry about a program is applied.
type programWaiter struct{ ask AskID }

func (waiting programWaiter) applied(host *host, outcome shard.Outcome) {
	if outcome.Program != nil && outcome.Err == nil && !outcome.Program.Over() {
		host.noteQuiet(outcome.Program)
	}
	host.core.answerProgram(waiting.ask, wireError(outcome.Err), outcome.Program)
}

func (waiting programWaiter) abandoned(host *host) {
	host.core.answerProgram(waiting.ask, host.core.notLeader(host.number), nil)
}

// endAsked proposes the end or the stop of a program.
func (core *Core) endAsked(event EndAsked) {
	request := event.Request
	host := core.leadingHost(request.ProgramId)
	if host == nil {
		core.answerProgram(event.Ask, core.notLeader(core.shardOf(request.ProgramId)), nil)
		return
	}
	program := host.state.Program(request.ProgramId)
	foreign := program != nil && !request.ByOperator && program.Created().Tenant != request.Caller.GetTenant()
	if program == nil || foreign {
		core.answerProgram(event.Ask, wireError(unknownProgram(request.ProgramId)), nil)
		return
	}
	ended := &shardv1.ProgramEnded{ProgramId: request.ProgramId, Stopped: request.Stop, Reason: request.Reason}
	host.proposeEnd(ended, programWaiter{ask: event.Ask})
}

// proposeEnd proposes the end of a program and tells waiting once it is
// applied.
func (host *host) proposeEnd(ended *shardv1.ProgramEnded, waiting waiter) {
	entry := &shardv1.Entry{Change: &shardv1.Entry_ProgramEnded{ProgramEnded: ended}}
	if failure := host.propose(entry, endWaiter{programID: ended.ProgramId, next: waiting}); failure != nil {
		waiting.abandoned(host)
	}
}

// endWaiter stops the calls of a program that is over and has its cache
// released.
type endWaiter struct {
	programID string
	next      waiter
}

func (waiting endWaiter) applied(host *host, outcome shard.Outcome) {
	if outcome.Err == nil && !outcome.Duplicate {
		host.programOver(outcome)
	}
	waiting.next.applied(host, outcome)
}

func (waiting endWaiter) abandoned(host *host) { waiting.next.abandoned(host) }

func (host *host) programOver(outcome shard.Outcome) {
	for _, call := range outcome.Cancelled {
		host.stopCall(call)
	}
	for _, program := range outcome.Ended {
		delete(host.quietSince, program.ID())
		host.overSince[program.ID()] = host.core.now
		host.programGone(program)
	}
}

// stopCall answers the followers of a cancelled call and stops it where it runs.
func (host *host) stopCall(call *shard.Call) {
	live := host.calls[callID{program: call.Program().ID(), requestID: call.RequestID()}]
	if live == nil {
		return
	}
	switch live.phase {
	case phaseRunning, phaseIntending, phaseClosing:
		host.stopRun(live)
	case phaseOffered:
		host.cancelOffer(live)
	}
	live.buffer.Fail(call.Failure())
	delete(host.calls, live.id())
	host.rememberDecisions(live)
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
