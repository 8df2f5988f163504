package keeper

import (
	"fmt"
	"time"
)

// RefusalContext is the state of the pool when a call was refused, for logging.
type RefusalContext struct {
	// Engines is the number of known engines, Ready the number that get grants.
	Engines int
	Ready   int
	// Slots is the number of slots on ready engines, Free those without a
	// grant.
	Slots   int
	Free    int
	Waiting int
	// NewestReport is the age of the most recent load report; 0 if there is
	// none.
	NewestReport time.Duration
	// Predicted is the predicted wait of a new call in the same band; 0 if the
	// refusal was not for overload.
	Predicted time.Duration
}

// String formats the fields as key=value pairs.
func (refusal RefusalContext) String() string {
	return fmt.Sprintf("engines=%d ready=%d slots=%d free=%d waiting=%d newest_report=%s predicted_wait=%s",
		refusal.Engines, refusal.Ready, refusal.Slots, refusal.Free, refusal.Waiting, refusal.NewestReport, refusal.Predicted)
}

// refusalContext returns the current state of the pool for a refusal.
func (keeper *Keeper) refusalContext(predicted time.Duration) RefusalContext {
	refusal := RefusalContext{Engines: len(keeper.engines), Waiting: len(keeper.waiting), Predicted: predicted}
	newest := time.Duration(0)
	for _, engine := range keeper.engines {
		newest = max(newest, engine.reportedAt)
		if engine.ready() {
			refusal.Ready++
			refusal.Slots += keeper.limit(engine)
			refusal.Free += keeper.freeSlots(engine)
		}
	}
	if newest > 0 {
		refusal.NewestReport = keeper.now - newest
	}
	return refusal
}
