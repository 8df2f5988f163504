package enginemodel

import (
	"maps"
	"time"
)

// Stats is an engine's state and its counters since it began.
type Stats struct {
	Running int
	Waiting int
	// BlocksUsed counts the blocks that are not free: referenced by running
	// requests, or idle and kept for reuse (BlocksIdle).
	BlocksTotal int
	BlocksUsed  int
	BlocksIdle  int
	// ProgramBlocks counts the used blocks by the program that used them last.
	ProgramBlocks map[string]int
	// StepDuration is the duration of the latest step, 0 before the first.
	StepDuration time.Duration
	Steps        uint64
	Evictions    uint64
	Preemptions  uint64
	// PromptTokens and CachedTokens sum over admitted requests, each once.
	PromptTokens uint64
	CachedTokens uint64
	OutputTokens uint64
	// HeldBlockSeconds is the time that blocks were held, summed over blocks.
	HeldBlockSeconds float64
	// WastedBlockSeconds is the part of it held by blocks never reused.
	WastedBlockSeconds float64
	// IdleBlockSeconds is the part of HeldBlockSeconds during which a block
	// had no user and was not reused afterwards (also for blocks reused
	// before): the memory that an earlier release would have saved.
	IdleBlockSeconds float64
}

// WastedShare is WastedBlockSeconds over HeldBlockSeconds, 0 when none.
func (stats Stats) WastedShare() float64 {
	if stats.HeldBlockSeconds == 0 {
		return 0
	}
	return stats.WastedBlockSeconds / stats.HeldBlockSeconds
}

// Stats returns the state at now. Blocks still held count as freed at now.
func (engine *Engine) Stats(now time.Duration) Stats {
	cache := engine.cache
	return Stats{
		Running:            len(engine.running),
		Waiting:            len(engine.waiting),
		BlocksTotal:        len(cache.blocks),
		BlocksUsed:         len(cache.blocks) - cache.free,
		BlocksIdle:         cache.idle,
		ProgramBlocks:      maps.Clone(cache.owned),
		StepDuration:       engine.stepTook,
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

// Load returns the number of running and waiting requests without the cost of
// Stats.
func (engine *Engine) Load() (running, waiting int) {
	return len(engine.running), len(engine.waiting)
}
