package keeper

import "time"

// freezeThreshold is the time between two steps above which the process is
// assumed to have been suspended. Ticks are far more frequent, and shorter gaps
// have little effect on the grant rates.
const freezeThreshold = 2 * time.Second

// excludeFreeze excludes a suspension of the process from the grant rates.
// Otherwise a band would appear to have had a backlog without grants, and its
// next call would be refused for an excessive predicted wait.
func (keeper *Keeper) excludeFreeze(gap time.Duration) {
	for _, rate := range keeper.tiers.bands {
		rate.countedAt += gap
		rate.idleAt += gap
	}
}
