package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// logWaitFraction is the fraction of its remaining time for which a turn that must be recorded
	// waits for an unavailable log. It leaves the caller time for a retry, and keeps the wait below
	// the two seconds after which callers abandon a stream without an event.
	logWaitFraction = 0.4
	// maxRetryAfterFraction is the largest retry delay as a fraction of the call's remaining time:
	// callers do not retry after more than a third of it.
	maxRetryAfterFraction = 0.3
	// IsolatedRetryAfter is the retry delay in an isolated zone. The load balancer in front of the
	// nodes needs two health checks, a second apart, to send callers to other zones.
	IsolatedRetryAfter = time.Second
	logPollInterval    = 25 * time.Millisecond
)

// waitForLog makes a turn that must be recorded wait while the log is unavailable. Its response can
// complete only once it is recorded, so running it earlier could waste the engine's work.
func (inflight *inflightCall) waitForLog(ctx context.Context) error {
	if !inflight.mustRecord() || !inflight.service.logUnavailable() {
		return nil
	}
	if inflight.service.ZoneIsolated != nil && inflight.service.ZoneIsolated() {
		return resultcode.New(resultcode.LogAway, "zone is isolated from the other zones and the log").WithRetryAfter(inflight.clampRetryAfter(IsolatedRetryAfter))
	}
	began := time.Now()
	waitUntil := began.Add(time.Duration(logWaitFraction * float64(inflight.deadline.Sub(began))))
	for inflight.service.logUnavailable() {
		if ctx.Err() != nil {
			return inflight.timeoutError(ctx)
		}
		if time.Now().After(waitUntil) {
			retryAfter := time.Duration(maxRetryAfterFraction * float64(time.Until(inflight.deadline)))
			return resultcode.New(resultcode.LogAway, "log unavailable for too long to record the turn").WithRetryAfter(retryAfter)
		}
		wait.Sleep(ctx, logPollInterval)
	}
	inflight.service.Logger.Info("log available again", zap.String("request", inflight.call.ID), zap.Duration("waited", time.Since(began)))
	return nil
}

// mustRecord reports whether the call is a turn that must be recorded before its response ends.
func (inflight *inflightCall) mustRecord() bool {
	return inflight.route.StoresTurns && inflight.call.Turn != nil
}

func (service *Service) logUnavailable() bool {
	return service.LogUnavailable != nil && service.LogUnavailable()
}
