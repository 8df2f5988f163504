package keeper

// maxPreemptions is how often one program may be preempted, so that it ends.
const maxPreemptions = 3

// preempt cancels running low-tier calls for the calls that wait at the head of
// the queue, when a slot is not expected to free soon.
func (keeper *Keeper) preempt() {
	if !keeper.config.Preempt || keeper.pool.Len() == 0 {
		return
	}
	head := keeper.pool.PeekHighestBand().Value
	if !keeper.worthPreempting(head) {
		return
	}
	victim := keeper.preemptionVictim(head.request.Weight)
	if victim == nil {
		return
	}
	victim.preempting = true
	victim.program.preemptions++
	why := "a higher tier waits"
	keeper.decide(victim.request.Call, "preempt", why)
	keeper.emit(Preempt{Request: victim.request, Engine: victim.engine.name, Why: why})
}

// worthPreempting tells whether slots free too slowly for the head of the queue
// and are not on their way already.
func (keeper *Keeper) worthPreempting(head *waitingCall) bool {
	running, pending := 0, 0
	for _, engine := range keeper.engines {
		if keeper.freeSlots(engine) > 0 {
			return false
		}
		running += len(engine.running)
		pending += engine.preempting()
	}
	_, waiting := keeper.pool.CountAtOrAbove(head.rank.Band)
	if running == 0 || pending >= waiting {
		return false
	}
	expected := seconds(keeper.estimates.hold() * float64(waiting) / float64(running))
	waited := keeper.now - head.queuedAt
	return max(expected, waited) > keeper.config.PreemptWait
}

// preempting counts the engine's calls that are being preempted.
func (engine *engineState) preempting() int {
	count := 0
	for _, call := range engine.running {
		if call.preempting {
			count++
		}
	}
	return count
}

// preemptionVictim returns the call that loses least: of the lightest tier, the
// one granted last. Nil if no call may be preempted for the weight.
func (keeper *Keeper) preemptionVictim(weight uint32) *runningCall {
	var victim *runningCall
	for _, engine := range keeper.engines {
		if !engine.ready() {
			continue
		}
		for _, call := range engine.running {
			if keeper.mayPreempt(call, weight) && (victim == nil || losesLess(call, victim)) {
				victim = call
			}
		}
	}
	return victim
}

func (keeper *Keeper) mayPreempt(call *runningCall, weight uint32) bool {
	if call.preempting || call.cancelling || !call.request.Repeatable {
		return false
	}
	if call.program.preemptions >= maxPreemptions {
		return false
	}
	return uint64(call.request.Weight)*uint64(keeper.config.PreemptRatio) <= uint64(weight)
}

// losesLess is a total order, so the choice does not depend on where calls
// stand in an engine's list.
func losesLess(call, other *runningCall) bool {
	if call.request.Weight != other.request.Weight {
		return call.request.Weight < other.request.Weight
	}
	return call.sequence > other.sequence
}
