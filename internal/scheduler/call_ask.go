package scheduler

import (
	"time"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
)

const staleRetryAfter = time.Second

// callAsked joins a known call, or checks a new one and offers it to the group.
// Every answer given here says that nothing was run or changed.
func (core *Core) callAsked(event CallAsked) {
	request := event.Request
	host := core.leadingHost(request.ProgramId)
	if host == nil {
		core.declineNotLeader(event.Ask, request.ProgramId)
		return
	}
	program := host.state.Program(request.ProgramId)
	if program != nil {
		if program.Created().Tenant != request.Caller.GetTenant() {
			core.decline(event.Ask, unknownProgram(request.ProgramId))
			return
		}
		if call := program.Call(request.RequestId); call != nil {
			core.joinCall(event.Ask, host, call, request)
			return
		}
	}
	if failure := core.checkNewCall(program, request); failure != nil {
		core.decline(event.Ask, failure)
		return
	}
	if host.backlogFull() {
		core.decline(event.Ask, resultcode.New(resultcode.ArchiveBacklogFull,
			"the log has been away for too long").After(archiveRetryAfter))
		return
	}
	if failure := core.checkTarget(program, request); failure != nil {
		host.declineCall(event.Ask, request, failure)
		return
	}
	host.acceptCall(event.Ask, request)
}

// joinCall lets a repeated request follow the call it repeats.
func (core *Core) joinCall(ask AskID, host *host, call *shard.Call, request *schedulerv1.CallRequest) {
	if !request.AttachOnly && !call.SameBody(request.Digest) {
		core.decline(ask, resultcode.New(resultcode.RequestIDReused,
			"request id %s was used with another body", request.RequestId))
		return
	}
	core.emit(Follow{Ask: ask, Turn: call.Turn(), Buffer: host.bufferOf(call)})
}

func unknownProgram(programID string) *resultcode.Error {
	return resultcode.New(resultcode.UnknownProgram, "no program %s", programID)
}

// checkNewCall refuses what can be refused before anything is proposed.
func (core *Core) checkNewCall(program *shard.Program, request *schedulerv1.CallRequest) *resultcode.Error {
	if request.AttachOnly {
		return resultcode.New(resultcode.UnknownRequest, "no call %s", request.RequestId)
	}
	if program == nil && !request.SingleCall {
		return unknownProgram(request.ProgramId)
	}
	if core.configuration == nil || !core.fresh {
		return resultcode.New(resultcode.ConfigurationStale,
			"the configuration may not be current").After(staleRetryAfter)
	}
	if _, found := core.configuration.Tier(request.Caller.GetTenant(), request.Caller.GetTier()); !found {
		return resultcode.New(resultcode.BadKey, "no tier %s", request.Caller.GetTier())
	}
	return nil
}

// checkTarget holds a call to the services that exist and that its program may
// call.
func (core *Core) checkTarget(program *shard.Program, request *schedulerv1.CallRequest) *resultcode.Error {
	service, found := core.configuration.Service(request.Target)
	if !found || service.Kind != serviceKind(request.Kind) {
		return resultcode.New(resultcode.UnknownTarget, "no service %s of this kind", request.Target)
	}
	if failure := core.checkAdapter(request.Target, request.Adapter); failure != nil {
		return failure
	}
	return core.checkKind(program, request.Target)
}

func serviceKind(kind schedulerv1.CallKind) operatorv1.ServiceKind {
	if kind == schedulerv1.CallKind_CALL_KIND_TOOL {
		return operatorv1.ServiceKind_SERVICE_KIND_TOOL
	}
	return operatorv1.ServiceKind_SERVICE_KIND_MODEL
}

// checkKind holds a program to the services that its kind may call.
func (core *Core) checkKind(program *shard.Program, target string) *resultcode.Error {
	if program == nil || program.Created().Kind == "" {
		return nil
	}
	kind, found := core.configuration.Kind(program.Created().Kind)
	if !found {
		return resultcode.New(resultcode.KindNotAllowed, "no program kind %s", program.Created().Kind)
	}
	for _, service := range kind.Services {
		if service == target {
			return nil
		}
	}
	return resultcode.New(resultcode.KindNotAllowed, "kind %s may not call %s", kind.Name, target)
}

// acceptCall proposes the call, once the shard's escrow of the tier covers it.
func (host *host) acceptCall(ask AskID, request *schedulerv1.CallRequest) {
	tier, found := host.core.configuration.Tier(request.Caller.Tenant, request.Caller.Tier)
	if !found {
		host.core.decline(ask, resultcode.New(resultcode.BadKey, "no tier %s", request.Caller.Tier))
		return
	}
	accepted := acceptedCall(request, tier)
	worstCase := host.worstCase(request.ProgramId, accepted)
	if worstCase > tier.BudgetMicros {
		host.declineCall(ask, request, budgetExhausted(worstCase))
		return
	}
	if !host.coversCall(tierKey(tier), worstCase) {
		host.parkCall(parkedCall{ask: ask, request: request, worstCase: worstCase, since: host.core.now})
		return
	}
	if failure := host.proposeCall(ask, request, tier, accepted, worstCase); failure != nil {
		host.core.declineProposal(ask, host.number, failure)
	}
}

func acceptedCall(request *schedulerv1.CallRequest, tier *operatorv1.Tier) *shardv1.CallAccepted {
	return &shardv1.CallAccepted{
		ProgramId:         request.ProgramId,
		RequestId:         request.RequestId,
		Digest:            request.Digest,
		Kind:              request.Kind,
		Target:            request.Target,
		Adapter:           request.Adapter,
		Messages:          request.Messages,
		MaxTokens:         request.MaxTokens,
		Repeatable:        request.Repeatable,
		PromptPriceMicros: tier.PromptPriceMicros,
		OutputPriceMicros: tier.OutputPriceMicros,
	}
}

// proposeCall proposes the call, and before it the program where the call makes
// one of its own.
func (host *host) proposeCall(ask AskID, request *schedulerv1.CallRequest, tier *operatorv1.Tier, accepted *shardv1.CallAccepted, worstCase uint64) *resultcode.Error {
	if request.SingleCall && host.state.Program(request.ProgramId) == nil {
		entry := &shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: &shardv1.ProgramCreated{
			ProgramId:  request.ProgramId,
			Tenant:     tier.Tenant,
			Tier:       tier.Name,
			CapMicros:  tier.ProgramCapMicros,
			SingleCall: true,
		}}}
		if failure := host.propose(entry, ignoredWaiter{}); failure != nil {
			return failure
		}
	}
	waiting := acceptWaiter{ask: ask, request: request, tier: tierKey(tier), worstCase: worstCase}
	entry := &shardv1.Entry{Change: &shardv1.Entry_CallAccepted{CallAccepted: accepted}}
	if failure := host.propose(entry, waiting); failure != nil {
		return failure
	}
	host.need(waiting.tier).proposed += worstCase
	return nil
}

// acceptWaiter answers the caller once the call has its place in the order.
type acceptWaiter struct {
	ask       AskID
	request   *schedulerv1.CallRequest
	tier      shard.TierKey
	worstCase uint64
}

func (waiting acceptWaiter) applied(host *host, outcome shard.Outcome) {
	host.need(waiting.tier).proposed -= waiting.worstCase
	if outcome.Err != nil {
		waiting.refused(host, outcome.Err)
		return
	}
	call := outcome.Call
	if outcome.Duplicate {
		host.core.emit(Follow{Ask: waiting.ask, Turn: call.Turn(), Buffer: host.bufferOf(call)})
		return
	}
	host.core.counters.Accepted++
	live := host.track(call)
	if waiting.request.DeadlineMs > 0 {
		live.deadline = host.core.now + time.Duration(waiting.request.DeadlineMs)*time.Millisecond
	}
	delete(host.quietSince, call.Program().ID())
	live.decide("accepted", "it has its place in the program's order")
	host.core.emit(Follow{Ask: waiting.ask, Turn: call.Turn(), Buffer: live.buffer})
	host.advance(call.Program())
	host.topUp(waiting.tier)
}

// refused parks a call that lost a race for the shard's escrow, and declines
// any other.
func (waiting acceptWaiter) refused(host *host, failure *resultcode.Error) {
	if failure.Code != resultcode.BudgetExhausted {
		host.core.counters.Ended[failure.Code]++
		host.core.decline(waiting.ask, failure)
		host.stopIfSpent(waiting.request, failure)
		return
	}
	host.parkCall(parkedCall{
		ask: waiting.ask, request: waiting.request, worstCase: waiting.worstCase, since: host.core.now,
	})
}

// stopIfSpent stops a program that has taken all its turns, or whose cap does not
// cover even one token more: what is left of a loop without end would hold cache
// for nothing.
func (host *host) stopIfSpent(request *schedulerv1.CallRequest, failure *resultcode.Error) {
	program := host.state.Program(request.ProgramId)
	tier, found := host.core.configuration.Tier(request.Caller.Tenant, request.Caller.Tier)
	if program == nil || program.Over() || program.OpenCalls() > 0 || !found {
		return
	}
	smallest := acceptedCall(request, tier)
	smallest.MaxTokens = 1
	capSpent := failure.Code == resultcode.ProgramCapReached && !host.state.Covers(program, program.WorstCase(smallest))
	if !capSpent && failure.Code != resultcode.TurnLimitReached {
		return
	}
	ended := &shardv1.ProgramEnded{ProgramId: request.ProgramId, Stopped: true, Reason: failure.Message}
	host.proposeEnd(ended, ignoredWaiter{})
}

// abandoned lets the caller ask the next leader: the acceptance may stand.
func (waiting acceptWaiter) abandoned(host *host) {
	host.core.emit(Follow{Ask: waiting.ask, Buffer: droppedBuffer()})
}

// ignoredWaiter is for entries whose outcome nobody waits for.
type ignoredWaiter struct{}

func (ignoredWaiter) applied(*host, shard.Outcome) {}
func (ignoredWaiter) abandoned(*host)              {}

// declineCall refuses a call for good. The refusal is committed before it is
// answered: the same request may have reached another leader before, or may
// come late, and must not run once its caller was told that it did not.
func (host *host) declineCall(ask AskID, request *schedulerv1.CallRequest, failure *resultcode.Error) {
	if request.SingleCall {
		host.declineSingleCall(request)
	}
	entry := &shardv1.Entry{Change: &shardv1.Entry_CallDeclined{CallDeclined: &shardv1.CallDeclined{
		ProgramId:    request.ProgramId,
		RequestId:    request.RequestId,
		Digest:       request.Digest,
		Code:         uint32(failure.Code),
		Message:      failure.Message,
		RetryAfterMs: millisecondsOf(failure.RetryAfter),
	}}}
	if failure := host.propose(entry, declineWaiter{ask: ask}); failure != nil {
		host.core.declineProposal(ask, host.number, failure)
	}
}

// declineSingleCall makes the program that remembers a single call's refusal.
func (host *host) declineSingleCall(request *schedulerv1.CallRequest) {
	host.propose(&shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: &shardv1.ProgramCreated{
		ProgramId:  request.ProgramId,
		Tenant:     request.Caller.Tenant,
		Tier:       request.Caller.Tier,
		SingleCall: true,
	}}}, ignoredWaiter{})
}

// declineWaiter answers a refused call, or lets its caller follow the call that
// an earlier entry has accepted.
type declineWaiter struct{ ask AskID }

func (waiting declineWaiter) applied(host *host, outcome shard.Outcome) {
	if outcome.Err != nil {
		host.core.decline(waiting.ask, outcome.Err)
		return
	}
	if !outcome.Duplicate {
		host.core.counters.Ended[outcome.Call.Failure().Code]++
	}
	host.core.emit(Follow{Ask: waiting.ask, Turn: outcome.Call.Turn(), Buffer: host.bufferOf(outcome.Call)})
	program := outcome.Program
	if program.Created().SingleCall && program.OpenCalls() == 0 && !program.Over() {
		host.proposeEnd(&shardv1.ProgramEnded{ProgramId: program.ID()}, ignoredWaiter{})
	}
}

func (waiting declineWaiter) abandoned(host *host) {
	host.core.emit(Follow{Ask: waiting.ask, Buffer: droppedBuffer()})
}

func (core *Core) decline(ask AskID, failure *resultcode.Error) {
	core.emit(Decline{Ask: ask, Error: wireError(failure)})
}

// declineNotLeader sends the asker on to the leader, where that is known.
func (core *Core) declineNotLeader(ask AskID, programID string) {
	core.emit(Decline{Ask: ask, Error: core.notLeader(core.shardOf(programID))})
}

func (core *Core) declineProposal(ask AskID, shardNumber uint32, failure *resultcode.Error) {
	if failure.Code == resultcode.NotLeader {
		core.emit(Decline{Ask: ask, Error: core.notLeader(shardNumber)})
		return
	}
	core.decline(ask, failure)
}

// notLeader is the answer of a process that does not lead the shard now.
func (core *Core) notLeader(shardNumber uint32) *schedulerv1.Error {
	leader := core.directory.leaders[shardNumber]
	answer := &schedulerv1.Error{
		Code:         uint32(resultcode.NotLeader),
		Message:      "this process does not lead the shard",
		RetryAfterMs: millisecondsOf(leaderRetryAfter),
	}
	if leader != core.config.Process {
		answer.LeaderAddress = core.directory.address(leader)
	}
	return answer
}
