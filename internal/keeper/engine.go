package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/queue"
)

// engineState is one engine of the pool.
type engineState struct {
	name  string
	model string
	zone  string

	// state follows the engine chart; only a ready engine gets grants.
	state      charts.EngineState
	reportedAt time.Duration
	// failed is true from a failed call to the engine's next report: one that
	// has died would fail all attempts of a call until it counts as silent.
	failed bool
	// role is what the engine reports; roleOrderedAt is when it was last ordered to
	// change it, if roleOrdered.
	role          string
	roleOrdered   bool
	roleOrderedAt time.Duration
	// leaving is what the engine itself says.
	leaving  bool
	version  string
	adapters []string
	// loading is what the last report says; load is the order under way, nil if
	// none is known.
	loading      bool
	load         *adapterLoad
	runningLimit int
	memoryTokens int

	// running are the calls granted here, in no order that matters.
	running []*runningCall
	// usedTokens is the KV memory the running calls are expected to need.
	usedTokens int
	prefixes   prefixList
	// claims is valid unless claimsStale.
	claims      []claim
	claimsStale bool
	// bound holds the calls bound here on arrival.
	bound *queue.Queue[*waitingCall]
}

// findEngine returns the engine's place in the sorted list.
func (keeper *Keeper) findEngine(name string) (int, bool) {
	return slices.BinarySearchFunc(keeper.engines, name, func(engine *engineState, name string) int {
		return strings.Compare(engine.name, name)
	})
}

// engineNamed returns the engine, nil if it is not known.
func (keeper *Keeper) engineNamed(name string) *engineState {
	index, found := keeper.findEngine(name)
	if !found {
		return nil
	}
	return keeper.engines[index]
}

// ensureEngine returns the engine and makes it if it is not known.
func (keeper *Keeper) ensureEngine(name string) *engineState {
	index, found := keeper.findEngine(name)
	if !found {
		engine := &engineState{
			name:  name,
			state: charts.Engine.Initial(),
			bound: queue.New[*waitingCall](keeper.config.ReservedShare),
		}
		keeper.engines = slices.Insert(keeper.engines, index, engine)
		keeper.followDrain(engine)
	}
	return keeper.engines[index]
}

// limit is how many calls may run on the engine together.
func (keeper *Keeper) limit(engine *engineState) int {
	target := keeper.config.TargetRunning
	if target == 0 {
		return engine.runningLimit
	}
	return min(target, engine.runningLimit)
}

// freeSlots is how many more calls may be granted on the engine now.
func (keeper *Keeper) freeSlots(engine *engineState) int {
	if !engine.ready() {
		return 0
	}
	return max(keeper.limit(engine)-len(engine.running), 0)
}

// fits tells whether the engine has KV memory for a call. An engine that runs
// nothing takes any call: the engine itself judges one larger than its memory.
func (engine *engineState) fits(need int) bool {
	if len(engine.running) == 0 || engine.memoryTokens == 0 {
		return true
	}
	return engine.usedTokens+need <= engine.memoryTokens
}

// pressure is the part of KV memory in use by running calls and kept prefixes,
// 0 to 1.
func (engine *engineState) pressure() float64 {
	if engine.memoryTokens == 0 {
		return 0
	}
	held := engine.usedTokens + engine.prefixes.idleTokens
	return min(float64(held)/float64(engine.memoryTokens), 1)
}

// trimPrefixes forgets the least recently used idle prefixes that no longer fit
// beside the running calls, as the engine's own eviction does.
func (engine *engineState) trimPrefixes() {
	if engine.memoryTokens == 0 {
		return
	}
	for engine.usedTokens+engine.prefixes.idleTokens > engine.memoryTokens {
		oldest := engine.prefixes.oldestIdle()
		if oldest == nil {
			return
		}
		oldest.drop()
	}
}

// loseEngine removes an engine. Its grants end; their leaders find the calls
// failed on their own.
func (keeper *Keeper) loseEngine(name string) {
	index, found := keeper.findEngine(name)
	if !found {
		return
	}
	engine := keeper.engines[index]
	if engine.state == charts.EngineStateDraining && len(engine.running) == 0 {
		engine.follow(charts.EngineEventEmptied)
	}
	for len(engine.running) > 0 {
		keeper.endGrant(engine.running[len(engine.running)-1])
	}
	engine.prefixes.dropAll()
	keeper.unbind(engine)
	engine.follow(charts.EngineEventLost)
	keeper.engines = slices.Delete(keeper.engines, index, index+1)
}

// unbind moves the calls bound to an engine back to the pool's queue, where
// they are bound anew. Their ranks keep their place.
func (keeper *Keeper) unbind(engine *engineState) {
	for engine.bound.Len() > 0 {
		call := engine.bound.Pop().Value
		call.engine = nil
		call.item = keeper.pool.Push(call, call.rank)
	}
}
