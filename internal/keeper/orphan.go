package keeper

// adoptGrants has the leader that lists a shard's programs answer for all of the
// shard's grants. The process that was granted them may be gone, and would never
// tell that they have ended; the next list of grants held by the new leader does.
func (keeper *Keeper) adoptGrants(event ProgramsLive) {
	for _, engine := range keeper.engines {
		for _, call := range engine.running {
			if call.request.Shard == event.Shard {
				call.request.Leader = event.Leader
			}
		}
	}
}
