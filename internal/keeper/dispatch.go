package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/placement"
	"github.com/magpielug/magpielug/internal/queue"
)

// dispatch grants free slots to waiting calls until no more can be granted.
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
		if !keeper.dispatchOne() {
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
// call that does not fit in memory yet holds up those behind it.
func (keeper *Keeper) dispatchBound() {
	for _, engine := range keeper.engines {
		for engine.bound.Len() > 0 && keeper.freeSlots(engine) > 0 {
			item := engine.bound.Pop()
			engine.bound.Restore(item)
			if !engine.fits(item.Value.need) {
				break
			}
			keeper.grantFrom(engine.bound, item, engine)
		}
	}
}

// mostPassed bounds the calls that are passed over for a full adapter without
// being tried, in multiples of LookAhead.
const mostPassed = 8

// dispatchOne tries waiting calls in turn and grants the first that has an
// engine now. Those before it are passed over: they wait for the engine that
// has their prefix, or for memory.
func (keeper *Keeper) dispatchOne() bool {
	keeper.fillCandidates()
	keeper.aside = keeper.aside[:0]
	var chosen *queue.Item[*waitingCall]
	var target *engineState
	for tried := 0; tried < keeper.config.LookAhead && len(keeper.aside) < mostPassed*keeper.config.LookAhead; {
		item := keeper.takeServed()
		if item == nil {
			break
		}
		keeper.aside = append(keeper.aside, item)
		if !keeper.adapterHasSlot(item.Value.request.Adapter) {
			keeper.noteScarce(item.Value)
			continue
		}
		tried++
		if target = keeper.engineFor(item.Value); target != nil {
			chosen = item
			break
		}
	}
	for _, item := range keeper.aside {
		keeper.pool.Restore(item)
		if item != chosen {
			keeper.passOver(item.Value, chosen != nil)
		}
	}
	clear(keeper.aside)
	if chosen == nil {
		return false
	}
	keeper.grantFrom(keeper.pool, chosen, target)
	return true
}

// passOver notes that a call could have been granted another engine than the
// one it waits for; skipped tells that a later call was.
func (keeper *Keeper) passOver(call *waitingCall, skipped bool) {
	if skipped {
		call.skips++
	}
	if !call.held {
		call.held = true
		call.heldSince = keeper.now
	}
}

// patient tells whether a call may still wait for the engine it prefers.
func (keeper *Keeper) patient(call *waitingCall) bool {
	if call.skips >= keeper.maxSkips() {
		return false
	}
	return !call.held || keeper.now-call.heldSince < keeper.config.MaxHold
}

// leastSkips bounds the skips of a small pool from below.
const leastSkips = 16

// maxSkips is how many grants may pass a waiting call.
func (keeper *Keeper) maxSkips() int {
	if keeper.config.MaxSkips > 0 {
		return keeper.config.MaxSkips
	}
	return max(keeper.slotTotal, leastSkips)
}

// engineFor returns the engine to grant the call on now, nil if it should wait.
func (keeper *Keeper) engineFor(call *waitingCall) *engineState {
	keeper.fitCandidates(call)
	if !keeper.patient(call) {
		keeper.onlyFreeCandidates()
	}
	placed := call.placed()
	placed.MayEvict = keeper.pool.HasFullCredit(call.item) && call.skips >= keeper.maxSkips()
	index := keeper.policies.Placement.Place(&placed, keeper.candidates)
	if index == placement.None {
		if call.skips >= keeper.maxSkips() && !keeper.fitsSomewhere() {
			keeper.reserveFor(call)
		}
		return nil
	}
	if keeper.candidates[index].FreeSlots == 0 {
		keeper.slots[index].claimed++
		return nil
	}
	return keeper.engines[index]
}

// slotState is what one dispatch knows of an engine beside its candidate.
type slotState struct {
	ready bool
	free  int
	// claimed counts calls passed over in this dispatch that wait for the engine.
	claimed int
	// crowdedNeed and crowdedRank are of the smallest call found crowded out in
	// this dispatch; crowdedNeed is 0 before any was.
	crowdedNeed int
	crowdedRank queue.Rank
}

// judgeCrowded is crowded, but saves the look at every claim for a call that
// needs no less than one found crowded out and is ranked after it.
func (keeper *Keeper) judgeCrowded(slot *slotState, engine *engineState, call *waitingCall) bool {
	implied := slot.crowdedNeed > 0 && call.need >= slot.crowdedNeed && slot.crowdedRank.Before(call.rank)
	if implied && call.program.prefixOn(engine) == nil {
		return true
	}
	crowded := keeper.crowded(engine, call)
	if crowded && (slot.crowdedNeed == 0 || call.need < slot.crowdedNeed) {
		slot.crowdedNeed = call.need
		slot.crowdedRank = call.rank
	}
	return crowded
}

// fillCandidates describes the engines for one dispatch.
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

// fitCandidates fills in what depends on the call.
func (keeper *Keeper) fitCandidates(call *waitingCall) {
	for index, engine := range keeper.engines {
		candidate := &keeper.candidates[index]
		slot := &keeper.slots[index]
		candidate.Ready = slot.ready
		candidate.CachedTokens = keeper.expectedCached(call, engine)
		candidate.FreeSlots = slot.free
		if !engine.fits(call.need) {
			candidate.FreeSlots = 0
		}
		candidate.EvictsHigherRanked = candidate.FreeSlots > 0 && keeper.judgeCrowded(slot, engine, call)
		candidate.PredictedWait = 0
		if candidate.FreeSlots == 0 {
			candidate.PredictedWait = keeper.slotWait(engine, slot.claimed)
		}
	}
}

// slotWait predicts when a slot of a full engine frees for one more call behind
// those that claimed it.
func (keeper *Keeper) slotWait(engine *engineState, claimed int) time.Duration {
	running := max(len(engine.running), 1)
	return seconds(keeper.estimates.hold() * float64(1+claimed) / float64(running))
}

// onlyFreeCandidates leaves the engines that can take the call now.
func (keeper *Keeper) onlyFreeCandidates() {
	for index := range keeper.candidates {
		candidate := &keeper.candidates[index]
		candidate.Ready = candidate.Ready && candidate.FreeSlots > 0
	}
}

// fitsSomewhere tells whether an engine has a slot and memory for the call that
// the candidates were filled in for.
func (keeper *Keeper) fitsSomewhere() bool {
	for index := range keeper.candidates {
		if keeper.candidates[index].FreeSlots > 0 {
			return true
		}
	}
	return false
}

// reserveFor keeps the engine that will fit the call soonest from calls ranked
// after it, so that small calls can't starve a large one.
func (keeper *Keeper) reserveFor(call *waitingCall) {
	chosen := placement.None
	for index, engine := range keeper.engines {
		if !keeper.slots[index].ready || !engine.has(call.request.Adapter) {
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

// sharedPart is the part of a parent's prefix that a sub-agent is taken to
// share, as a divisor.
const sharedPart = 2

// expectedCached is how much of the call's prompt is thought to be cached.
func (keeper *Keeper) expectedCached(call *waitingCall, engine *engineState) int {
	cached := call.program.cachedOn(engine)
	if cached == 0 && call.parent != nil {
		cached = call.parent.cachedOn(engine) / sharedPart
	}
	cached = max(cached, call.program.kindRecord().sharedTokens())
	return min(cached, call.request.PromptTokens)
}
