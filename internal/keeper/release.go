package keeper

// release orders an engine to free a program's idle prefix. An order may be
// lost, so the estimate stays, empty, until a report confirms it.
func (keeper *Keeper) release(held *prefix, why string) {
	keeper.markReleased(held)
	keeper.emit(ReleaseCache{Engine: held.engine.name, Program: held.program.name, Why: why})
}

// markReleased empties an estimate after an order that frees it.
func (keeper *Keeper) markReleased(held *prefix) {
	held.resize(0)
	held.released = true
	held.touchedAt = keeper.now
}

// releaseAll frees a program's idle prefixes on every engine. Those that a
// running call uses are left: they are seen to when the call ends.
func (keeper *Keeper) releaseAll(program *programState, why string) {
	if !keeper.policies.ManagesCache {
		return
	}
	for _, held := range program.prefixes {
		if held.pins == 0 && !held.released {
			keeper.release(held, why)
		}
	}
}

// releaseElsewhere frees the prefixes a program leaves behind when a call of
// it is granted on another engine: the next call will look for the newest one.
func (keeper *Keeper) releaseElsewhere(call *runningCall) {
	if !keeper.policies.ManagesCache {
		return
	}
	for _, held := range call.program.prefixes {
		if held.engine != call.engine && held.pins == 0 && !held.released {
			keeper.release(held, "program moved to another engine")
		}
	}
}

// importPrefix orders an exported prefix back in before the call runs, unless
// the engine has as much of it already.
func (keeper *Keeper) importPrefix(call *runningCall, engine *engineState) {
	exported := min(call.program.exportedTokens, call.request.PromptTokens)
	call.program.exportedTokens = 0
	if exported <= call.expectedCached {
		return
	}
	call.expectedCached = exported
	keeper.emit(ImportCache{Engine: engine.name, Program: call.program.name})
}

// endProgram marks a program as gone and frees its cache everywhere.
func (keeper *Keeper) endProgram(name, why string) {
	program := keeper.programs.ensure(name)
	if program.ended {
		return
	}
	if program.paused {
		program.paused = false
		program.noteNoReturn()
	}
	keeper.timers.stop(program.keepTimer)
	program.exportedTokens = 0
	keeper.programs.end(program, keeper.now)
	keeper.releaseAll(program, why)
}
