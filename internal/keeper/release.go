package keeper

// release tells an engine to free a program's idle prefix. The command may be
// lost, so the empty estimate is kept until a report confirms the release.
func (keeper *Keeper) release(p *prefix, why string) {
	keeper.markReleased(p)
	keeper.emit(ReleaseCache{Engine: p.engine.name, Program: p.program.name, Why: why})
}

// markReleased empties the estimate of a prefix that was released or exported.
func (keeper *Keeper) markReleased(p *prefix) {
	p.resize(0)
	p.released = true
	p.updatedAt = keeper.now
}

// releaseAll releases a program's idle prefixes on all engines. A prefix in use
// by a running call is handled when the call ends.
func (keeper *Keeper) releaseAll(program *programState, why string) {
	if !keeper.policies.ManagesCache {
		return
	}
	for _, p := range program.prefixes {
		if p.pins == 0 && !p.released {
			keeper.release(p, why)
		}
	}
}

// releaseElsewhere releases the program's idle prefixes on other engines when a
// call is granted: the next call prefers the newest prefix.
func (keeper *Keeper) releaseElsewhere(call *runningCall) {
	if !keeper.policies.ManagesCache {
		return
	}
	for _, p := range call.program.prefixes {
		if p.engine != call.engine && p.pins == 0 && !p.released {
			keeper.release(p, "program moved to another engine")
		}
	}
}

// importPrefix imports an exported prefix before the call runs, unless the
// engine has at least as much of it cached.
func (keeper *Keeper) importPrefix(call *runningCall, engine *engineState) {
	exported := min(call.program.exportedTokens, call.request.PromptTokens)
	call.program.exportedTokens = 0
	if exported <= call.expectedCached {
		return
	}
	call.expectedCached = exported
	keeper.emit(ImportCache{Engine: engine.name, Program: call.program.name})
}

// endProgram marks a program as ended and releases its idle prefixes.
func (keeper *Keeper) endProgram(name, why string) {
	program := keeper.programs.ensure(name)
	if program.ended {
		return
	}
	if program.paused {
		program.paused = false
		program.recordNoReuse()
	}
	keeper.timers.stop(program.keepTimer)
	program.exportedTokens = 0
	keeper.programs.end(program, keeper.now)
	keeper.releaseAll(program, why)
}
