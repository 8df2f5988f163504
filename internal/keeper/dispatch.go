package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/placement"
	"github.com/magpielug/magpielug/internal/queue"
)

// dispatch grants free slots to waiting calls until none can be granted.
func (keeper *Keeper) dispatch() {
	if len(keeper.waiting) == 0 {
		return
	}
	if keeper.policies.Placement.BindOnArrival {
		keeper.bindArrivals()
		keeper.dispatchBound()
		return
	}
	for keeper.pool.Len() > 0 && keeper.anyFreeSlot() {
		if !keeper.grantNext() {
			return
		}
	}
}

func (keeper *Keeper) anyFreeSlot() bool {
	for _, engine := range keeper.engines {
		if keeper.freeSlots(engine) > 0 {
			return true
		}
	}
	return false
}

// dispatchBound grants each engine's free slots to the calls bound to it. A
// call that does not fit in memory blocks the calls behind it.
func (keeper *Keeper) dispatchBound() {
	for _, engine := range keeper.engines {
		for engine.bound.Len() > 0 && keeper.freeSlots(engine) > 0 {
			item := engine.bound.Pop()
			engine.bound.Restore(item)
			if !engine.fits(item.Value.kvTokens) {
				break
			}
			keeper.grantFrom(engine.bound, item, engine)
		}
	}
}

// maxDeferredFactor limits the calls deferred in one pass, as a multiple of
// LookAhead. Calls whose adapter has no free slot do not count against
// LookAhead.
const maxDeferredFactor = 8

// grantNext tries waiting calls in order and grants the first one that can run
// now. It defers those before it, which wait for an engine with their prefix,
// for memory or for their adapter. It reports whether a call was granted.
func (keeper *Keeper) grantNext() bool {
	keeper.fillCandidates()
	keeper.deferred = keeper.deferred[:0]
	var chosen *queue.Item[*waitingCall]
	var target *engineState
	for tried := 0; tried < keeper.config.LookAhead && len(keeper.deferred) < maxDeferredFactor*keeper.config.LookAhead; {
		item := keeper.popAvailable()
		if item == nil {
			break
		}
		keeper.deferred = append(keeper.deferred, item)
		if !keeper.adapterHasFreeSlot(item.Value.request.Adapter) {
			keeper.markUnderReplicated(item.Value)
			continue
		}
		tried++
		if target = keeper.engineFor(item.Value); target != nil {
			chosen = item
			break
		}
	}
	for _, item := range keeper.deferred {
		keeper.pool.Restore(item)
		if item != chosen {
			keeper.recordDeferral(item.Value, chosen != nil)
		}
	}
	clear(keeper.deferred)
	if chosen == nil {
		return false
	}
	keeper.grantFrom(keeper.pool, chosen, target)
	return true
}

// recordDeferral records that a call was deferred in a dispatch pass; skipped is
// true if a later call was granted instead.
func (keeper *Keeper) recordDeferral(call *waitingCall, skipped bool) {
	if skipped {
		call.skipped++
	}
	if !call.deferred {
		call.deferred = true
		call.deferredSince = keeper.now
	}
}

// mayKeepWaiting reports whether a call may still wait for the engine it
// prefers.
func (keeper *Keeper) mayKeepWaiting(call *waitingCall) bool {
	if call.skipped >= keeper.skipLimit() {
		return false
	}
	return !call.deferred || keeper.now-call.deferredSince < keeper.config.MaxAffinityWait
}

// minSkipLimit is the lower bound of the default skip limit, for small pools.
const minSkipLimit = 16

// skipLimit returns how many later calls may be granted before a waiting call.
func (keeper *Keeper) skipLimit() int {
	if keeper.config.MaxSkips > 0 {
		return keeper.config.MaxSkips
	}
	return max(keeper.slotTotal, minSkipLimit)
}

// engineFor returns the engine to grant the call on now, or nil if it should
// wait.
func (keeper *Keeper) engineFor(call *waitingCall) *engineState {
	keeper.updateCandidates(call)
	if !keeper.mayKeepWaiting(call) {
		keeper.excludeBusyCandidates()
	}
	placementCall := call.placementCall()
	placementCall.MayEvict = keeper.pool.HasFullCredit(call.item) && call.skipped >= keeper.skipLimit()
	index := keeper.policies.Placement.Place(&placementCall, keeper.candidates)
	if index == placement.None {
		if call.skipped >= keeper.skipLimit() && !keeper.anyCandidateFree() {
			keeper.reserveEngine(call)
		}
		return nil
	}
	if keeper.candidates[index].FreeSlots == 0 {
		keeper.slots[index].expectedCalls++
		return nil
	}
	return keeper.engines[index]
}

// slotState is the state of an engine during one dispatch pass.
type slotState struct {
	ready bool
	free  int
	// expectedCalls counts the calls deferred in this pass that wait for the
	// engine.
	expectedCalls int
	// evictingTokens and evictingRank describe the smallest call found in this
	// pass to evict higher-ranked prefixes; evictingTokens is 0 if there is
	// none.
	evictingTokens int
	evictingRank   queue.Rank
}

// checkEviction is evictsHigherRanked with a shortcut: a call that needs at
// least as much memory as one found to evict, and ranks after it, evicts too,
// unless its own program has a prefix on the engine.
func (keeper *Keeper) checkEviction(slot *slotState, engine *engineState, call *waitingCall) bool {
	implied := slot.evictingTokens > 0 && call.kvTokens >= slot.evictingTokens && slot.evictingRank.Before(call.rank)
	if implied && call.program.prefixOn(engine) == nil {
		return true
	}
	evicts := keeper.evictsHigherRanked(engine, call)
	if evicts && (slot.evictingTokens == 0 || call.kvTokens < slot.evictingTokens) {
		slot.evictingTokens = call.kvTokens
		slot.evictingRank = call.rank
	}
	return evicts
}

// fillCandidates initializes the candidates and slot states for one dispatch
// pass.
func (keeper *Keeper) fillCandidates() {
	keeper.candidates = keeper.candidates[:0]
	keeper.slots = keeper.slots[:0]
	keeper.slotTotal = 0
	prefill := keeper.estimates.prefillPerToken()
	for _, engine := range keeper.engines {
		ready := engine.ready()
		if ready {
			keeper.slotTotal += keeper.limit(engine)
		}
		keeper.slots = append(keeper.slots, slotState{ready: ready, free: keeper.freeSlots(engine)})
		keeper.candidates = append(keeper.candidates, placement.Candidate{
			Engine:          engine.name,
			Model:           engine.model,
			Zone:            engine.zone,
			Adapters:        engine.adapters,
			Running:         len(engine.running),
			Waiting:         engine.bound.Len(),
			Limit:           keeper.limit(engine),
			FreeTokens:      engine.memoryTokens - engine.usedTokens - engine.prefixes.idleTokens,
			PrefillPerToken: prefill,
		})
	}
}

// updateCandidates sets the candidate fields that depend on the call.
func (keeper *Keeper) updateCandidates(call *waitingCall) {
	for index, engine := range keeper.engines {
		candidate := &keeper.candidates[index]
		slot := &keeper.slots[index]
		candidate.Ready = slot.ready
		candidate.CachedTokens = keeper.expectedCached(call, engine)
		candidate.FreeSlots = slot.free
		if !engine.fits(call.kvTokens) {
			candidate.FreeSlots = 0
		}
		candidate.EvictsHigherRanked = candidate.FreeSlots > 0 && keeper.checkEviction(slot, engine, call)
		candidate.PredictedWait = 0
		if candidate.FreeSlots == 0 {
			candidate.PredictedWait = keeper.slotWait(engine, slot.expectedCalls)
		}
	}
}

// slotWait predicts when a full engine has a free slot for one more call after
// the expected ones.
func (keeper *Keeper) slotWait(engine *engineState, expectedCalls int) time.Duration {
	running := max(len(engine.running), 1)
	return seconds(keeper.estimates.hold() * float64(1+expectedCalls) / float64(running))
}

// excludeBusyCandidates marks candidates without a free slot as not ready.
func (keeper *Keeper) excludeBusyCandidates() {
	for index := range keeper.candidates {
		candidate := &keeper.candidates[index]
		candidate.Ready = candidate.Ready && candidate.FreeSlots > 0
	}
}

// anyCandidateFree reports whether any candidate has a slot and memory for the
// call of the last updateCandidates.
func (keeper *Keeper) anyCandidateFree() bool {
	for index := range keeper.candidates {
		if keeper.candidates[index].FreeSlots > 0 {
			return true
		}
	}
	return false
}

// reserveEngine keeps later calls in this pass off the engine with the least
// memory in use, so that small calls do not starve a large one.
func (keeper *Keeper) reserveEngine(call *waitingCall) {
	chosen := placement.None
	for index, engine := range keeper.engines {
		if !keeper.slots[index].ready || !engine.hasAdapter(call.request.Adapter) {
			continue
		}
		if chosen == placement.None || engine.usedTokens < keeper.engines[chosen].usedTokens {
			chosen = index
		}
	}
	if chosen != placement.None {
		keeper.slots[chosen].ready = false
	}
}

// sharedPrefixDivisor is the assumed ratio of a parent's prefix to the part
// that its sub-agents share.
const sharedPrefixDivisor = 2

// expectedCached estimates how many of the call's prompt tokens are cached.
func (keeper *Keeper) expectedCached(call *waitingCall, engine *engineState) int {
	cached := call.program.cachedOn(engine)
	if cached == 0 && call.parent != nil {
		cached = call.parent.cachedOn(engine) / sharedPrefixDivisor
	}
	cached = max(cached, call.program.kindStats().sharedTokens())
	return min(cached, call.request.PromptTokens)
}
