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

// A caller may take mostWriting of a stream's time to read it, or quickWriting where that is
// more, for the time between events to tell something of the engine.
const (
	mostWriting  = 0.1
	quickWriting = 5 * time.Millisecond
)

// silentCount counts a request against its engine while it has got no byte of an answer for
// unusually long. It is safe for concurrent use.
type silentCount struct {
	engines *backend.Directory
	engine  backend.Instance

	mutex   sync.Mutex
	counted bool
	// over is true once nothing more may be counted.
	over bool
}

// count counts the request, unless that is over.
func (silent *silentCount) count() {
	silent.mutex.Lock()
	defer silent.mutex.Unlock()
	if !silent.over {
		silent.counted = true
		silent.engines.CountFailed(silent.engine, time.Now())
	}
}

// end keeps what was counted, or takes it back.
func (silent *silentCount) end(takeBack bool) {
	silent.mutex.Lock()
	defer silent.mutex.Unlock()
	silent.over = true
	if takeBack && silent.counted {
		silent.counted = false
		silent.engines.UncountFailed(silent.engine, time.Now())
	}
}

// watch passes the engine over for other requests once this one has got no byte of an answer
// for unusually long. What it returns ends the watch with the attempt's outcome, and tells
// what that is where nothing has come until its caller left.
func (current *course) watch(engine *backend.Engine, attempt *Attempt) func(backend.Outcome) backend.Outcome {
	began := time.Now()
	engines := current.service.Engines
	limit := max(silenceShare*current.route.Objective, leastSilence, engines.FirstByteTimeout(current.serviceName))
	current.endSilence = sync.OnceFunc(func() { engines.EndFirstByteWait(engine) })
	var silent atomic.Bool
	count := &silentCount{engines: engines, engine: engine.Instance}
	timer := current.service.FreezeDetector.AfterFunc(limit, func() {
		silent.Store(true)
		engines.Suspect(engine, time.Now())
		if !attempt.Delegated.Load() {
			count.count()
		}
		current.service.Logger.Info("engine suspected", zap.String("request", current.call.ID),
			zap.String("engine", engine.ID), zap.Duration("silent", limit))
	})
	current.heard = func() {
		timer.Stop()
		current.endSilence()
		if !current.service.FreezeDetector.FrozenSince(began) {
			engines.RecordFirstByte(engine, current.paceRoute(), time.Since(began), time.Now())
		}
		count.end(true)
	}
	current.streamed = func() {
		took := current.lastEvent.Sub(current.firstEvent)
		quick := current.writing <= max(time.Duration(mostWriting*float64(took)), quickWriting)
		if quick && !current.service.FreezeDetector.FrozenSince(current.firstEvent) {
			engines.ObserveEvents(engine, int(current.events), took, time.Now())
		}
	}
	return func(outcome backend.Outcome) backend.Outcome {
		timer.Stop()
		// One that failed is counted with its end.
		count.end(outcome == backend.Failed)
		if outcome == backend.Abandoned && silent.Load() && !current.begun {
			return backend.NoResponse
		}
		return outcome
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
	if current.route.Kind != routing.Safe || current.runs+1 >= current.route.MaxAttempts || !feature.Enabled(feature.SafeRepeats) {
		return func() {}
	}
	patience := max(current.route.Objective, leastRepeat, current.service.Engines.FirstByteTimeout(current.serviceName))
	timer := current.service.FreezeDetector.AfterFunc(patience, func() {
		current.service.Logger.Info("request repeated elsewhere", zap.String("request", current.call.ID),
			zap.String("engine", engine.ID), zap.Duration("silent", patience))
		giveUp()
	})
	return timer.Stop
}
