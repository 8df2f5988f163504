package scheduler

import (
	"strconv"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
)

// Messages from a shard's leader to the keeper of a pool. Offers are repeated until they are
// answered and held grants are reported at intervals, so that all other messages may be lost.

// offer offers the call to the keeper of one of the model's pools.
func (host *host) offer(live *liveCall) {
	accepted := live.call.Accepted()
	if failure := host.core.checkAdapter(accepted.Target, accepted.Adapter); failure != nil {
		// The configuration has removed the adapter while the call was queued.
		host.cancelOffer(live)
		host.refuse(live, failure)
		return
	}
	pools := host.core.poolsFor(live.call.Accepted().Target, live.id().program)
	if len(pools) == 0 {
		host.refuse(live, resultcode.New(resultcode.NoBackEnd,
			"no engine serves %s", live.call.Accepted().Target).WithRetryAfter(noBackEndRetryAfter))
		return
	}
	if live.deadline > 0 && host.core.now >= live.deadline {
		host.refuse(live, resultcode.New(resultcode.DeadlineNotRun, "the deadline passed while the call was queued"))
		return
	}
	live.pool = pools[live.poolsTried%len(pools)]
	host.core.scheduleGrantReports(live.pool)
	live.phase = phaseOffered
	live.offeredAt = host.core.now
	host.core.requestKeeper(live.pool, host.number, &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_Offer{Offer: host.offerOf(live)},
	})
}

func (host *host) offerOf(live *liveCall) *schedulerv1.CallOffer {
	core := host.core
	accepted := live.call.Accepted()
	program := live.call.Program()
	created := program.Created()
	offer := &schedulerv1.CallOffer{
		Call:            live.wireKey(),
		Tenant:          created.Tenant,
		Tier:            created.Tier,
		Kind:            created.Kind,
		ParentId:        created.ParentId,
		Weight:          1,
		Model:           accepted.Target,
		Adapter:         accepted.Adapter,
		Zone:            core.config.Zone,
		PromptTokens:    live.call.PromptTokens(),
		MaxTokens:       accepted.MaxTokens,
		AttainedService: program.AttainedService(),
		WaitBoundMs:     millisecondsOf(core.config.DefaultWaitBound),
		Repeatable:      accepted.Repeatable,
	}
	if live.deadline > 0 {
		offer.DeadlineMs = max(1, millisecondsOf(live.deadline-core.now))
	}
	if core.configuration == nil {
		return offer
	}
	tier, found := core.configuration.Tier(created.Tenant, created.Tier)
	if !found {
		return offer
	}
	offer.Weight = tier.Weight
	if tier.QueueWaitBoundMs > 0 {
		offer.WaitBoundMs = tier.QueueWaitBoundMs
	}
	return offer
}

// retryOffers repeats unanswered offers: the offer, the answer or the keeper may be lost.
func (host *host) retryOffers() {
	for _, live := range host.sortedCalls() {
		if host.core.stopping {
			break
		}
		if live.phase == phaseOffered && host.core.now-live.offeredAt >= host.core.config.OfferRetry {
			host.offer(live)
		}
	}
	host.retryEntries()
}

// requestKeeper routes a request to the leader of the pool's shard.
func (core *Core) requestKeeper(poolName string, shardNumber uint32, request *schedulerv1.KeeperRequest) {
	request.Pool = poolName
	request.Leader = core.config.Process
	request.Shard = shardNumber
	keeperShard := core.shardOfPool(poolName)
	if host := core.hosts[keeperShard]; host != nil && host.leads() {
		core.keeperRequested(request)
		return
	}
	process := core.leaderProcess(keeperShard)
	if process == "" {
		return
	}
	batch := core.keeperBatch(process, request)
	batch.KeeperRequests = append(batch.KeeperRequests, request)
}

// keeperBatch returns the batch for a request. Notifications without an answer are sent with
// other messages.
func (core *Core) keeperBatch(process string, request *schedulerv1.KeeperRequest) *schedulerv1.PeerBatch {
	switch request.Request.(type) {
	case *schedulerv1.KeeperRequest_FirstToken,
		*schedulerv1.KeeperRequest_Pause,
		*schedulerv1.KeeperRequest_Gone:
		return core.pendingBatch(process)
	}
	return core.batchTo(process)
}

// keeperReplied handles a keeper's reply.
func (core *Core) keeperReplied(reply *schedulerv1.KeeperReply) {
	switch answer := reply.Reply.(type) {
	case *schedulerv1.KeeperReply_Grant:
		core.granted(reply, answer.Grant)
	case *schedulerv1.KeeperReply_Refusal:
		core.offerRefused(reply, answer.Refusal)
	case *schedulerv1.KeeperReply_Preemption:
		core.preempted(reply, answer.Preemption)
	case *schedulerv1.KeeperReply_ListsWanted:
		core.listsWanted(reply.Pool, reply.Shard, answer.ListsWanted)
	case *schedulerv1.KeeperReply_NotKeeper:
		core.directory.leaders[core.shardOfPool(reply.Pool)] = answer.NotKeeper.Leader
	}
}

// offeredCall returns the call that a keeper's reply refers to, or nil if its attempt or phase
// has changed.
func (core *Core) offeredCall(shardNumber uint32, key *schedulerv1.CallKey, phase callPhase) *liveCall {
	host := core.hosts[shardNumber]
	if host == nil || !host.serving {
		return nil
	}
	live := host.calls[callID{program: key.ProgramId, requestID: key.RequestId}]
	if live == nil || live.call.Attempt() != key.Attempt || live.phase != phase {
		return nil
	}
	return live
}

// granted proposes the intent of a granted call, or returns a grant that is not needed.
func (core *Core) granted(reply *schedulerv1.KeeperReply, grant *schedulerv1.CallGrant) {
	live := core.offeredCall(reply.Shard, grant.Call, phaseOffered)
	if live == nil {
		core.returnUnneededGrant(reply, grant)
		return
	}
	if core.stopping {
		// The next leader offers the call again.
		core.returnGrant(reply, grant)
		return
	}
	live.grant = grant
	live.recordDecision("granted", "engine "+grant.Engine+": "+grant.Why)
	live.host.proposeIntent(live, &shardv1.CallIntended{
		BackEnd:     grant.Engine,
		Address:     grant.Address,
		FenceHolder: grant.FenceHolder,
		FenceEpoch:  grant.FenceEpoch,
	})
}

// returnUnneededGrant returns the slot of a call that has ended or moved on to another attempt. A
// duplicate grant of the current attempt is ignored.
func (core *Core) returnUnneededGrant(reply *schedulerv1.KeeperReply, grant *schedulerv1.CallGrant) {
	host := core.hosts[reply.Shard]
	if host == nil || !host.serving {
		return
	}
	live := host.calls[callID{program: grant.Call.ProgramId, requestID: grant.Call.RequestId}]
	if live != nil && live.call.Attempt() == grant.Call.Attempt {
		return
	}
	core.returnGrant(reply, grant)
}

// returnGrant returns a slot that was not used.
func (core *Core) returnGrant(reply *schedulerv1.KeeperReply, grant *schedulerv1.CallGrant) {
	core.requestKeeper(reply.Pool, reply.Shard, &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_Return{Return: &schedulerv1.CallReturn{Call: grant.Call}},
	})
}

func (core *Core) offerRefused(reply *schedulerv1.KeeperReply, refusal *schedulerv1.CallRefusal) {
	live := core.offeredCall(reply.Shard, refusal.Call, phaseOffered)
	if live == nil {
		return
	}
	if live.host.tryNextPool(live, resultcode.Code(refusal.Code)) {
		return
	}
	failure := resultcode.New(resultcode.Code(refusal.Code), "%s", refusal.Why)
	live.host.refuse(live, failure.WithRetryAfter(time.Duration(refusal.RetryAfterMs)*time.Millisecond))
}

// tryNextPool offers a call to the model's next pool if the current one is full.
func (host *host) tryNextPool(live *liveCall, code resultcode.Code) bool {
	full := code == resultcode.Overloaded || code == resultcode.NoBackEnd
	pools := host.core.poolsFor(live.call.Accepted().Target, live.id().program)
	if !full || live.poolsTried+1 >= len(pools) {
		return false
	}
	live.poolsTried++
	live.recordDecision("offered elsewhere", "pool "+live.pool+": "+code.String())
	host.offer(live)
	return true
}

// preempted cancels a running repeatable call, which is then requeued.
func (core *Core) preempted(reply *schedulerv1.KeeperReply, preemption *schedulerv1.CallPreemption) {
	live := core.offeredCall(reply.Shard, preemption.Call, phaseRunning)
	if live == nil || !live.call.Accepted().Repeatable {
		return
	}
	host := live.host
	core.emit(StopRun{Run: live.run(), AtBackEnd: true, Address: live.call.Intent().Address, Fence: live.fence()})
	host.runEnded(live, RunEnded{Run: live.run(), End: RunLost, Detail: "preempted: " + preemption.Why})
}

// returnSlot returns a run's slot to the keeper.
func (host *host) returnSlot(live *liveCall, event RunEnded) {
	if live.pool == "" {
		return
	}
	live.grant = nil
	host.core.requestKeeper(live.pool, host.number, &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_Return{Return: &schedulerv1.CallReturn{
			Call:         live.wireKey(),
			PromptTokens: event.PromptTokens,
			CachedTokens: event.CachedTokens,
			OutputTokens: event.OutputTokens,
			Failed:       event.End != RunCompleted,
		}},
	})
}

// cancelOffer withdraws a call from the keeper's queue.
func (host *host) cancelOffer(live *liveCall) {
	if live.pool == "" {
		return
	}
	host.core.requestKeeper(live.pool, host.number, &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_Cancel{Cancel: live.wireKey()},
	})
}

// pauseProgram notifies the keeper that the program has no open call.
func (host *host) pauseProgram(program *shard.Program, poolName string) {
	if poolName == "" {
		return
	}
	host.core.requestKeeper(poolName, host.number, &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_Pause{Pause: &schedulerv1.ProgramPause{ProgramId: program.ID()}},
	})
}

// releaseProgramCache notifies the keepers of all pools that the program may have used that it
// has ended, so that they release its cache.
func (host *host) releaseProgramCache(program *shard.Program) {
	for _, poolName := range host.core.poolsUsed(program) {
		host.core.requestKeeper(poolName, host.number, &schedulerv1.KeeperRequest{
			Request: &schedulerv1.KeeperRequest_Gone{Gone: &schedulerv1.ProgramGone{ProgramId: program.ID()}},
		})
	}
}

func attemptSuffix(attempt uint32) string {
	return "#" + strconv.FormatUint(uint64(attempt), 10)
}
