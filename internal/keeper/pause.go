package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/cache"
)

// returnMargin is how many expected pauses a program may take to return.
const returnMargin = 3

// pauseProgram decides what becomes of a waiting program's prefixes.
func (keeper *Keeper) pauseProgram(event ProgramPaused) {
	program := keeper.programs.byName[event.Program]
	if program == nil || program.ended || program.paused {
		return
	}
	program.paused = true
	program.pausedAt = keeper.now
	program.returnBy = keeper.now + returnMargin*keeper.expectedPause(program, event.ExpectedPause)
	program.changeClaims()
	if !keeper.policies.ManagesCache {
		return
	}
	keepFor := time.Duration(0)
	for _, held := range program.prefixes {
		if held.pins > 0 || held.tokens == 0 {
			continue
		}
		decision := keeper.policies.Cache.AtPause(keeper.describePause(held, event.ExpectedPause))
		keeper.applyPauseDecision(held, decision)
		keepFor = max(keepFor, decision.KeepFor)
	}
	if keepFor > 0 {
		keeper.setKeepTimer(program, keepFor)
	}
}

// expectedPause is the leader's prediction, or what the kind has shown.
func (keeper *Keeper) expectedPause(program *programState, predicted time.Duration) time.Duration {
	if predicted > 0 {
		return predicted
	}
	return seconds(program.kindRecord().pauseSeconds.value(firstPauseSeconds))
}

// describePause is what a cache policy may know.
func (keeper *Keeper) describePause(held *prefix, expected time.Duration) cache.Pause {
	record := held.program.kindRecord()
	return cache.Pause{
		Tokens:           held.tokens,
		ExpectedPause:    keeper.expectedPause(held.program, expected),
		ReuseProbability: record.reuse.value(firstReuse),
		Pressure:         held.engine.pressure(),
		RecomputeCost:    time.Duration(held.tokens) * keeper.estimates.prefillPerToken(),
		ExportCost:       time.Duration(held.tokens) * keeper.config.ExportPerToken,
	}
}

// applyPauseDecision gives the order for one prefix, if any.
func (keeper *Keeper) applyPauseDecision(held *prefix, decision cache.Decision) {
	switch decision.Action {
	case cache.ActionRelease:
		keeper.release(held, "pause expected to outweigh reuse")
	case cache.ActionExport:
		held.program.exportedTokens = max(held.program.exportedTokens, held.tokens)
		keeper.markReleased(held)
		keeper.emit(ExportCache{Engine: held.engine.name, Program: held.program.name})
	case cache.ActionKeep, cache.ActionNone:
	}
}

func (keeper *Keeper) setKeepTimer(program *programState, keepFor time.Duration) {
	if program.keepTimer == nil {
		program.keepTimer = &timer{program: program, position: notSet}
	}
	keeper.timers.stop(program.keepTimer)
	keeper.timers.set(program.keepTimer, keeper.now+keepFor)
}

// resumeProgram notes that a program makes another call.
func (keeper *Keeper) resumeProgram(program *programState) {
	if !program.paused {
		return
	}
	record := program.kindRecord()
	record.reuse.add(1, 1)
	record.pauseSeconds.add((keeper.now - program.pausedAt).Seconds(), 1)
	program.paused = false
	keeper.timers.stop(program.keepTimer)
}

// noteNoReturn counts a pause that ended with the program.
func (program *programState) noteNoReturn() {
	if program.kind != nil {
		program.kind.reuse.add(0, 1)
	}
}

// releaseOverdue frees the prefixes of a program whose pause has outlasted the
// time they were kept for.
func (keeper *Keeper) releaseOverdue(program *programState) {
	if program.paused && !program.ended {
		keeper.releaseAll(program, "pause outlasted its prediction")
	}
}
