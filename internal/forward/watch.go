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

// watch passes the engine over for other requests once this one has got no byte
// of an answer for unusually long. What it returns ends the watch, and tells
// whether that is still so.
func (current *course) watch(engine *backend.Engine, attempt *Attempt) func() bool {
	began := time.Now()
	engines := current.service.Engines
	limit := max(silenceShare*current.route.Objective, leastSilence, engines.Patience(current.serviceName))
	current.endSilence = sync.OnceFunc(func() { engines.EndSilence(engine) })
	var silent, counted atomic.Bool
	timer := time.AfterFunc(limit, func() {
		silent.Store(true)
		engines.Suspect(engine, time.Now())
		if !attempt.HandedOver.Load() {
			counted.Store(true)
			engines.CountFailed(engine.ID, time.Now())
		}
		current.service.Logger.Info("engine suspected", zap.String("request", current.call.ID),
			zap.String("engine", engine.ID), zap.Duration("silent", limit))
	})
	current.heard = func() {
		timer.Stop()
		current.endSilence()
		engines.Heard(engine, current.paceRoute(), time.Since(began), time.Now())
		if counted.Swap(false) {
			engines.UncountFailed(engine.ID, time.Now())
		}
	}
	current.streamed = func() {
		engines.ObserveEvents(engine, int(current.events), current.lastEvent.Sub(current.firstEvent), time.Now())
	}
	return func() bool {
		timer.Stop()
		return silent.Load() && !current.begun
	}
}

// paceRoute is the route whose usual wait the call's is compared with, empty where the
// wait says little of the engine: that of a model's turn depends on its prompt, on what
// of it the engine's memory holds, and on the turns before it. A failure comes at once.
func (current *course) paceRoute() string {
	if current.route.Kind == routing.Streaming || current.status >= http.StatusInternalServerError {
		return ""
	}
	return current.route.Name
}

// repeatWhereSilent gives an attempt of a safe request up that has got no answer
// for long, while it may be sent to another engine. An engine may run a request and
// lose its answer. What it returns ends the watch.
func (current *course) repeatWhereSilent(engine *backend.Engine, giveUp context.CancelFunc) func() {
	if current.route.Kind != routing.Safe || current.runs+1 >= current.route.Attempts || !feature.Enabled(feature.SafeRepeats) {
		return func() {}
	}
	patience := max(current.route.Objective, leastRepeat, current.service.Engines.Patience(current.serviceName))
	timer := time.AfterFunc(patience, func() {
		current.service.Logger.Info("request repeated elsewhere", zap.String("request", current.call.ID),
			zap.String("engine", engine.ID), zap.Duration("silent", patience))
		giveUp()
	})
	return func() { timer.Stop() }
}
