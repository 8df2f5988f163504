package enginemodel

import (
	"maps"
	"time"
)

// Stats is an engine's state and its counters since New.
type Stats struct {
	Running int
	Waiting int
	// BlocksUsed is the number of blocks that are not free: referenced by
	// running requests, or idle (BlocksIdle).
	BlocksTotal int
	BlocksUsed  int
	BlocksIdle  int
	// ProgramBlocks is the number of used blocks per program that used them
	// last.
	ProgramBlocks map[string]int
	// StepDuration is the duration of the latest step, 0 before the first.
	StepDuration time.Duration
	Steps        uint64
	Evictions    uint64
	Preemptions  uint64
	// PromptTokens and CachedTokens count each admitted request once, also
	// after a preemption.
	PromptTokens uint64
	CachedTokens uint64
	OutputTokens uint64
	// HeldBlockSeconds is the time that blocks were held, summed over blocks.
	HeldBlockSeconds float64
	// WastedBlockSeconds is the part of HeldBlockSeconds in blocks that were
	// never reused.
	WastedBlockSeconds float64
	// IdleBlockSeconds is the part of HeldBlockSeconds after a block's last
	// use, which an earlier release would have saved.
	IdleBlockSeconds float64
}

// WastedShare returns WastedBlockSeconds as a share of HeldBlockSeconds, or 0 if
// no blocks were held.
func (stats Stats) WastedShare() float64 {
	if stats.HeldBlockSeconds == 0 {
		return 0
	}
	return stats.WastedBlockSeconds / stats.HeldBlockSeconds
}

// Stats returns the state at now. Blocks still held count as if freed at now.
func (engine *Engine) Stats(now time.Duration) Stats {
	cache := engine.cache
	return Stats{
		Running:            len(engine.running),
		Waiting:            len(engine.waiting),
		BlocksTotal:        len(cache.blocks),
		BlocksUsed:         len(cache.blocks) - cache.freeCount,
		BlocksIdle:         cache.idleCount,
		ProgramBlocks:      maps.Clone(cache.blocksByOwner),
		StepDuration:       engine.stepDuration,
		Steps:              engine.totals.steps,
		Evictions:          cache.evictions,
		Preemptions:        engine.totals.preemptions,
		PromptTokens:       engine.totals.promptTokens,
		CachedTokens:       engine.totals.cachedTokens,
		OutputTokens:       engine.totals.outputTokens,
		HeldBlockSeconds:   cache.usage.held.seconds(now),
		WastedBlockSeconds: cache.usage.unreused.seconds(now),
		IdleBlockSeconds:   cache.usage.idle.seconds(now),
	}
}

// Load returns the numbers of running and waiting requests. Unlike Stats, it
// does not copy the per-program counts.
func (engine *Engine) Load() (running, waiting int) {
	return len(engine.running), len(engine.waiting)
}
