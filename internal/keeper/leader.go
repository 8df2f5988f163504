package keeper

// loseLeader drops the waiting calls and ends the grants of one shard's leader.
// Nobody is left to tell, so there is no effect; a new leader offers its calls
// again.
func (keeper *Keeper) loseLeader(leader string, shard uint32) {
	for _, call := range keeper.waiting {
		if call.request.Leader == leader && call.request.Shard == shard {
			keeper.dropCall(call)
		}
	}
	for _, engine := range keeper.engines {
		// Ending a grant moves the last one into its place.
		for index := len(engine.running) - 1; index >= 0; index-- {
			call := engine.running[index]
			if call.request.Leader == leader && call.request.Shard == shard {
				keeper.endGrant(call)
			}
		}
	}
}

// applyHeldGrants takes over grants that the keeper does not know, and ends
// those that their leader no longer holds.
func (keeper *Keeper) applyHeldGrants(event GrantsHeld) {
	held := make(map[CallKey]struct{}, len(event.Grants))
	for _, grant := range event.Grants {
		held[grant.Request.Call] = struct{}{}
		keeper.takeOver(grant)
	}
	for _, engine := range keeper.engines {
		for index := len(engine.running) - 1; index >= 0; index-- {
			call := engine.running[index]
			_, confirmed := held[call.request.Call]
			overdue := keeper.now-call.grantedAt > keeper.config.GrantConfirm
			if call.request.Leader == event.Leader && !confirmed && overdue {
				keeper.endGrant(call)
			}
		}
	}
}

// EachGrant shows every grant that the keeper counts as held by a leader, in no
// order.
func (keeper *Keeper) EachGrant(leader string, show func(call CallKey, engine string)) {
	for _, engine := range keeper.engines {
		for _, call := range engine.running {
			if call.request.Leader == leader {
				show(call.request.Call, engine.name)
			}
		}
	}
}

// takeOver enters a grant made by an earlier keeper, or by this one before it
// forgot, into the books. It counts against the engine's limit even when that
// leaves the engine over it.
func (keeper *Keeper) takeOver(grant HeldGrant) {
	request := grant.Request
	if known := keeper.running[request.Call]; known != nil {
		// The program's shard may have a new leader.
		known.request.Leader = request.Leader
		known.request.Shard = request.Shard
		return
	}
	if waiting := keeper.waiting[request.Call]; waiting != nil {
		keeper.dropCall(waiting)
	}
	rank := keeper.policies.Order.Rank(keeper.describe(&request))
	program := keeper.seeProgram(&request)
	call := &runningCall{
		request: request,
		program: program,
		tier:    keeper.tiers.of(&request, rank.Band),
		need:    keeper.needTokens(&request, program),
	}
	keeper.startCall(call, keeper.ensureEngine(grant.Engine))
	keeper.decide(request.Call, "take over", "granted by an earlier keeper")
}
