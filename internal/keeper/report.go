package keeper

import (
	"slices"
	"time"
)

// applyReport applies an engine's load report; the first one adds the engine.
// Reported call counts lag behind and are ignored in favor of the keeper's own
// grants.
func (keeper *Keeper) applyReport(event EngineReported) {
	engine := keeper.ensureEngine(event.Engine)
	engine.model = event.Model
	engine.zone = event.Zone
	engine.version = event.Version
	engine.runningLimit = event.RunningLimit
	engine.memoryTokens = event.BlocksTotal * event.BlockTokens
	engine.reportedAt = keeper.now
	engine.callFailed = false
	engine.leaving = event.Leaving
	engine.role = event.Role
	keeper.updateDrain(engine)
	keeper.updateReadiness(engine)
	keeper.requestMixedRole(engine)
	keeper.updateAdapters(engine, event.Adapters)
	keeper.updateLoad(engine, event)
	if engine.ready() {
		keeper.lastReadyAt = keeper.now
	} else {
		keeper.unbind(engine)
	}
	if len(event.ProgramBlocks) > 0 || event.BlocksUsed == 0 {
		keeper.reconcile(engine, event)
	}
	engine.trimPrefixes()
}

// reconcile compares the prefix estimates of one engine with its report, in the
// order of program names for determinism.
func (keeper *Keeper) reconcile(engine *engineState, event EngineReported) {
	names := make([]string, 0, len(event.ProgramBlocks))
	for name := range event.ProgramBlocks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		keeper.correctEstimate(engine, name, event.ProgramBlocks[name]*event.BlockTokens)
	}
	keeper.dropMissing(engine, event.ProgramBlocks)
}

// dropMissing drops settled estimates that the report does not show: the engine
// has evicted or released them.
func (keeper *Keeper) dropMissing(engine *engineState, reported map[string]int) {
	next := engine.prefixes.oldest
	for next != nil {
		p := next
		next = p.newer
		if reported[p.program.name] == 0 && keeper.settled(p) {
			p.drop()
		}
	}
}

// settled reports whether the keeper's last update of an idle prefix is old
// enough for delayed reports to reflect it.
func (keeper *Keeper) settled(p *prefix) bool {
	return p.pins == 0 && keeper.now-p.updatedAt > keeper.config.CacheLag
}

// applyCacheEvent applies a delayed cache event.
func (keeper *Keeper) applyCacheEvent(event EngineCacheChanged) {
	engine := keeper.engineNamed(event.Engine)
	if engine == nil {
		return
	}
	if event.Tokens > 0 {
		keeper.correctEstimate(engine, event.Program, event.Tokens)
		engine.trimPrefixes()
		return
	}
	program := keeper.programs.byName[event.Program]
	if program == nil {
		return
	}
	if p := program.prefixOn(engine); p != nil && keeper.settled(p) {
		p.drop()
	}
}

// correctEstimate sets a settled estimate to the reported tokens, which must be
// above 0. A prefix of an ended program, or one already released, is released
// again instead.
func (keeper *Keeper) correctEstimate(engine *engineState, name string, tokens int) {
	program := keeper.ensureReportedProgram(name)
	p := program.prefixOn(engine)
	if p != nil && !keeper.settled(p) {
		return
	}
	if p == nil {
		p = addReportedPrefix(program, engine)
	}
	if !program.ended && !p.released {
		p.resize(tokens)
		return
	}
	if keeper.policies.ManagesCache && keeper.now-p.updatedAt > keeper.config.ReleaseRetry {
		keeper.release(p, "engine still reports the cache after its release")
	}
}

// ensureReportedProgram returns the program named in an engine report. An
// unknown program is added, and counts as ended if its shard's live programs
// have been listed.
func (keeper *Keeper) ensureReportedProgram(name string) *programState {
	program := keeper.programs.byName[name]
	if program != nil {
		return program
	}
	program = keeper.programs.ensure(name)
	if keeper.config.ShardOf == nil {
		return program
	}
	keeper.programs.assignShard(program, keeper.config.ShardOf(name))
	if keeper.programs.shard(program.shard).listed {
		keeper.programs.end(program, keeper.now)
	}
	return program
}

// applyLivePrograms applies a shard's list of live programs. Programs that are
// not listed are ended, unless they have calls here or had one within
// LiveListGrace.
func (keeper *Keeper) applyLivePrograms(event ProgramsLive) {
	shard := keeper.programs.shard(event.Shard)
	shard.listed = true
	keeper.reassignGrants(event)
	for _, name := range event.Programs {
		keeper.markLive(name, event.Shard)
	}
	var ended []string
	for program := range shard.programs {
		idle := program.calls == 0 && !program.ended
		if idle && program.lastListedAt != keeper.now && keeper.hadNoRecentCall(program) {
			ended = append(ended, program.name)
		}
	}
	slices.Sort(ended)
	for _, name := range ended {
		keeper.endProgram(name, "program is not in its shard's live list")
	}
}

// markLive records that a program is listed. One that ended within
// LiveListGrace is not revived: the list may be older than its end.
func (keeper *Keeper) markLive(name string, shard uint32) {
	program := keeper.programs.ensure(name)
	keeper.programs.assignShard(program, shard)
	program.lastListedAt = keeper.now
	if program.ended && keeper.now-program.endedAt > keeper.config.LiveListGrace {
		keeper.programs.revive(program)
	}
}

// hadNoRecentCall reports whether no call of the program was offered within
// LiveListGrace.
func (keeper *Keeper) hadNoRecentCall(program *programState) bool {
	return program.lastCallAt == neverCalled || keeper.now-program.lastCallAt > keeper.config.LiveListGrace
}

// neverCalled is the lastCallAt of a program known only from reports and lists.
const neverCalled = time.Duration(-1)
