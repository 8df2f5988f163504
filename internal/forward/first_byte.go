package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/routing"
	"go.uber.org/zap"
)

// The intervals between events are not attributed to the engine if writing them to the caller took
// more than maxWriteFraction of the stream's duration and more than minWriteAllowance.
const (
	maxWriteFraction  = 0.1
	minWriteAllowance = 5 * time.Millisecond
)

// provisionalFailure counts a request as failed by its engine while the first byte of the response
// is overdue. It is safe for concurrent use.
type provisionalFailure struct {
	engines *backend.Directory
	engine  backend.Instance

	mutex   sync.Mutex
	counted bool
	// ended is true once the failure can no longer be counted.
	ended bool
}

func (failure *provisionalFailure) count() {
	failure.mutex.Lock()
	defer failure.mutex.Unlock()
	if !failure.ended {
		failure.counted = true
		failure.engines.CountFailed(failure.engine, time.Now())
	}
}

// end prevents any later count. If revert is set, it reverts a failure that was counted.
func (failure *provisionalFailure) end(revert bool) {
	failure.mutex.Lock()
	defer failure.mutex.Unlock()
	failure.ended = true
	if revert && failure.counted {
		failure.counted = false
		failure.engines.UncountFailed(failure.engine, time.Now())
	}
}

// watchFirstByte makes other requests avoid the engine once the first byte of this attempt's
// response is overdue. The returned function ends the watch with the attempt's outcome, and
// returns NoResponse instead of Abandoned if the caller gave up while the first byte was overdue.
func (inflight *inflightCall) watchFirstByte(engine *backend.Engine, attempt *Attempt) func(backend.Outcome) backend.Outcome {
	began := time.Now()
	engines := inflight.service.Engines
	timeout := max(firstByteObjectiveFactor*inflight.route.Objective, minFirstByteTimeout, engines.FirstByteTimeout(inflight.serviceName))
	inflight.endFirstByteWait = sync.OnceFunc(func() { engines.EndFirstByteWait(engine) })
	var overdue atomic.Bool
	instance := inflight.instance
	failure := &provisionalFailure{engines: engines, engine: instance}
	timer := inflight.service.FreezeDetector.AfterFunc(timeout, func() {
		overdue.Store(true)
		engines.Suspect(engine, time.Now())
		if !attempt.Delegated.Load() {
			failure.count()
		}
		inflight.service.Logger.Info("engine suspected", zap.String("request", inflight.call.ID),
			zap.String("engine", instance.ID), zap.Duration("silent", timeout))
	})
	inflight.firstByteReceived = func() {
		timer.Stop()
		inflight.endFirstByteWait()
		if !inflight.service.FreezeDetector.FrozenSince(began) {
			engines.RecordFirstByte(engine, inflight.latencyRoute(), time.Since(began), time.Now())
		}
		failure.end(true)
	}
	inflight.streamCompleted = func() {
		duration := inflight.lastEventAt.Sub(inflight.firstEventAt)
		readPromptly := inflight.writeDuration <= max(time.Duration(maxWriteFraction*float64(duration)), minWriteAllowance)
		if readPromptly && !inflight.service.FreezeDetector.FrozenSince(inflight.firstEventAt) {
			engines.RecordStreamEvents(engine, int(inflight.eventCount), duration, time.Now())
		}
	}
	return func(outcome backend.Outcome) backend.Outcome {
		timer.Stop()
		// releaseEngine counts the failure of a failed attempt, which must not be counted twice.
		failure.end(outcome == backend.Failed)
		if outcome == backend.Abandoned && overdue.Load() && !inflight.responseStarted {
			return backend.NoResponse
		}
		return outcome
	}
}

// latencyRoute returns the route whose usual time to the first byte is compared with the call's. It
// is empty if that time says little about the engine: for a turn it depends on the prompt, on the
// engine's prefix cache and on previous turns, and errors are returned immediately.
func (inflight *inflightCall) latencyRoute() string {
	if inflight.route.Kind == routing.Streaming || inflight.lastStatus >= http.StatusInternalServerError {
		return ""
	}
	return inflight.route.Name
}

// startRetryTimer cancels the attempt of a safe request without a response after a timeout, so that
// it is retried on another engine: an engine may run a request and lose its response. The returned
// function stops the timer.
func (inflight *inflightCall) startRetryTimer(engine backend.Instance, cancel context.CancelFunc) func() {
	if inflight.route.Kind != routing.Safe || inflight.executions+1 >= inflight.route.MaxAttempts || !feature.Enabled(feature.SafeRepeats) {
		return func() {}
	}
	if inflight.isSuspect() {
		// An engine that ends late would end under a request that is no longer waited for there.
		return func() {}
	}
	timeout := max(inflight.route.Objective, minRetryTimeout, inflight.service.Engines.FirstByteTimeout(inflight.serviceName))
	timer := inflight.service.FreezeDetector.AfterFunc(timeout, func() {
		inflight.service.Logger.Info("retrying request on another engine", zap.String("request", inflight.call.ID),
			zap.String("engine", engine.ID), zap.Duration("silent", timeout))
		cancel()
	})
	return timer.Stop
}
