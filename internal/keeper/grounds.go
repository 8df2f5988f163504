package keeper

import (
	"fmt"
	"time"
)

// Grounds are what a keeper knew of its pool when it refused a call, for the log.
type Grounds struct {
	// Engines counts those known, Ready those that get grants.
	Engines int
	Ready   int
	// Slots are of the ready engines, Free those without a grant.
	Slots   int
	Free    int
	Waiting int
	// NewestReport is how old the newest load report of an engine is, 0 where none has come.
	NewestReport time.Duration
	// Predicted is the wait of a new call of the same band.
	Predicted time.Duration
}

// String writes the grounds as key=value pairs.
func (grounds Grounds) String() string {
	return fmt.Sprintf("engines=%d ready=%d slots=%d free=%d waiting=%d newest_report=%s predicted_wait=%s",
		grounds.Engines, grounds.Ready, grounds.Slots, grounds.Free, grounds.Waiting, grounds.NewestReport, grounds.Predicted)
}

// grounds describes the pool as it is.
func (keeper *Keeper) grounds(predicted time.Duration) Grounds {
	grounds := Grounds{Engines: len(keeper.engines), Waiting: len(keeper.waiting), Predicted: predicted}
	newest := time.Duration(0)
	for _, engine := range keeper.engines {
		newest = max(newest, engine.reportedAt)
		if engine.ready() {
			grounds.Ready++
			grounds.Slots += keeper.limit(engine)
			grounds.Free += keeper.freeSlots(engine)
		}
	}
	if newest > 0 {
		grounds.NewestReport = keeper.now - newest
	}
	return grounds
}
