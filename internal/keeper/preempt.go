package keeper

// maxPreemptions limits how often one program is preempted, so that it can
// finish.
const maxPreemptions = 3

// preempt cancels at most one running lower-tier call for the calls at the head
// of the queue if no slot is expected to free soon.
func (keeper *Keeper) preempt() {
	if !keeper.config.Preempt || keeper.pool.Len() == 0 {
		return
	}
	head := keeper.pool.PeekHighestBand().Value
	if !keeper.shouldPreempt(head) {
		return
	}
	victim := keeper.preemptionVictim(head.request.Weight)
	if victim == nil {
		return
	}
	victim.preempting = true
	victim.program.preemptions++
	why := "a call of a higher tier is waiting"
	keeper.recordDecision(victim.request.Call, "preempt", why)
	keeper.emit(Preempt{Request: victim.request, Engine: victim.engine.name, Why: why})
}

// shouldPreempt reports whether the head of the queue would wait longer than
// PreemptWait and the pending preemptions do not free enough slots.
func (keeper *Keeper) shouldPreempt(head *waitingCall) bool {
	running, pending := 0, 0
	for _, engine := range keeper.engines {
		if keeper.freeSlots(engine) > 0 {
			return false
		}
		running += len(engine.running)
		pending += engine.pendingPreemptions()
	}
	_, waiting := keeper.pool.CountAtOrAbove(head.rank.Band)
	if running == 0 || pending >= waiting {
		return false
	}
	expected := seconds(keeper.estimates.hold() * float64(waiting) / float64(running))
	waited := keeper.now - head.queuedAt
	return max(expected, waited) > keeper.config.PreemptWait
}

// pendingPreemptions counts the engine's calls that are being preempted.
func (engine *engineState) pendingPreemptions() int {
	count := 0
	for _, call := range engine.running {
		if call.preempting {
			count++
		}
	}
	return count
}

// preemptionVictim returns the most recently granted call of the lowest tier
// that may be preempted for the weight, or nil if there is none.
func (keeper *Keeper) preemptionVictim(weight uint32) *runningCall {
	var victim *runningCall
	for _, engine := range keeper.engines {
		if !engine.ready() {
			continue
		}
		for _, call := range engine.running {
			if keeper.canPreempt(call, weight) && (victim == nil || betterVictim(call, victim)) {
				victim = call
			}
		}
	}
	return victim
}

func (keeper *Keeper) canPreempt(call *runningCall, weight uint32) bool {
	if call.preempting || call.cancelling || !call.request.Repeatable {
		return false
	}
	if call.program.preemptions >= maxPreemptions {
		return false
	}
	return uint64(call.request.Weight)*uint64(keeper.config.PreemptRatio) <= uint64(weight)
}

// betterVictim is a total order, so that the choice does not depend on the
// order of an engine's running list.
func betterVictim(call, other *runningCall) bool {
	if call.request.Weight != other.request.Weight {
		return call.request.Weight < other.request.Weight
	}
	return call.sequence > other.sequence
}
