package keeper

import (
	"slices"
	"time"
)

// applyReport takes an engine's load report in; the first one makes the engine
// known. Counts of running calls in it lag, so the keeper's own grants rule.
func (keeper *Keeper) applyReport(event EngineReported) {
	engine := keeper.ensureEngine(event.Engine)
	engine.model = event.Model
	engine.zone = event.Zone
	engine.version = event.Version
	engine.runningLimit = event.RunningLimit
	engine.memoryTokens = event.BlocksTotal * event.BlockTokens
	engine.reportedAt = keeper.now
	engine.failed = false
	engine.leaving = event.Leaving
	engine.role = event.Role
	keeper.followDrain(engine)
	keeper.followReport(engine)
	keeper.restoreRole(engine)
	keeper.changedAdapters(engine, event.Adapters)
	keeper.followLoad(engine, event)
	if engine.ready() {
		keeper.lastReady = keeper.now
	} else {
		keeper.unbind(engine)
	}
	if len(event.ProgramBlocks) > 0 || event.BlocksUsed == 0 {
		keeper.reconcile(engine, event)
	}
	engine.trimPrefixes()
}

// reconcile compares the estimates of one engine with its report, in the order
// of program names.
func (keeper *Keeper) reconcile(engine *engineState, event EngineReported) {
	names := make([]string, 0, len(event.ProgramBlocks))
	for name := range event.ProgramBlocks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		keeper.correct(engine, name, event.ProgramBlocks[name]*event.BlockTokens)
	}
	keeper.forgetMissing(engine, event.ProgramBlocks)
}

// forgetMissing drops settled estimates that the report does not show: the
// engine has evicted or released them.
func (keeper *Keeper) forgetMissing(engine *engineState, reported map[string]int) {
	next := engine.prefixes.oldest
	for next != nil {
		held := next
		next = held.newer
		if reported[held.program.name] == 0 && keeper.settled(held) {
			held.drop()
		}
	}
}

// settled tells whether the keeper's own orders for a prefix are so old that
// late reports already show them.
func (keeper *Keeper) settled(held *prefix) bool {
	return held.pins == 0 && keeper.now-held.touchedAt > keeper.config.CacheLag
}

// applyCacheEvent takes one late cache event in.
func (keeper *Keeper) applyCacheEvent(event EngineCacheChanged) {
	engine := keeper.engineNamed(event.Engine)
	if engine == nil {
		return
	}
	if event.Tokens > 0 {
		keeper.correct(engine, event.Program, event.Tokens)
		engine.trimPrefixes()
		return
	}
	program := keeper.programs.byName[event.Program]
	if program == nil {
		return
	}
	if held := program.prefixOn(engine); held != nil && keeper.settled(held) {
		held.drop()
	}
}

// correct brings one estimate in line with what an engine shows, tokens above
// 0. It corrects only settled estimates; what a gone program holds is released.
func (keeper *Keeper) correct(engine *engineState, name string, tokens int) {
	program := keeper.reportedProgram(name)
	held := program.prefixOn(engine)
	if held != nil && !keeper.settled(held) {
		return
	}
	if held == nil {
		held = adoptPrefix(program, engine)
	}
	if !program.ended && !held.released {
		held.resize(tokens)
		return
	}
	if keeper.policies.ManagesCache && keeper.now-held.touchedAt > keeper.config.ReleaseRetry {
		keeper.release(held, "still held after its release")
	}
}

// reportedProgram returns the program that an engine's report names. One that
// its shard's list of live programs leaves out is gone.
func (keeper *Keeper) reportedProgram(name string) *programState {
	program := keeper.programs.byName[name]
	if program != nil {
		return program
	}
	program = keeper.programs.ensure(name)
	if keeper.config.ShardOf == nil {
		return program
	}
	keeper.programs.placeInShard(program, keeper.config.ShardOf(name))
	if keeper.programs.shard(program.shard).listed {
		keeper.programs.end(program, keeper.now)
	}
	return program
}

// applyLivePrograms takes a shard's list of live programs in. A program that it
// leaves out is gone, unless it has calls here or was seen so lately that the
// list may be older.
func (keeper *Keeper) applyLivePrograms(event ProgramsLive) {
	shard := keeper.programs.shard(event.Shard)
	shard.listed = true
	keeper.adoptGrants(event)
	for _, name := range event.Programs {
		keeper.noteLive(name, event.Shard)
	}
	var gone []string
	for program := range shard.programs {
		idle := program.calls == 0 && !program.ended
		if idle && program.listedAt != keeper.now && keeper.unseen(program) {
			gone = append(gone, program.name)
		}
	}
	slices.Sort(gone)
	for _, name := range gone {
		keeper.endProgram(name, "not among its shard's live programs")
	}
}

// noteLive marks a program as listed now.
func (keeper *Keeper) noteLive(name string, shard uint32) {
	program := keeper.programs.ensure(name)
	keeper.programs.placeInShard(program, shard)
	program.listedAt = keeper.now
	if program.ended && keeper.now-program.endedAt > keeper.config.LiveMargin {
		keeper.programs.revive(program)
	}
}

// unseen tells whether no call of a program was offered within the margin.
func (keeper *Keeper) unseen(program *programState) bool {
	return program.seenAt == neverSeen || keeper.now-program.seenAt > keeper.config.LiveMargin
}

// neverSeen is the seenAt of a program known only from reports and lists.
const neverSeen = time.Duration(-1)
