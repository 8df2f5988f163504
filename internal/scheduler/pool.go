package scheduler

import (
	"fmt"
	"slices"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/outside"
)

// pool is an engine pool that this process keeps, because it leads the pool's
// shard. The shard's epoch is the fence of every order to the engines, so a
// keeper that has been replaced is refused by them; see pool_fence.go.
type pool struct {
	core    *Core
	name    string
	shard   uint32
	keeper  *keeper.Keeper
	engines map[string]outside.Machine
	drained map[string]bool
	fences  map[string]*engineFence
	// policies are the names that the keeper was made with.
	policies policyNames
	lists    poolLists
}

type policyNames struct {
	queue, placement, cache string
	affinityPercent         uint32
}

// arrangePools keeps exactly the pools whose shards this process leads.
func (core *Core) arrangePools() {
	kept := make(map[string]bool)
	for _, name := range sortedKeys(core.layout.engines) {
		engines := core.layout.engines[name]
		host := core.hosts[core.shardOfPool(name)]
		if host == nil || !host.serving {
			continue
		}
		kept[name] = true
		core.arrangePool(name, host.number, engines)
	}
	for _, name := range core.poolNames() {
		if !kept[name] {
			delete(core.pools, name)
			core.log("pool_dropped", core.shardOfPool(name), "", "", name)
		}
	}
	core.arrangePolling()
}

func (core *Core) arrangePool(name string, shardNumber uint32, engines []outside.Machine) {
	kept := core.pools[name]
	if kept == nil {
		kept = core.newPool(name, shardNumber)
		core.pools[name] = kept
		core.log("pool_kept", shardNumber, "", "", name)
		kept.askForLists()
	}
	kept.arrangeEngines(engines)
}

func (core *Core) newPool(name string, shardNumber uint32) *pool {
	made := &pool{
		core:    core,
		name:    name,
		shard:   shardNumber,
		engines: make(map[string]outside.Machine),
		drained: make(map[string]bool),
		fences:  make(map[string]*engineFence),
		lists:   newPoolLists(),
	}
	made.buildKeeper()
	return made
}

// buildKeeper makes a keeper with the configured policies. Leaders repeat
// their offers and are asked for their grants, so it learns what its predecessor
// knew.
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

// configurationChanged takes new policies and drains up.
func (pool *pool) configurationChanged() {
	if pool.policies != pool.core.policyNames() {
		pool.buildKeeper()
		pool.askForLists()
	}
	pool.arrangeEngines(pool.machines())
}

func (pool *pool) machines() []outside.Machine {
	return sorted(pool.engines)
}

// arrangeEngines takes the pool's engines from the machine list. A leaving or
// drained one gets no new work from here on.
func (pool *pool) arrangeEngines(engines []outside.Machine) {
	listed := make(map[string]outside.Machine, len(engines))
	for _, engine := range engines {
		listed[engine.ID] = engine
		pool.arrangeDrain(engine)
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

func (pool *pool) arrangeDrain(engine outside.Machine) {
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

// arrangePolling asks for the load reports of every kept engine.
func (core *Core) arrangePolling() {
	var engines []EngineAddress
	for _, name := range core.poolNames() {
		for _, machine := range core.pools[name].machines() {
			engines = append(engines, EngineAddress{Engine: machine.ID, Address: machine.Address})
		}
	}
	if slices.Equal(engines, core.polled) {
		return
	}
	core.polled = engines
	core.emit(PollEngines{Engines: slices.Clone(engines)})
}

func (core *Core) poolNames() []string { return sortedKeys(core.pools) }

func (pool *pool) tick() { pool.step(keeper.Tick{}) }

// step gives the keeper an event and carries its effects out. Nothing is
// granted unless the shard's lease covers this moment.
func (pool *pool) step(event keeper.Event) {
	effects := slices.Clone(pool.keeper.Step(pool.core.now, event))
	if !pool.leads() {
		return
	}
	for _, effect := range effects {
		pool.carryOut(effect)
	}
}

func (pool *pool) carryOut(effect keeper.Effect) {
	switch effect := effect.(type) {
	case keeper.Grant:
		pool.reply(effect.Request, pool.grantOf(effect))
	case keeper.Refuse:
		pool.core.log("offer_refused", effect.Request.Shard, effect.Request.Call.Program, effect.Request.Call.RequestID,
			fmt.Sprintf("pool=%s code=%s retry_after=%s why=%q %s", pool.name, effect.Code, effect.RetryAfter, effect.Why, effect.Grounds))
		pool.reply(effect.Request, refusalOf(effect))
	case keeper.Preempt:
		pool.reply(effect.Request, preemptionOf(effect))
	case keeper.ReleaseCache:
		pool.release(effect)
	case keeper.CheckEngine:
		pool.core.emit(PollEngineSoon{Engine: EngineAddress{
			Engine:  effect.Engine,
			Address: pool.engines[effect.Engine].Address,
		}})
	case keeper.LoadAdapter:
		pool.orderLoad(effect)
	case keeper.SetRole:
		pool.orderRole(effect)
	case keeper.ExportCache, keeper.ImportCache:
		pool.core.log("cache_move_unsupported", pool.shard, "", "", pool.name)
	}
}

func (pool *pool) release(effect keeper.ReleaseCache) {
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

// reply brings a keeper's answer to the leader that asked.
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

// keeperRequested takes a leader's request in.
func (core *Core) keeperRequested(request *schedulerv1.KeeperRequest) {
	kept := core.pools[request.Pool]
	if kept == nil {
		core.answerNotKeeper(request)
		return
	}
	switch asked := request.Request.(type) {
	case *schedulerv1.KeeperRequest_Offer:
		kept.step(keeper.CallQueued{Request: core.keeperRequest(request, asked.Offer)})
	case *schedulerv1.KeeperRequest_Cancel:
		kept.step(keeper.CallCancelled{Call: callKey(asked.Cancel)})
	case *schedulerv1.KeeperRequest_Return:
		kept.step(returnedCall(asked.Return))
	case *schedulerv1.KeeperRequest_FirstToken:
		kept.step(keeper.FirstToken{Call: callKey(asked.FirstToken)})
	case *schedulerv1.KeeperRequest_Pause:
		kept.step(keeper.ProgramPaused{
			Program:       asked.Pause.ProgramId,
			ExpectedPause: time.Duration(asked.Pause.ExpectedPauseMs) * time.Millisecond,
		})
	case *schedulerv1.KeeperRequest_Gone:
		kept.step(keeper.ProgramEnded{Program: asked.Gone.ProgramId})
	case *schedulerv1.KeeperRequest_Held:
		kept.grantsHeld(request, asked.Held)
	case *schedulerv1.KeeperRequest_Live:
		kept.programsLive(request, asked.Live)
	}
}

func (core *Core) answerNotKeeper(request *schedulerv1.KeeperRequest) {
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

// engineReported passes an engine's load report to the pool it belongs to.
func (core *Core) engineReported(event EngineReported) {
	for _, name := range core.poolNames() {
		kept := core.pools[name]
		machine, found := kept.engines[event.Engine]
		if !found {
			continue
		}
		kept.followFence(machine, event.Report.FenceEpoch)
		kept.step(reportedEngine(event, machine))
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

// engineSilent removes an engine that does not answer from its pool, until it
// reports again.
func (core *Core) engineSilent(engine string) {
	for _, name := range core.poolNames() {
		if _, found := core.pools[name].engines[engine]; found {
			core.pools[name].step(keeper.EngineLost{Engine: engine})
		}
	}
}

func (core *Core) keeperRequest(request *schedulerv1.KeeperRequest, offer *schedulerv1.CallOffer) keeper.Request {
	asked := keeper.Request{
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
		asked.Deadline = core.now + time.Duration(offer.DeadlineMs)*time.Millisecond
	}
	return asked
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
