package keeper

import "time"

// TierLoad is one tier's part of a Load.
type TierLoad struct {
	Tenant  string
	Tier    string
	Weight  uint32
	Waiting int
	Running int
	// PredictedWait is what a call of the tier that arrives now can expect.
	PredictedWait time.Duration
}

// EngineLoad is one engine's part of a Load.
type EngineLoad struct {
	Engine string
	Zone   string
	// Ready is false for an engine that gets no new grants.
	Ready   bool
	Running int
	Waiting int
	Limit   int
	// UsedTokens is KV memory of running calls, IdleTokens of kept prefixes, and
	// MemoryTokens all there is. The first two are estimates.
	UsedTokens   int
	IdleTokens   int
	MemoryTokens int
}

// Load sums up a pool for leaders, gateways and operators.
type Load struct {
	Waiting     int
	Running     int
	Slots       int
	LongestWait time.Duration
	Programs    int
	// Tiers with calls are sorted by falling weight, then by name; engines by
	// name.
	Tiers   []TierLoad
	Engines []EngineLoad
}

// Snapshot returns the pool's load as of the last step. It changes nothing.
func (keeper *Keeper) Snapshot() Load {
	load := Load{
		Waiting:     len(keeper.waiting),
		Running:     len(keeper.running),
		LongestWait: keeper.longestWait(),
		Programs:    len(keeper.programs.byName),
	}
	for _, tier := range keeper.tiers.sorted() {
		load.Tiers = append(load.Tiers, TierLoad{
			Tenant:        tier.key.tenant,
			Tier:          tier.key.tier,
			Weight:        tier.weight,
			Waiting:       tier.waiting,
			Running:       tier.running,
			PredictedWait: keeper.predictWait(tier.band),
		})
	}
	for _, engine := range keeper.engines {
		load.Engines = append(load.Engines, keeper.engineLoad(engine))
		if engine.ready() {
			load.Slots += keeper.limit(engine)
		}
	}
	return load
}

func (keeper *Keeper) engineLoad(engine *engineState) EngineLoad {
	return EngineLoad{
		Engine:       engine.name,
		Zone:         engine.zone,
		Ready:        engine.ready(),
		Running:      len(engine.running),
		Waiting:      engine.bound.Len(),
		Limit:        keeper.limit(engine),
		UsedTokens:   engine.usedTokens,
		IdleTokens:   engine.prefixes.idleTokens,
		MemoryTokens: engine.memoryTokens,
	}
}

// longestWait is how long the call that has waited longest has done so.
func (keeper *Keeper) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, call := range keeper.waiting {
		longest = max(longest, keeper.now-call.queuedAt)
	}
	return longest
}
