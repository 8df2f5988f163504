package keeper

import "time"

// TierLoad is the load of one tier.
type TierLoad struct {
	Tenant  string
	Tier    string
	Weight  uint32
	Waiting int
	Running int
	// PredictedWait is the predicted wait of a call of the tier that arrives
	// now.
	PredictedWait time.Duration
}

// EngineLoad is the load of one engine.
type EngineLoad struct {
	Engine string
	Zone   string
	// Ready is false for an engine that gets no new grants.
	Ready   bool
	Running int
	Waiting int
	Limit   int
	// UsedTokens is the estimated KV memory of running calls, IdleTokens that
	// of idle prefixes, and MemoryTokens the total capacity.
	UsedTokens   int
	IdleTokens   int
	MemoryTokens int
}

// Load is a summary of a pool for leaders, gateways and operators.
type Load struct {
	Waiting     int
	Running     int
	Slots       int
	LongestWait time.Duration
	Programs    int
	// Tiers lists the tiers with calls by descending weight, then name. Engines
	// is sorted by name.
	Tiers   []TierLoad
	Engines []EngineLoad
}

// Snapshot returns the load as of the last step. It does not change the
// keeper's decisions.
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

// longestWait is the longest time that a waiting call has waited so far.
func (keeper *Keeper) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, call := range keeper.waiting {
		longest = max(longest, keeper.now-call.queuedAt)
	}
	return longest
}
