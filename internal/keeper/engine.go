package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/queue"
)

// engineState is the keeper's state of one engine.
type engineState struct {
	name  string
	model string
	zone  string

	// state is the engine's state in charts.Engine. Only a ready engine gets
	// grants.
	state      charts.EngineState
	reportedAt time.Duration
	// callFailed is true from a failed call until the engine's next report.
	// Without it, a crashed engine would fail every attempt of a call until its
	// report is overdue.
	callFailed bool
	// role is the reported role. roleRequestedAt is the time of the last role
	// command, if roleRequested.
	role            string
	roleRequested   bool
	roleRequestedAt time.Duration
	// leaving is reported by the engine.
	leaving  bool
	version  string
	adapters []string
	// loading is the flag of the last report. load is the load in progress, or
	// nil if none is known.
	loading      bool
	load         *adapterLoad
	runningLimit int
	memoryTokens int

	// running holds the granted calls, unordered.
	running []*runningCall
	// usedTokens is the predicted KV memory of the running calls.
	usedTokens int
	prefixes   prefixList
	// claims is a cache, valid unless claimsStale.
	claims      []claim
	claimsStale bool
	// bound holds the calls bound to the engine on arrival.
	bound *queue.Queue[*waitingCall]
}

// findEngine returns the engine's index in the sorted list and whether it is
// present.
func (keeper *Keeper) findEngine(name string) (int, bool) {
	return slices.BinarySearchFunc(keeper.engines, name, func(engine *engineState, name string) int {
		return strings.Compare(engine.name, name)
	})
}

// engineNamed returns the engine, or nil if it is unknown.
func (keeper *Keeper) engineNamed(name string) *engineState {
	index, found := keeper.findEngine(name)
	if !found {
		return nil
	}
	return keeper.engines[index]
}

// ensureEngine returns the engine, adding it if needed.
func (keeper *Keeper) ensureEngine(name string) *engineState {
	index, found := keeper.findEngine(name)
	if !found {
		engine := &engineState{
			name:  name,
			state: charts.Engine.Initial(),
			bound: queue.New[*waitingCall](keeper.config.ReservedShare),
		}
		keeper.engines = slices.Insert(keeper.engines, index, engine)
		keeper.updateDrain(engine)
	}
	return keeper.engines[index]
}

// limit is the maximum number of concurrent calls on the engine.
func (keeper *Keeper) limit(engine *engineState) int {
	target := keeper.config.TargetRunning
	if target == 0 {
		return engine.runningLimit
	}
	return min(target, engine.runningLimit)
}

// freeSlots is the number of calls that can be granted on the engine now.
func (keeper *Keeper) freeSlots(engine *engineState) int {
	if !engine.ready() {
		return 0
	}
	return max(keeper.limit(engine)-len(engine.running), 0)
}

// fits reports whether the engine has KV memory for a call. An idle engine
// takes any call: it rejects a call larger than its memory itself.
func (engine *engineState) fits(kvTokens int) bool {
	if len(engine.running) == 0 || engine.memoryTokens == 0 {
		return true
	}
	return engine.usedTokens+kvTokens <= engine.memoryTokens
}

// pressure is the fraction of KV memory, 0 to 1, held by running calls and idle
// prefixes.
func (engine *engineState) pressure() float64 {
	if engine.memoryTokens == 0 {
		return 0
	}
	held := engine.usedTokens + engine.prefixes.idleTokens
	return min(float64(held)/float64(engine.memoryTokens), 1)
}

// trimPrefixes drops the least recently used idle prefixes that do not fit
// beside the running calls, mirroring the engine's own eviction.
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

// removeEngine removes an engine and ends its grants without an effect: the
// leaders detect the failed calls themselves.
func (keeper *Keeper) removeEngine(name string) {
	index, found := keeper.findEngine(name)
	if !found {
		return
	}
	engine := keeper.engines[index]
	if engine.state == charts.EngineStateDraining && len(engine.running) == 0 {
		engine.transition(charts.EngineEventEmptied)
	}
	for len(engine.running) > 0 {
		keeper.endGrant(engine.running[len(engine.running)-1])
	}
	engine.prefixes.dropAll()
	keeper.unbind(engine)
	engine.transition(charts.EngineEventLost)
	keeper.engines = slices.Delete(keeper.engines, index, index+1)
}

// unbind moves the calls bound to an engine back to the pool's queue, where
// they are bound again. They keep their ranks.
func (keeper *Keeper) unbind(engine *engineState) {
	for engine.bound.Len() > 0 {
		call := engine.bound.Pop().Value
		call.engine = nil
		call.item = keeper.pool.Push(call, call.rank)
	}
}
