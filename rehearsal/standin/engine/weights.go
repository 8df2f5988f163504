package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

const (
	// drainPollInterval is how often a weight switch checks for requests in flight.
	drainPollInterval = 5 * time.Millisecond
	// reserveRetryInterval is the wait after a failed call to the weight store.
	reserveRetryInterval = 200 * time.Millisecond
)

// weights are the loaded weights and those being loaded.
type weights struct {
	model    string
	version  string
	adapters []string
	// loading is the latest load request in progress, or nil. The old weights serve until
	// switching.
	loading   *wire.LoadRequest
	switching bool
}

// checkServes returns an error if requests for model and adapter cannot run.
func (loaded *weights) checkServes(model, adapter string) error {
	if loaded.switching {
		return reply.NotRun(http.StatusServiceUnavailable, wire.CodeUnavailable, "weights are being switched")
	}
	if model != loaded.model {
		return reply.NotRun(http.StatusNotFound, wire.CodeWrongModel, "the engine serves another model")
	}
	if adapter != "" && !slices.Contains(loaded.adapters, adapter) {
		return reply.NotRun(http.StatusNotFound, wire.CodeWrongModel, "the adapter is not loaded")
	}
	return nil
}

// carryOutLoad reserves a slot at the weight store, loads the weights, drains the requests
// in flight and switches.
func (engine *Engine) carryOutLoad(request *wire.LoadRequest) {
	if !engine.reserveLoad(request) || !engine.sleep(engine.config.LoadDuration) {
		return
	}
	for !engine.switchWeights(request) {
		if !engine.sleep(drainPollInterval) {
			return
		}
	}
}

// reserveLoad waits for the weight store's grant; false means that the request was
// superseded or the engine closed.
func (engine *Engine) reserveLoad(request *wire.LoadRequest) bool {
	if engine.config.Weights == nil {
		return true
	}
	for engine.isCurrent(request) {
		granted, wait, err := engine.config.Weights.Reserve(engine.closed, request.Model, request.Version)
		if err != nil {
			wait = reserveRetryInterval
		}
		if granted && err == nil {
			return true
		}
		if !engine.sleep(wait) {
			return false
		}
	}
	return false
}

func (engine *Engine) isCurrent(request *wire.LoadRequest) bool {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	return engine.weights.loading == request
}

// switchWeights switches to the requested weights once no request is in flight; false
// means to try again. A superseded request is dropped.
func (engine *Engine) switchWeights(request *wire.LoadRequest) bool {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	loaded := &engine.weights
	if loaded.loading != request {
		return true
	}
	if request.Model != loaded.model || request.Version != loaded.version {
		loaded.switching = true
		running, waiting := engine.model.Load()
		if running+waiting > 0 {
			return false
		}
		// Cache entries depend on the weights.
		engine.model.ReleaseAll(engine.now())
		loaded.adapters = nil
	}
	loaded.model = request.Model
	loaded.version = request.Version
	if request.Adapter != "" && !slices.Contains(loaded.adapters, request.Adapter) {
		loaded.adapters = append(loaded.adapters, request.Adapter)
	}
	loaded.loading = nil
	loaded.switching = false
	return true
}

// sleep returns false if the engine closes first.
func (engine *Engine) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-engine.closed.Done():
		return false
	}
}
