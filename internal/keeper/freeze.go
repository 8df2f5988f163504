package keeper

import "time"

// frozenAfter is the time between two steps from which on the process is taken to have
// been frozen. It ticks far more often, and rates over rateMemory bear a shorter one.
const frozenAfter = 2 * time.Second

// passOverFreeze takes a freeze of the process out of the rates of grants: nothing could be
// granted and no call could wait in it. Without this a band seems to have had a backlog
// that got no grants, and its next call is refused for a wait of minutes.
func (keeper *Keeper) passOverFreeze(gap time.Duration) {
	for _, rate := range keeper.tiers.bands {
		rate.counted += gap
		rate.idleAt += gap
	}
}
