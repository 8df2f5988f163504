package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
)

// awaitEngine waits a moment for an engine with room, or refuses.
func (current *course) awaitEngine(ctx context.Context) error {
	patience := current.engineWait() - time.Since(current.searching)
	if patience <= 0 {
		if current.runs > 0 {
			return current.outcomeUnknown()
		}
		return resultcode.New(resultcode.NoBackEnd, "none of %d engines of %s has room, %d refusals",
			current.service.Engines.Usable(current.serviceName), current.serviceName, current.refusals).After(fullRetry)
	}
	current.service.Waiting.Wait(ctx, current.serviceName, current.aim(), patience)
	current.waited = true
	if current.runs == 0 || current.route.Repeatable() {
		current.tried = current.tried[:0]
	}
	return nil
}

// engineWait is how long the call waits for a free engine in all.
func (current *course) engineWait() time.Duration {
	objective := current.route.Objective
	if objective == 0 {
		objective = fallbackObjective
	}
	wait := time.Duration(refusalShare * float64(objective))
	if current.call.Program == "" || current.route.Kind == routing.Streaming || !feature.Enabled(feature.ToolPatience) {
		return wait
	}
	return max(wait, time.Duration(toolWaitShare*float64(current.end.Sub(current.call.Received))))
}

// aim is when the call's program should be over, or the call itself. A call that
// is about to be given up is as urgent as one whose program is nearly over.
func (current *course) aim() time.Time {
	givenUp := current.searching.Add(current.engineWait())
	if current.call.Aim.IsZero() || (current.call.Aim.After(givenUp) && current.call.Aim.After(time.Now())) {
		return givenUp
	}
	return current.call.Aim
}
