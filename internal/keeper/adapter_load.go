package keeper

import (
	"slices"
	"time"
)

// adapterLoad is an adapter load in progress on an engine.
type adapterLoad struct {
	// adapter is empty for a load that an earlier keeper requested.
	adapter     string
	requestedAt time.Duration
	// confirmed is true once a report has shown the engine loading.
	confirmed bool
}

// updateLoad updates the load state from an engine report: the load succeeded
// if the report lists the adapter, and failed if the engine stopped loading or
// has not started within LoadConfirmTimeout.
func (keeper *Keeper) updateLoad(engine *engineState, event EngineReported) {
	started := event.Loading && !engine.loading
	engine.loading = event.Loading
	load := engine.load
	switch {
	case load == nil && started:
		engine.load = &adapterLoad{requestedAt: keeper.now, confirmed: true}
	case load == nil:
	case load.adapter != "" && engine.hasAdapter(load.adapter):
		keeper.estimates.loadSeconds.add((keeper.now - load.requestedAt).Seconds(), 1)
		engine.load = nil
	case event.Loading:
		load.confirmed = true
	case load.confirmed || keeper.now-load.requestedAt > keeper.config.LoadConfirmTimeout:
		keeper.abandonLoad(engine)
	}
}

// handleLoadFailed abandons a load that the engine has rejected.
func (keeper *Keeper) handleLoadFailed(event LoadFailed) {
	engine := keeper.engineNamed(event.Engine)
	if engine != nil && engine.load != nil && engine.load.adapter == event.Adapter {
		keeper.abandonLoad(engine)
	}
}

// abandonLoad ends an engine's load as failed. The load is not requested there
// again within LoadRetry.
func (keeper *Keeper) abandonLoad(engine *engineState) {
	if index, found := keeper.findAdapter(engine.load.adapter); found {
		keeper.adapters[index].failedAt[engine.name] = keeper.now
	}
	engine.load = nil
}

// expireLoads abandons loads that exceed LoadTimeout.
func (keeper *Keeper) expireLoads() {
	for _, engine := range keeper.engines {
		if engine.load != nil && keeper.now-engine.load.requestedAt > keeper.config.LoadTimeout {
			keeper.abandonLoad(engine)
		}
	}
}

// pendingLoads counts the engines with a load in progress.
func (keeper *Keeper) pendingLoads() int {
	count := 0
	for _, engine := range keeper.engines {
		if engine.load != nil {
			count++
		}
	}
	return count
}

// requestLoads requests loads of the adapters that calls wait for, up to
// MaxLoads at a time.
func (keeper *Keeper) requestLoads() {
	for keeper.pendingLoads() < keeper.config.MaxLoads {
		adapter, engine := keeper.nextLoad()
		if adapter == nil {
			break
		}
		keeper.requestLoad(adapter, engine)
	}
	for _, adapter := range keeper.adapters {
		adapter.underReplicated = false
	}
}

// nextLoad returns the least recently requested adapter that needs a load and
// the engine to load it on, or nil if there is none.
func (keeper *Keeper) nextLoad() (*adapterState, *engineState) {
	var chosen *adapterState
	var target *engineState
	for _, adapter := range keeper.adapters {
		if !keeper.needsLoad(adapter) || chosen != nil && chosen.lastRequestedAt <= adapter.lastRequestedAt {
			continue
		}
		if engine := keeper.selectLoadEngine(adapter); engine != nil {
			chosen = adapter
			target = engine
		}
	}
	return chosen, target
}

// needsLoad reports whether the adapter should be loaded on another engine.
func (keeper *Keeper) needsLoad(adapter *adapterState) bool {
	if adapter.waiting.Len() == 0 && !adapter.underReplicated {
		return false
	}
	schedulable := false
	for _, engine := range keeper.engines {
		if engine.load != nil && engine.load.adapter == adapter.name {
			return false
		}
		schedulable = schedulable || engine.schedulable() && engine.hasAdapter(adapter.name)
	}
	// An engine that has the adapter but is not ready may recover shortly.
	return !schedulable || adapter.underReplicated || keeper.now-adapter.waitingSince > keeper.config.AdapterWaitTimeout
}

// selectLoadEngine returns the eligible engine with the most free slots, or nil
// if there is none.
func (keeper *Keeper) selectLoadEngine(adapter *adapterState) *engineState {
	var chosen *engineState
	for _, engine := range keeper.engines {
		if !keeper.canLoad(engine, adapter) {
			continue
		}
		if chosen == nil || keeper.freeSlots(engine) > keeper.freeSlots(chosen) {
			chosen = engine
		}
	}
	return chosen
}

// canLoad reports whether the engine can load the adapter now.
func (keeper *Keeper) canLoad(engine *engineState, adapter *adapterState) bool {
	busy := engine.loading || engine.load != nil
	if !engine.ready() || busy || engine.hasAdapter(adapter.name) {
		return false
	}
	if adapter.underReplicated && keeper.freeSlots(engine) == 0 {
		return false
	}
	if adapter.model != "" && engine.model != "" && engine.model != adapter.model {
		return false
	}
	failedAt, failed := adapter.failedAt[engine.name]
	return !failed || keeper.now-failedAt > keeper.config.LoadRetry
}

func (keeper *Keeper) requestLoad(adapter *adapterState, engine *engineState) {
	adapter.lastRequestedAt = keeper.now
	engine.load = &adapterLoad{adapter: adapter.name, requestedAt: keeper.now}
	why := "calls wait for it and no ready engine has it"
	if adapter.underReplicated {
		why = "calls have waited too long for the engines that have it"
	}
	keeper.emit(LoadAdapter{
		Engine: engine.name, Model: engine.model, Version: engine.version, Adapter: adapter.name, Why: why,
	})
}

// predictLoadWait predicts how long a call that arrives now waits for its
// adapter to load.
func (keeper *Keeper) predictLoadWait(adapter string) time.Duration {
	if keeper.adapterAvailable(adapter) {
		return 0
	}
	ahead := 0
	for _, other := range keeper.adapters {
		if other.name != adapter && other.waiting.Len() > 0 {
			ahead++
		}
	}
	rounds := 1 + ahead/keeper.config.MaxLoads
	return time.Duration(rounds) * seconds(keeper.estimates.load())
}

// updateAdapters replaces an engine's adapters with the reported ones. If the
// engine has lost one, the calls bound to it are unbound.
func (keeper *Keeper) updateAdapters(engine *engineState, reported []string) {
	lost := slices.ContainsFunc(engine.adapters, func(adapter string) bool {
		return !slices.Contains(reported, adapter)
	})
	engine.adapters = reported
	if lost {
		keeper.unbind(engine)
	}
}
