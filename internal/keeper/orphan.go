package keeper

// reassignGrants attributes all grants of a shard to the leader that listed the
// shard's programs. The leader that received a grant may be gone and never
// report its end; the new leader's GrantsHeld then ends it.
func (keeper *Keeper) reassignGrants(event ProgramsLive) {
	for _, engine := range keeper.engines {
		for _, call := range engine.running {
			if call.request.Shard == event.Shard {
				call.request.Leader = event.Leader
			}
		}
	}
}
