package keeper

// removeLeader drops the waiting calls and ends the grants of one shard's
// leader. It emits no effects, because the leader is gone; a new leader offers
// its calls again.
func (keeper *Keeper) removeLeader(leader string, shard uint32) {
	for _, call := range keeper.waiting {
		if call.request.Leader == leader && call.request.Shard == shard {
			keeper.dropCall(call)
		}
	}
	for _, engine := range keeper.engines {
		// Iterate backwards: endGrant moves the last call into the freed index.
		for index := len(engine.running) - 1; index >= 0; index-- {
			call := engine.running[index]
			if call.request.Leader == leader && call.request.Shard == shard {
				keeper.endGrant(call)
			}
		}
	}
}

// applyHeldGrants restores unknown grants and ends those that the leader no
// longer holds.
func (keeper *Keeper) applyHeldGrants(event GrantsHeld) {
	held := make(map[CallKey]struct{}, len(event.Grants))
	for _, grant := range event.Grants {
		held[grant.Request.Call] = struct{}{}
		keeper.restoreGrant(grant)
	}
	for _, engine := range keeper.engines {
		for index := len(engine.running) - 1; index >= 0; index-- {
			call := engine.running[index]
			_, confirmed := held[call.request.Call]
			overdue := keeper.now-call.grantedAt > keeper.config.GrantConfirmTimeout
			if call.request.Leader == event.Leader && !confirmed && overdue {
				keeper.endGrant(call)
			}
		}
	}
}

// EachGrant calls visit for every grant attributed to leader, in unspecified
// order.
func (keeper *Keeper) EachGrant(leader string, visit func(call CallKey, engine string)) {
	for _, engine := range keeper.engines {
		for _, call := range engine.running {
			if call.request.Leader == leader {
				visit(call.request.Call, engine.name)
			}
		}
	}
}

// restoreGrant adds a grant that this keeper does not know, made by an earlier
// keeper or ended here too early. It counts against the engine's limit even if
// that exceeds the limit.
func (keeper *Keeper) restoreGrant(grant HeldGrant) {
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
	rank := keeper.policies.Order.Rank(keeper.orderCall(&request))
	program := keeper.registerCall(&request)
	call := &runningCall{
		request:  request,
		program:  program,
		tier:     keeper.tiers.ensure(&request, rank.Band),
		kvTokens: keeper.predictKVTokens(&request, program),
	}
	keeper.startCall(call, keeper.ensureEngine(grant.Engine))
	keeper.recordDecision(request.Call, "take over", "granted by an earlier keeper")
}
