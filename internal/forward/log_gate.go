package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// logWaitShare of its time is how long a turn that has to be recorded waits for a
	// log that is away. It leaves the caller time for another try, and stays below the
	// two seconds that callers of a stream wait for a first event.
	logWaitShare = 0.4
	// logRetryShare of what is then left is when to come back: callers that are told a
	// later time than a third of it do not come back in time.
	logRetryShare = 0.3
	// IsolatedRetryAfter is when callers are to come back to a zone that is cut off: in front of
	// the nodes it takes two questions, a second apart, to send callers to other zones.
	IsolatedRetryAfter = time.Second
	// logLook separates two looks whether the log is back.
	logLook = 25 * time.Millisecond
)

// awaitLog lets a turn that has to be recorded wait while the log answers nobody. Its
// answer could not be ended before the log is back, and its engine would have worked
// for a caller that has left by then.
func (current *course) awaitLog(ctx context.Context) error {
	if !current.recorded() || !current.service.logAway() {
		return nil
	}
	if current.service.ZoneIsolated != nil && current.service.ZoneIsolated() {
		return resultcode.New(resultcode.LogAway, "this zone is cut off from the others and the log").After(current.retryWithin(IsolatedRetryAfter))
	}
	began := time.Now()
	until := began.Add(time.Duration(logWaitShare * float64(current.end.Sub(began))))
	for current.service.logAway() {
		if ctx.Err() != nil {
			return current.timedOut(ctx)
		}
		if time.Now().After(until) {
			comeBack := time.Duration(logRetryShare * float64(time.Until(current.end)))
			return resultcode.New(resultcode.LogAway, "the log has answered no node for too long to record the turn").After(comeBack)
		}
		wait.Sleep(ctx, logLook)
	}
	current.service.Logger.Info("log back", zap.String("request", current.call.ID), zap.Duration("waited", time.Since(began)))
	return nil
}

// recorded tells whether the call is a turn whose answer ends only with its record.
func (current *course) recorded() bool {
	return current.route.StoresTurns && current.call.Turn != nil
}

func (service *Service) logAway() bool {
	return service.LogUnavailable != nil && service.LogUnavailable()
}
