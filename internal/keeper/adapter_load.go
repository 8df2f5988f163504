package keeper

import (
	"slices"
	"time"
)

// adapterLoad is an order to load an adapter, as far as it is known to be under
// way on an engine.
type adapterLoad struct {
	// adapter is empty where an earlier keeper gave the order.
	adapter   string
	orderedAt time.Duration
	// seen is true once a report has shown the engine loading.
	seen bool
}

// followLoad takes what an engine's report says about loading in. The report is
// the truth, a lag behind.
func (keeper *Keeper) followLoad(engine *engineState, event EngineReported) {
	begun := event.Loading && !engine.loading
	engine.loading = event.Loading
	load := engine.load
	switch {
	case load == nil && begun:
		engine.load = &adapterLoad{orderedAt: keeper.now, seen: true}
	case load == nil:
	case load.adapter != "" && engine.has(load.adapter):
		keeper.estimates.loadSeconds.add((keeper.now - load.orderedAt).Seconds(), 1)
		engine.load = nil
	case event.Loading:
		load.seen = true
	case load.seen || keeper.now-load.orderedAt > keeper.config.LoadConfirm:
		keeper.failLoad(engine)
	}
}

// loadFailed takes an order back that the engine has refused.
func (keeper *Keeper) loadFailed(event LoadFailed) {
	engine := keeper.engineNamed(event.Engine)
	if engine != nil && engine.load != nil && engine.load.adapter == event.Adapter {
		keeper.failLoad(engine)
	}
}

// failLoad gives a load up. The adapter is not ordered on the engine again for a
// while.
func (keeper *Keeper) failLoad(engine *engineState) {
	if index, found := keeper.findAdapter(engine.load.adapter); found {
		keeper.adapters[index].failedAt[engine.name] = keeper.now
	}
	engine.load = nil
}

// expireLoads gives up loads that take too long.
func (keeper *Keeper) expireLoads() {
	for _, engine := range keeper.engines {
		if engine.load != nil && keeper.now-engine.load.orderedAt > keeper.config.LoadTimeout {
			keeper.failLoad(engine)
		}
	}
}

// loadsUnderWay counts the engines that load, by order of this or an earlier
// keeper.
func (keeper *Keeper) loadsUnderWay() int {
	count := 0
	for _, engine := range keeper.engines {
		if engine.load != nil {
			count++
		}
	}
	return count
}

// orderLoads orders what calls wait for, as far as the bound on loads allows.
func (keeper *Keeper) orderLoads() {
	for keeper.loadsUnderWay() < keeper.config.MaxLoads {
		adapter, engine := keeper.nextLoad()
		if adapter == nil {
			break
		}
		keeper.orderLoad(adapter, engine)
	}
	for _, adapter := range keeper.adapters {
		adapter.scarce = false
	}
}

// nextLoad chooses the wanted adapter whose last order is the longest ago, and
// the engine to load it on; nil if there is none.
func (keeper *Keeper) nextLoad() (*adapterState, *engineState) {
	var chosen *adapterState
	var target *engineState
	for _, adapter := range keeper.adapters {
		if !keeper.wanted(adapter) || chosen != nil && chosen.orderedAt <= adapter.orderedAt {
			continue
		}
		if engine := keeper.engineToLoad(adapter); engine != nil {
			chosen = adapter
			target = engine
		}
	}
	return chosen, target
}

// wanted tells whether an adapter should be loaded on one more engine.
func (keeper *Keeper) wanted(adapter *adapterState) bool {
	if adapter.waiting.Len() == 0 && !adapter.scarce {
		return false
	}
	expected := false
	for _, engine := range keeper.engines {
		if engine.load != nil && engine.load.adapter == adapter.name {
			return false
		}
		expected = expected || engine.allowed() && engine.has(adapter.name)
	}
	// An engine that has it and is not ready may be so again in a moment.
	return !expected || adapter.scarce || keeper.now-adapter.since > keeper.config.AdapterPatience
}

// engineToLoad returns the ready engine with the most free slots that may load
// the adapter; nil if none may.
func (keeper *Keeper) engineToLoad(adapter *adapterState) *engineState {
	var chosen *engineState
	for _, engine := range keeper.engines {
		if !keeper.mayLoad(engine, adapter) {
			continue
		}
		if chosen == nil || keeper.freeSlots(engine) > keeper.freeSlots(chosen) {
			chosen = engine
		}
	}
	return chosen
}

// mayLoad tells whether the engine can be ordered to load the adapter now.
func (keeper *Keeper) mayLoad(engine *engineState, adapter *adapterState) bool {
	busy := engine.loading || engine.load != nil
	if !engine.ready() || busy || engine.has(adapter.name) {
		return false
	}
	if adapter.scarce && keeper.freeSlots(engine) == 0 {
		return false
	}
	if adapter.model != "" && engine.model != "" && engine.model != adapter.model {
		return false
	}
	failedAt, failed := adapter.failedAt[engine.name]
	return !failed || keeper.now-failedAt > keeper.config.LoadRetry
}

func (keeper *Keeper) orderLoad(adapter *adapterState, engine *engineState) {
	adapter.orderedAt = keeper.now
	engine.load = &adapterLoad{adapter: adapter.name, orderedAt: keeper.now}
	why := "calls wait for it and no ready engine has it"
	if adapter.scarce {
		why = "calls wait long for the engines that have it"
	}
	keeper.emit(LoadAdapter{
		Engine: engine.name, Model: engine.model, Version: engine.version, Adapter: adapter.name, Why: why,
	})
}

// predictLoad is how long a call that arrives now will wait for its adapter.
func (keeper *Keeper) predictLoad(adapter string) time.Duration {
	if keeper.served(adapter) {
		return 0
	}
	ahead := 0
	for _, other := range keeper.adapters {
		if other.name != adapter && other.waiting.Len() > 0 {
			ahead++
		}
	}
	turns := 1 + ahead/keeper.config.MaxLoads
	return time.Duration(turns) * seconds(keeper.estimates.load())
}

// changedAdapters takes the reported adapters in. Calls bound to the engine are
// bound anew when it has lost any.
func (keeper *Keeper) changedAdapters(engine *engineState, reported []string) {
	lost := slices.ContainsFunc(engine.adapters, func(adapter string) bool {
		return !slices.Contains(reported, adapter)
	})
	engine.adapters = reported
	if lost {
		keeper.unbind(engine)
	}
}
