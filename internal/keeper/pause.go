package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/cache"
)

// returnFactor multiplies the expected pause to get the time by which a program
// is expected to return.
const returnFactor = 3

// pauseProgram applies the cache policy to the idle prefixes of a pausing
// program.
func (keeper *Keeper) pauseProgram(event ProgramPaused) {
	program := keeper.programs.byName[event.Program]
	if program == nil || program.ended || program.paused {
		return
	}
	program.paused = true
	program.pausedAt = keeper.now
	program.returnExpectedBy = keeper.now + returnFactor*keeper.expectedPause(program, event.ExpectedPause)
	program.invalidateClaims()
	if !keeper.policies.ManagesCache {
		return
	}
	keepFor := time.Duration(0)
	for _, p := range program.prefixes {
		if p.pins > 0 || p.tokens == 0 {
			continue
		}
		decision := keeper.policies.Cache.AtPause(keeper.describePause(p, event.ExpectedPause))
		keeper.applyPauseDecision(p, decision)
		keepFor = max(keepFor, decision.KeepFor)
	}
	if keepFor > 0 {
		keeper.setKeepTimer(program, keepFor)
	}
}

// expectedPause returns the leader's prediction, or the mean pause of the
// program's kind if there is none.
func (keeper *Keeper) expectedPause(program *programState, predicted time.Duration) time.Duration {
	if predicted > 0 {
		return predicted
	}
	return seconds(program.kindStats().pauseSeconds.value(initialPauseSeconds))
}

// describePause returns the cache policy's input for a prefix.
func (keeper *Keeper) describePause(p *prefix, expected time.Duration) cache.Pause {
	stats := p.program.kindStats()
	return cache.Pause{
		Tokens:           p.tokens,
		ExpectedPause:    keeper.expectedPause(p.program, expected),
		ReuseProbability: stats.reuseProbability.value(initialReuse),
		Pressure:         p.engine.pressure(),
		RecomputeCost:    time.Duration(p.tokens) * keeper.estimates.prefillPerToken(),
		ExportCost:       time.Duration(p.tokens) * keeper.config.ExportPerToken,
	}
}

// applyPauseDecision emits the cache command for a prefix, if any.
func (keeper *Keeper) applyPauseDecision(p *prefix, decision cache.Decision) {
	switch decision.Action {
	case cache.ActionRelease:
		keeper.release(p, "expected pause costs more than the prefix saves")
	case cache.ActionExport:
		p.program.exportedTokens = max(p.program.exportedTokens, p.tokens)
		keeper.markReleased(p)
		keeper.emit(ExportCache{Engine: p.engine.name, Program: p.program.name})
	case cache.ActionKeep, cache.ActionNone:
	}
}

func (keeper *Keeper) setKeepTimer(program *programState, keepFor time.Duration) {
	if program.keepTimer == nil {
		program.keepTimer = &timer{program: program, position: notScheduled}
	}
	keeper.timers.stop(program.keepTimer)
	keeper.timers.set(program.keepTimer, keeper.now+keepFor)
}

// resumeProgram ends a program's pause on its next call.
func (keeper *Keeper) resumeProgram(program *programState) {
	if !program.paused {
		return
	}
	stats := program.kindStats()
	stats.reuseProbability.add(1, 1)
	stats.pauseSeconds.add((keeper.now - program.pausedAt).Seconds(), 1)
	program.paused = false
	keeper.timers.stop(program.keepTimer)
}

// recordNoReuse counts a pause that was not followed by another call.
func (program *programState) recordNoReuse() {
	if program.kind != nil {
		program.kind.reuseProbability.add(0, 1)
	}
}

// releaseExpired releases the prefixes of a program that is still paused when
// its keep duration ends.
func (keeper *Keeper) releaseExpired(program *programState) {
	if program.paused && !program.ended {
		keeper.releaseAll(program, "pause exceeded the time the prefix was kept for")
	}
}
