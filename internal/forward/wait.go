package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
)

// CapacityRefusal is the reason why a call was refused for lack of capacity.
type CapacityRefusal string

// Reasons for a refusal.
const (
	// WaitExpired: the call has waited for the maximum time.
	WaitExpired CapacityRefusal = "patience"
	// WaitPredictedTooLong: the predicted wait exceeds the maximum.
	WaitPredictedTooLong CapacityRefusal = "predicted"
	// DeadlineTooClose: an engine could not respond before the deadline.
	DeadlineTooClose CapacityRefusal = "time"
	// NoEngineAvailable: engines of the service are known, but none in the allowed zones accepts
	// new calls.
	NoEngineAvailable CapacityRefusal = "closed"
	// TooManyRefusals: the call has reached its limit of refusals by engines.
	TooManyRefusals CapacityRefusal = "refused"
)

// waitForEngine waits in the queue for an engine with capacity, or refuses the call.
func (inflight *inflightCall) waitForEngine(ctx context.Context) error {
	waiter := backend.Waiter{Service: inflight.serviceName, Priority: inflight.priority(), SoftDeadline: inflight.softDeadline(), Resumes: inflight.requiredVersion != nil, MayAttempt: inflight.mayAttempt}
	forecast, predicted := inflight.predict(waiter)
	wait, reason := inflight.maxWait(forecast, predicted)
	if reason != "" {
		return inflight.refuseForCapacity(reason, forecast)
	}
	inflight.service.WaitQueue.Wait(ctx, waiter, wait)
	inflight.hasWaited = true
	inflight.refusalState.RecordWait()
	if inflight.executions == 0 || inflight.route.Repeatable() {
		inflight.triedEngines = inflight.triedEngines[:0]
	}
	return nil
}

// mayAttempt reports whether the call may attempt to reach an engine now. The queue calls it while
// the call waits.
func (inflight *inflightCall) mayAttempt() bool {
	now := time.Now()
	if inflight.requiredVersion != nil && !inflight.service.Engines.HasCapacity(inflight.engineRequest(), now) {
		return false
	}
	return inflight.refusalState.MayAttempt(&inflight.service.RetryBudget, now)
}

// predict returns the forecast of the call's wait, false if there is no basis for one.
func (inflight *inflightCall) predict(waiter backend.Waiter) (backend.Forecast, bool) {
	if !feature.Enabled(feature.LoadBasedCapacity) {
		return backend.Forecast{}, false
	}
	now := time.Now()
	queue := inflight.service.WaitQueue
	forecast, known := inflight.service.Engines.Predict(waiter, queue.Ahead(waiter, now), queue.CountByPriority(waiter.Service), now)
	if !inflight.hasWaited {
		inflight.initialForecast = forecast
	}
	return forecast, known
}

// maxWait returns how long the call may still wait, or why it must be refused now. A call that
// cannot be served in time is refused early, so that its caller can retry elsewhere and it does not
// delay other calls.
func (inflight *inflightCall) maxWait(forecast backend.Forecast, predicted bool) (time.Duration, CapacityRefusal) {
	if inflight.requiredVersion == nil && inflight.service.Engines.NoneAvailable(inflight.serviceName, inflight.zones) {
		return 0, NoEngineAvailable
	}
	wait := inflight.maxEngineWait() - time.Since(inflight.searchStarted)
	if wait <= 0 {
		return 0, WaitExpired
	}
	if inflight.refusalState.Exhausted() {
		return 0, TooManyRefusals
	}
	if !feature.Enabled(feature.LoadBasedCapacity) {
		return wait, ""
	}
	slack := time.Until(inflight.deadline) - inflight.service.Engines.MeanDuration(inflight.serviceName)
	switch {
	case slack <= 0:
		return 0, DeadlineTooClose
	case inflight.requiredVersion != nil:
		// The forecast is that of new requests to engines of all versions.
		return min(wait, slack, resumptionPollInterval), ""
	case predicted && forecast.Exceeds(min(wait, slack)):
		return 0, WaitPredictedTooLong
	}
	return min(wait, slack), ""
}

// refuseForCapacity returns the error of a call for which no engine has capacity, or an unknown
// outcome if an engine may have run an earlier attempt.
func (inflight *inflightCall) refuseForCapacity(reason CapacityRefusal, forecast backend.Forecast) error {
	if inflight.executions > 0 {
		return inflight.outcomeUnknownError()
	}
	inflight.service.Metrics.RefusedForCapacity(inflight.serviceName, reason)
	return resultcode.New(resultcode.NoBackEnd, "none of %d engines of %s has capacity (%s): %d refusals, %d calls ahead, predicted wait %s",
		inflight.service.Engines.EligibleCount(inflight.serviceName), inflight.serviceName, reason, inflight.refusalState.Refusals, forecast.Ahead, forecast.Wait).
		WithRetryAfter(inflight.capacityRetryAfter(forecast))
}

// capacityRetryAfter returns the retry delay until capacity is predicted. The scheduler spreads the
// retries of refused calls.
func (inflight *inflightCall) capacityRetryAfter(forecast backend.Forecast) time.Duration {
	if forecast.Wait == 0 {
		return defaultCapacityRetryAfter
	}
	maxDelay := max(time.Duration(maxCapacityRetryFraction*float64(time.Until(inflight.deadline))), defaultCapacityRetryAfter)
	return inflight.service.RetryScheduler.RetryAfter(inflight.serviceName, max(forecast.Wait, defaultCapacityRetryAfter), forecast.Interval, maxDelay, time.Now())
}

// maxEngineWait returns how long the call may wait for an engine in total.
func (inflight *inflightCall) maxEngineWait() time.Duration {
	objective := inflight.route.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	wait := time.Duration(engineWaitFraction * float64(objective))
	if (inflight.continuesProgram || inflight.requiredVersion != nil) && feature.Enabled(feature.LoadBasedCapacity) {
		return max(wait, time.Duration(continuedTurnWaitFraction*float64(inflight.deadline.Sub(inflight.call.Received))))
	}
	if inflight.call.Program == "" || inflight.route.Kind == routing.Streaming || !feature.Enabled(feature.LongerToolWait) {
		return wait
	}
	return max(wait, time.Duration(toolWaitFraction*float64(inflight.deadline.Sub(inflight.call.Received))))
}

// softDeadline returns the time by which the queue orders the call: the program's soft deadline, or
// the end of the call's maximum wait if that is earlier or the program has none. A missed soft
// deadline is returned unchanged.
func (inflight *inflightCall) softDeadline() time.Time {
	waitEnd := inflight.searchStarted.Add(inflight.maxEngineWait())
	if inflight.call.SoftDeadline.IsZero() || (inflight.call.SoftDeadline.After(waitEnd) && inflight.call.SoftDeadline.After(time.Now())) {
		return waitEnd
	}
	return inflight.call.SoftDeadline
}
