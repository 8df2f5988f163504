package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
)

// CapacityRefusal is why a call was refused for want of room.
type CapacityRefusal string

// Reasons of such a refusal.
const (
	// WaitExpired: the call has waited as long as it may.
	WaitExpired CapacityRefusal = "patience"
	// WaitPredictedTooLong: it would have to wait longer than it may.
	WaitPredictedTooLong CapacityRefusal = "predicted"
	// DeadlineTooClose: its time would be over before an engine had answered.
	DeadlineTooClose CapacityRefusal = "time"
	// NoEngineAvailable: engines of its service are known, and none takes new calls where it may
	// be served.
	NoEngineAvailable CapacityRefusal = "closed"
	// TooManyRefusals: as many engines have refused it as may.
	TooManyRefusals CapacityRefusal = "refused"
)

// awaitEngine waits a moment for an engine with room, or refuses.
func (current *course) awaitEngine(ctx context.Context) error {
	waiter := backend.Waiter{Service: current.serviceName, Priority: current.urgency(), SoftDeadline: current.aim(), MayAttempt: current.mayAsk}
	forecast, predicted := current.predict(waiter)
	patience, reason := current.patience(forecast, predicted)
	if reason != "" {
		return current.noRoom(reason, forecast)
	}
	current.service.WaitQueue.Wait(ctx, waiter, patience)
	current.waited = true
	current.asking.RecordWait()
	if current.runs == 0 || current.route.Repeatable() {
		current.tried = current.tried[:0]
	}
	return nil
}

// mayAsk tells whether the call may ask an engine now. It is called while the call waits.
func (current *course) mayAsk() bool {
	return current.asking.MayAttempt(&current.service.RetryBudget, time.Now())
}

// predict tells what the call would find in the queue, false where nothing is known to
// predict its wait from.
func (current *course) predict(waiter backend.Waiter) (backend.Forecast, bool) {
	if !feature.Enabled(feature.LoadBasedCapacity) {
		return backend.Forecast{}, false
	}
	now := time.Now()
	queue := current.service.WaitQueue
	forecast, known := current.service.Engines.Predict(waiter, queue.Ahead(waiter, now), queue.CountByPriority(waiter.Service), now)
	if !current.waited {
		current.forecast = forecast
	}
	return forecast, known
}

// patience is how long the call may wait on, or why it may not.
//
// It answers the load of more calls than can be served in time: one that waits all its
// patience for nothing keeps its caller from trying elsewhere, and stands before others.
func (current *course) patience(forecast backend.Forecast, predicted bool) (time.Duration, CapacityRefusal) {
	if current.service.Engines.NoneAvailable(current.serviceName, current.zones) {
		return 0, NoEngineAvailable
	}
	patience := current.engineWait() - time.Since(current.searching)
	if patience <= 0 {
		return 0, WaitExpired
	}
	if current.asking.Exhausted() {
		return 0, TooManyRefusals
	}
	if !feature.Enabled(feature.LoadBasedCapacity) {
		return patience, ""
	}
	inTime := time.Until(current.end) - current.service.Engines.TypicalDuration(current.serviceName)
	switch {
	case inTime <= 0:
		return 0, DeadlineTooClose
	case predicted && forecast.Exceeds(min(patience, inTime)):
		return 0, WaitPredictedTooLong
	}
	return min(patience, inTime), ""
}

// noRoom refuses the call. It has not run, unless an engine has got it before.
func (current *course) noRoom(reason CapacityRefusal, forecast backend.Forecast) error {
	if current.runs > 0 {
		return current.outcomeUnknown()
	}
	current.service.Meter.RefusedForCapacity(current.serviceName, reason)
	return resultcode.New(resultcode.NoBackEnd, "none of %d engines of %s has room (%s), %d refusals, %d calls ahead, predicted wait %s",
		current.service.Engines.EligibleCount(current.serviceName), current.serviceName, reason, current.asking.Refusals, forecast.Ahead, forecast.Wait).
		After(current.comeBack(forecast))
}

// comeBack is when room is predicted, each call refused in its turn.
func (current *course) comeBack(forecast backend.Forecast) time.Duration {
	if forecast.Wait == 0 {
		return fullRetry
	}
	most := max(time.Duration(fullRetryShare*float64(time.Until(current.end))), fullRetry)
	return current.service.RetryScheduler.RetryAfter(current.serviceName, max(forecast.Wait, fullRetry), forecast.Interval, most, time.Now())
}

// engineWait is how long the call waits for a free engine in all.
func (current *course) engineWait() time.Duration {
	objective := current.route.Objective
	if objective == 0 {
		objective = fallbackObjective
	}
	wait := time.Duration(refusalShare * float64(objective))
	if current.goesOn && feature.Enabled(feature.LoadBasedCapacity) {
		return max(wait, time.Duration(turnWaitShare*float64(current.end.Sub(current.call.Received))))
	}
	if current.call.Program == "" || current.route.Kind == routing.Streaming || !feature.Enabled(feature.LongerToolWait) {
		return wait
	}
	return max(wait, time.Duration(toolWaitShare*float64(current.end.Sub(current.call.Received))))
}

// aim is when the call's program should be over, or the call itself. A call that
// is about to be given up is as urgent as one whose program is nearly over.
func (current *course) aim() time.Time {
	givenUp := current.searching.Add(current.engineWait())
	if current.call.SoftDeadline.IsZero() || (current.call.SoftDeadline.After(givenUp) && current.call.SoftDeadline.After(time.Now())) {
		return givenUp
	}
	return current.call.SoftDeadline
}
