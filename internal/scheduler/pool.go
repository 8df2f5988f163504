package scheduler

import (
	"fmt"
	"slices"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/outside"
)

// pool is an engine pool that is managed by this process because it leads the pool's shard. The
// shard's epoch fences all commands to the engines, so that they reject a replaced keeper; see
// pool_fence.go.
type pool struct {
	core    *Core
	name    string
	shard   uint32
	keeper  *keeper.Keeper
	engines map[string]outside.Machine
	drained map[string]bool
	fences  map[string]*engineFence
	// policies holds the policy names that the keeper was built with.
	policies policyNames
	lists    poolLists
}

type policyNames struct {
	queue, placement, cache string
	affinityPercent         uint32
}

// updatePools adds and removes pools to match the shards led by this process.
func (core *Core) updatePools() {
	managed := make(map[string]bool)
	for _, name := range sortedKeys(core.layout.engines) {
		engines := core.layout.engines[name]
		host := core.hosts[core.shardOfPool(name)]
		if host == nil || !host.serving {
			continue
		}
		managed[name] = true
		core.updatePool(name, host.number, engines)
	}
	for _, name := range core.poolNames() {
		if !managed[name] {
			delete(core.pools, name)
			core.log("pool_dropped", core.shardOfPool(name), "", "", name)
		}
	}
	core.updatePolling()
}

func (core *Core) updatePool(name string, shardNumber uint32, engines []outside.Machine) {
	managed := core.pools[name]
	if managed == nil {
		managed = core.newPool(name, shardNumber)
		core.pools[name] = managed
		core.log("pool_kept", shardNumber, "", "", name)
		managed.requestAllLists()
	}
	managed.updateEngines(engines)
}

func (core *Core) newPool(name string, shardNumber uint32) *pool {
	created := &pool{
		core:    core,
		name:    name,
		shard:   shardNumber,
		engines: make(map[string]outside.Machine),
		drained: make(map[string]bool),
		fences:  make(map[string]*engineFence),
		lists:   newPoolLists(),
	}
	created.buildKeeper()
	return created
}

// buildKeeper builds a keeper with the configured policies. It learns the state of its
// predecessor from the leaders' repeated offers and grant lists.
func (pool *pool) buildKeeper() {
	pool.policies = pool.core.policyNames()
	names := pool.policies
	policies, err := keeper.PoliciesByName(names.queue, names.placement, names.cache, names.affinityPercent)
	if err != nil {
		pool.core.log("policy_unknown", pool.shard, "", "", err.Error())
		policies, _ = keeper.PoliciesByName("", "", "", 0)
	}
	config := keeper.DefaultConfig()
	config.ShardOf = pool.core.shardOf
	pool.keeper = keeper.New(config, policies)
}

func (core *Core) policyNames() policyNames {
	if core.configuration == nil {
		return policyNames{}
	}
	policy := core.configuration.Policy()
	return policyNames{
		queue:           policy.GetQueue(),
		placement:       policy.GetPlacement(),
		cache:           policy.GetCache(),
		affinityPercent: policy.GetAffinityPercent(),
	}
}

// configurationChanged applies changed policies and drains.
func (pool *pool) configurationChanged() {
	if pool.policies != pool.core.policyNames() {
		pool.buildKeeper()
		pool.requestAllLists()
	}
	pool.updateEngines(pool.machines())
}

func (pool *pool) machines() []outside.Machine {
	return sorted(pool.engines)
}

// updateEngines applies the machine list to the pool's engines. A leaving or drained engine gets
// no new work.
func (pool *pool) updateEngines(engines []outside.Machine) {
	listed := make(map[string]outside.Machine, len(engines))
	for _, engine := range engines {
		listed[engine.ID] = engine
		pool.updateDrain(engine)
	}
	for _, name := range sortedKeys(pool.engines) {
		if _, found := listed[name]; !found {
			pool.step(keeper.EngineLost{Engine: name})
			delete(pool.drained, name)
			delete(pool.fences, name)
		}
	}
	pool.engines = listed
	for _, engine := range engines {
		if pool.fences[engine.ID] == nil {
			pool.announceFence(engine)
		}
	}
}

func (pool *pool) updateDrain(engine outside.Machine) {
	configuration := pool.core.configuration
	drained := engine.State == outside.MachineLeaving ||
		configuration != nil && configuration.Drained(engine.ID)
	if drained == pool.drained[engine.ID] {
		return
	}
	pool.drained[engine.ID] = drained
	if drained {
		pool.step(keeper.EngineDraining{Engine: engine.ID})
		return
	}
	pool.step(keeper.EngineResumed{Engine: engine.ID})
}

// updatePolling updates the set of polled engines.
func (core *Core) updatePolling() {
	var engines []EngineAddress
	for _, name := range core.poolNames() {
		for _, machine := range core.pools[name].machines() {
			engines = append(engines, EngineAddress{Engine: machine.ID, Address: machine.Address})
		}
	}
	if slices.Equal(engines, core.polledEngines) {
		return
	}
	core.polledEngines = engines
	core.emit(PollEngines{Engines: slices.Clone(engines)})
}

func (core *Core) poolNames() []string { return sortedKeys(core.pools) }

func (pool *pool) tick() { pool.step(keeper.Tick{}) }

// step passes an event to the keeper and executes its effects, unless the shard's lease is not
// held.
func (pool *pool) step(event keeper.Event) {
	effects := slices.Clone(pool.keeper.Step(pool.core.now, event))
	if !pool.leads() {
		return
	}
	for _, effect := range effects {
		pool.execute(effect)
	}
}

func (pool *pool) execute(effect keeper.Effect) {
	switch effect := effect.(type) {
	case keeper.Grant:
		pool.reply(effect.Request, pool.grantOf(effect))
	case keeper.Refuse:
		pool.core.log("offer_refused", effect.Request.Shard, effect.Request.Call.Program, effect.Request.Call.RequestID,
			fmt.Sprintf("pool=%s code=%s retry_after=%s why=%q %s", pool.name, effect.Code, effect.RetryAfter, effect.Why, effect.Context))
		pool.reply(effect.Request, refusalOf(effect))
	case keeper.Preempt:
		pool.reply(effect.Request, preemptionOf(effect))
	case keeper.ReleaseCache:
		pool.issueRelease(effect)
	case keeper.CheckEngine:
		pool.core.emit(PollEngineNow{Engine: EngineAddress{
			Engine:  effect.Engine,
			Address: pool.engines[effect.Engine].Address,
		}})
	case keeper.LoadAdapter:
		pool.issueLoad(effect)
	case keeper.SetRole:
		pool.issueRoleChange(effect)
	case keeper.ExportCache, keeper.ImportCache:
		pool.core.log("cache_move_unsupported", pool.shard, "", "", pool.name)
	}
}

func (pool *pool) issueRelease(effect keeper.ReleaseCache) {
	engine, found := pool.engines[effect.Engine]
	if !found {
		return
	}
	pool.core.emit(ReleaseCache{Address: engine.Address, Program: effect.Program, Fence: pool.fenceOf(effect.Engine)})
}

func (pool *pool) grantOf(grant keeper.Grant) *schedulerv1.KeeperReply {
	fence := pool.fenceOf(grant.Engine)
	return &schedulerv1.KeeperReply{Reply: &schedulerv1.KeeperReply_Grant{Grant: &schedulerv1.CallGrant{
		Call:        wireCallKey(grant.Request.Call),
		Engine:      grant.Engine,
		Address:     pool.engines[grant.Engine].Address,
		Priority:    int32(grant.Priority),
		FenceHolder: fence.Holder,
		FenceEpoch:  fence.Epoch,
		Why:         grant.Why,
	}}}
}

func refusalOf(refusal keeper.Refuse) *schedulerv1.KeeperReply {
	return &schedulerv1.KeeperReply{Reply: &schedulerv1.KeeperReply_Refusal{Refusal: &schedulerv1.CallRefusal{
		Call:         wireCallKey(refusal.Request.Call),
		Code:         uint32(refusal.Code),
		RetryAfterMs: millisecondsOf(refusal.RetryAfter),
		Why:          refusal.Why,
	}}}
}

func preemptionOf(preemption keeper.Preempt) *schedulerv1.KeeperReply {
	return &schedulerv1.KeeperReply{Reply: &schedulerv1.KeeperReply_Preemption{Preemption: &schedulerv1.CallPreemption{
		Call: wireCallKey(preemption.Request.Call),
		Why:  preemption.Why,
	}}}
}

// reply sends a keeper's reply to the leader that made the request.
func (pool *pool) reply(request keeper.Request, reply *schedulerv1.KeeperReply) {
	reply.Pool = pool.name
	reply.Shard = request.Shard
	if request.Leader == pool.core.config.Process {
		pool.core.keeperReplied(reply)
		return
	}
	batch := pool.core.batchTo(request.Leader)
	batch.KeeperReplies = append(batch.KeeperReplies, reply)
}

// keeperRequested handles a request from a shard's leader.
func (core *Core) keeperRequested(request *schedulerv1.KeeperRequest) {
	managed := core.pools[request.Pool]
	if managed == nil {
		core.replyNotKeeper(request)
		return
	}
	switch message := request.Request.(type) {
	case *schedulerv1.KeeperRequest_Offer:
		managed.step(keeper.CallQueued{Request: core.keeperRequest(request, message.Offer)})
	case *schedulerv1.KeeperRequest_Cancel:
		managed.step(keeper.CallCancelled{Call: callKey(message.Cancel)})
	case *schedulerv1.KeeperRequest_Return:
		managed.step(returnedCall(message.Return))
	case *schedulerv1.KeeperRequest_FirstToken:
		managed.step(keeper.FirstToken{Call: callKey(message.FirstToken)})
	case *schedulerv1.KeeperRequest_Pause:
		managed.step(keeper.ProgramPaused{
			Program:       message.Pause.ProgramId,
			ExpectedPause: time.Duration(message.Pause.ExpectedPauseMs) * time.Millisecond,
		})
	case *schedulerv1.KeeperRequest_Gone:
		managed.step(keeper.ProgramEnded{Program: message.Gone.ProgramId})
	case *schedulerv1.KeeperRequest_Held:
		managed.grantsHeld(request, message.Held)
	case *schedulerv1.KeeperRequest_Live:
		managed.programsLive(request, message.Live)
	}
}

func (core *Core) replyNotKeeper(request *schedulerv1.KeeperRequest) {
	if request.Leader == core.config.Process {
		return
	}
	leader := core.directory.leaders[core.shardOfPool(request.Pool)]
	if leader == core.config.Process {
		leader = ""
	}
	batch := core.batchTo(request.Leader)
	batch.KeeperReplies = append(batch.KeeperReplies, &schedulerv1.KeeperReply{
		Pool:  request.Pool,
		Shard: request.Shard,
		Reply: &schedulerv1.KeeperReply_NotKeeper{NotKeeper: &schedulerv1.NotKeeper{Leader: leader}},
	})
}

// engineReported passes an engine's load report to its pool.
func (core *Core) engineReported(event EngineReported) {
	for _, name := range core.poolNames() {
		managed := core.pools[name]
		machine, found := managed.engines[event.Engine]
		if !found {
			continue
		}
		managed.reconcileFence(machine, event.Report.FenceEpoch)
		managed.step(reportedEngine(event, machine))
		return
	}
}

func reportedEngine(event EngineReported, machine outside.Machine) keeper.EngineReported {
	report := event.Report
	return keeper.EngineReported{
		Engine:        event.Engine,
		Model:         report.Model,
		Version:       report.Version,
		Role:          report.Role,
		Zone:          machine.Zone,
		Loading:       report.Loading,
		Adapters:      report.Adapters,
		Leaving:       report.Leaving,
		Running:       report.Running,
		Waiting:       report.Waiting,
		RunningLimit:  report.RunningLimit,
		BlocksTotal:   report.BlocksTotal,
		BlocksUsed:    report.BlocksUsed,
		BlockTokens:   report.BlockTokens,
		StepDuration:  report.StepDuration,
		ProgramBlocks: report.ProgramBlocks,
	}
}

// engineUnresponsive removes an unresponsive engine from its pool until it reports again.
func (core *Core) engineUnresponsive(engine string) {
	for _, name := range core.poolNames() {
		if _, found := core.pools[name].engines[engine]; found {
			core.pools[name].step(keeper.EngineLost{Engine: engine})
		}
	}
}

func (core *Core) keeperRequest(request *schedulerv1.KeeperRequest, offer *schedulerv1.CallOffer) keeper.Request {
	message := keeper.Request{
		Call:            callKey(offer.Call),
		Leader:          request.Leader,
		Shard:           request.Shard,
		Tenant:          offer.Tenant,
		Tier:            offer.Tier,
		Kind:            offer.Kind,
		Parent:          offer.ParentId,
		Repeatable:      offer.Repeatable,
		Weight:          offer.Weight,
		Model:           offer.Model,
		Adapter:         offer.Adapter,
		Zone:            offer.Zone,
		PromptTokens:    int(offer.PromptTokens),
		MaxTokens:       int(offer.MaxTokens),
		AttainedService: offer.AttainedService,
		ProgramAge:      time.Duration(offer.ProgramAgeMs) * time.Millisecond,
		WaitBound:       time.Duration(offer.WaitBoundMs) * time.Millisecond,
	}
	if offer.DeadlineMs > 0 {
		message.Deadline = core.now + time.Duration(offer.DeadlineMs)*time.Millisecond
	}
	return message
}

func returnedCall(returned *schedulerv1.CallReturn) keeper.CallFinished {
	return keeper.CallFinished{
		Call:         callKey(returned.Call),
		PromptTokens: int(returned.PromptTokens),
		CachedTokens: int(returned.CachedTokens),
		OutputTokens: int(returned.OutputTokens),
		Failed:       returned.Failed,
	}
}

func callKey(key *schedulerv1.CallKey) keeper.CallKey {
	return keeper.CallKey{Program: key.ProgramId, RequestID: key.RequestId, Attempt: key.Attempt}
}

func wireCallKey(key keeper.CallKey) *schedulerv1.CallKey {
	return &schedulerv1.CallKey{ProgramId: key.Program, RequestId: key.RequestID, Attempt: key.Attempt}
}
