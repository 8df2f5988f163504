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

// callRequested attaches the caller to a known call, or checks and proposes a new one. An error
// returned from here means that nothing was run or changed.
func (core *Core) callRequested(event CallRequested) {
	request := event.Request
	host := core.leadingHost(request.ProgramId)
	if host == nil {
		core.declineNotLeader(event.ReplyTo, request.ProgramId)
		return
	}
	program := host.state.Program(request.ProgramId)
	if program != nil {
		if program.Created().Tenant != request.Caller.GetTenant() {
			core.decline(event.ReplyTo, unknownProgram(request.ProgramId))
			return
		}
		if call := program.Call(request.RequestId); call != nil {
			core.joinCall(event.ReplyTo, host, call, request)
			return
		}
	}
	if failure := core.checkNewCall(program, request); failure != nil {
		core.decline(event.ReplyTo, failure)
		return
	}
	if host.backlogFull() {
		core.decline(event.ReplyTo, resultcode.New(resultcode.ArchiveBacklogFull,
			"the archive backlog is full").WithRetryAfter(archiveRetryAfter))
		return
	}
	if failure := core.checkTarget(program, request); failure != nil {
		host.declineCall(event.ReplyTo, request, failure)
		return
	}
	host.acceptCall(event.ReplyTo, request)
}

// joinCall attaches a repeated request to the original call.
func (core *Core) joinCall(replyTo ReplyID, host *host, call *shard.Call, request *schedulerv1.CallRequest) {
	if !request.AttachOnly && !call.HasDigest(request.Digest) {
		core.decline(replyTo, resultcode.New(resultcode.RequestIDReused,
			"request id %s was used with another body", request.RequestId))
		return
	}
	core.emit(Follow{ReplyTo: replyTo, Turn: call.Turn(), Buffer: host.bufferOf(call)})
}

func unknownProgram(programID string) *resultcode.Error {
	return resultcode.New(resultcode.UnknownProgram, "no program %s", programID)
}

// checkNewCall makes the checks whose failure is not recorded.
func (core *Core) checkNewCall(program *shard.Program, request *schedulerv1.CallRequest) *resultcode.Error {
	if request.AttachOnly {
		return resultcode.New(resultcode.UnknownRequest, "no call %s", request.RequestId)
	}
	if program == nil && !request.SingleCall {
		return unknownProgram(request.ProgramId)
	}
	if core.configuration == nil || !core.configurationCurrent {
		return resultcode.New(resultcode.ConfigurationStale,
			"the configuration may not be current").WithRetryAfter(staleRetryAfter)
	}
	if _, found := core.configuration.Tier(request.Caller.GetTenant(), request.Caller.GetTier()); !found {
		return resultcode.New(resultcode.BadKey, "no tier %s", request.Caller.GetTier())
	}
	return nil
}

// checkTarget checks that the service exists and that the program may call it.
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

// checkKind checks that the program's kind allows the service.
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

// acceptCall proposes the call, or parks it if the shard's escrow does not cover it yet.
func (host *host) acceptCall(replyTo ReplyID, request *schedulerv1.CallRequest) {
	tier, found := host.core.configuration.Tier(request.Caller.Tenant, request.Caller.Tier)
	if !found {
		host.core.decline(replyTo, resultcode.New(resultcode.BadKey, "no tier %s", request.Caller.Tier))
		return
	}
	accepted := acceptedCall(request, tier)
	worstCase := host.worstCase(request.ProgramId, accepted)
	if worstCase > tier.BudgetMicros {
		host.declineCall(replyTo, request, budgetExhausted(worstCase))
		return
	}
	if !host.coversCall(tierKey(tier), worstCase) {
		host.parkCall(parkedCall{replyTo: replyTo, request: request, worstCase: worstCase, since: host.core.now})
		return
	}
	if failure := host.proposeCall(replyTo, request, tier, accepted, worstCase); failure != nil {
		host.core.declineProposal(replyTo, host.number, failure)
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

// proposeCall proposes the call, preceded by its program if it is a single call without one.
func (host *host) proposeCall(replyTo ReplyID, request *schedulerv1.CallRequest, tier *operatorv1.Tier, accepted *shardv1.CallAccepted, worstCase uint64) *resultcode.Error {
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
	waiting := acceptWaiter{replyTo: replyTo, request: request, tier: tierKey(tier), worstCase: worstCase}
	entry := &shardv1.Entry{Change: &shardv1.Entry_CallAccepted{CallAccepted: accepted}}
	if failure := host.propose(entry, waiting); failure != nil {
		return failure
	}
	host.escrowDemand(waiting.tier).proposed += worstCase
	return nil
}

// acceptWaiter replies to the caller once the call is applied.
type acceptWaiter struct {
	replyTo   ReplyID
	request   *schedulerv1.CallRequest
	tier      shard.TierKey
	worstCase uint64
}

func (waiting acceptWaiter) applied(host *host, outcome shard.Outcome) {
	host.escrowDemand(waiting.tier).proposed -= waiting.worstCase
	if outcome.Err != nil {
		waiting.refused(host, outcome.Err)
		return
	}
	call := outcome.Call
	if outcome.Duplicate {
		host.core.emit(Follow{ReplyTo: waiting.replyTo, Turn: call.Turn(), Buffer: host.bufferOf(call)})
		return
	}
	host.core.counters.Accepted++
	live := host.track(call)
	if waiting.request.DeadlineMs > 0 {
		live.deadline = host.core.now + time.Duration(waiting.request.DeadlineMs)*time.Millisecond
	}
	delete(host.idleSince, call.Program().ID())
	live.recordDecision("accepted", "added to the program's call queue")
	host.core.emit(Follow{ReplyTo: waiting.replyTo, Turn: call.Turn(), Buffer: live.buffer})
	host.advance(call.Program())
	host.topUp(waiting.tier)
}

// refused parks a call that no longer fits into the shard's escrow, and declines all others.
func (waiting acceptWaiter) refused(host *host, failure *resultcode.Error) {
	if failure.Code != resultcode.BudgetExhausted {
		host.core.counters.Ended[failure.Code]++
		host.core.decline(waiting.replyTo, failure)
		host.stopIfExhausted(waiting.request, failure)
		return
	}
	host.parkCall(parkedCall{
		replyTo: waiting.replyTo, request: waiting.request, worstCase: waiting.worstCase, since: host.core.now,
	})
}

// stopIfExhausted stops a program that has used all its turns, or whose cap does not cover one
// more token, so that it does not keep cache allocated.
func (host *host) stopIfExhausted(request *schedulerv1.CallRequest, failure *resultcode.Error) {
	program := host.state.Program(request.ProgramId)
	tier, found := host.core.configuration.Tier(request.Caller.Tenant, request.Caller.Tier)
	if program == nil || program.IsFinal() || program.OpenCalls() > 0 || !found {
		return
	}
	smallest := acceptedCall(request, tier)
	smallest.MaxTokens = 1
	capSpent := failure.Code == resultcode.ProgramCapReached && !host.state.Covers(program, program.WorstCaseCost(smallest))
	if !capSpent && failure.Code != resultcode.TurnLimitReached {
		return
	}
	ended := &shardv1.ProgramEnded{ProgramId: request.ProgramId, Stopped: true, Reason: failure.Message}
	host.proposeEnd(ended, ignoredWaiter{})
}

// abandoned ends the caller's stream without an answer, so that the caller retries at the next
// leader: the call may or may not be committed.
func (waiting acceptWaiter) abandoned(host *host) {
	host.core.emit(Follow{ReplyTo: waiting.replyTo, Buffer: abandonedBuffer()})
}

// ignoredWaiter ignores the outcome.
type ignoredWaiter struct{}

func (ignoredWaiter) applied(*host, shard.Outcome) {}
func (ignoredWaiter) abandoned(*host)              {}

// declineCall commits the refusal before replying. Another copy of the request may reach a
// different leader, or arrive late, and must not run after the caller was told that the call did
// not run.
func (host *host) declineCall(replyTo ReplyID, request *schedulerv1.CallRequest, failure *resultcode.Error) {
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
	if failure := host.propose(entry, declineWaiter{replyTo: replyTo}); failure != nil {
		host.core.declineProposal(replyTo, host.number, failure)
	}
}

// declineSingleCall creates the program that records a single call's refusal.
func (host *host) declineSingleCall(request *schedulerv1.CallRequest) {
	host.propose(&shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: &shardv1.ProgramCreated{
		ProgramId:  request.ProgramId,
		Tenant:     request.Caller.Tenant,
		Tier:       request.Caller.Tier,
		SingleCall: true,
	}}}, ignoredWaiter{})
}

// declineWaiter replies to a declined call, or attaches the caller to the call if an earlier
// entry has accepted it.
type declineWaiter struct{ replyTo ReplyID }

func (waiting declineWaiter) applied(host *host, outcome shard.Outcome) {
	if outcome.Err != nil {
		host.core.decline(waiting.replyTo, outcome.Err)
		return
	}
	if !outcome.Duplicate {
		host.core.counters.Ended[outcome.Call.Failure().Code]++
	}
	host.core.emit(Follow{ReplyTo: waiting.replyTo, Turn: outcome.Call.Turn(), Buffer: host.bufferOf(outcome.Call)})
	program := outcome.Program
	if program.Created().SingleCall && program.OpenCalls() == 0 && !program.IsFinal() {
		host.proposeEnd(&shardv1.ProgramEnded{ProgramId: program.ID()}, ignoredWaiter{})
	}
}

func (waiting declineWaiter) abandoned(host *host) {
	host.core.emit(Follow{ReplyTo: waiting.replyTo, Buffer: abandonedBuffer()})
}

func (core *Core) decline(replyTo ReplyID, failure *resultcode.Error) {
	core.emit(Decline{ReplyTo: replyTo, Error: wireError(failure)})
}

// declineNotLeader redirects the caller to the leader, if it is known.
func (core *Core) declineNotLeader(replyTo ReplyID, programID string) {
	core.emit(Decline{ReplyTo: replyTo, Error: core.notLeader(core.shardOf(programID))})
}

func (core *Core) declineProposal(replyTo ReplyID, shardNumber uint32, failure *resultcode.Error) {
	if failure.Code == resultcode.NotLeader {
		core.emit(Decline{ReplyTo: replyTo, Error: core.notLeader(shardNumber)})
		return
	}
	core.decline(replyTo, failure)
}

// notLeader returns the NotLeader error, with the leader's address if it is known.
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
