package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

const (
	// drainPoll is how often a switch of weights looks for the last request.
	drainPoll = 5 * time.Millisecond
	// reserveRetry is the wait after the weight store failed to answer.
	reserveRetry = 200 * time.Millisecond
)

// weights are what the engine has loaded and what it loads now.
type weights struct {
	model    string
	version  string
	adapters []string
	// loading is the newest order under way, nil when none. The old weights
	// serve until switching.
	loading   *wire.LoadRequest
	switching bool
}

// serves tells whether requests for model and adapter can run.
func (loaded *weights) serves(model, adapter string) error {
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

// load carries out an order in the background: reserve a slot at the weight
// store, move the weights, let the requests under way finish, switch.
func (engine *Engine) load(order *wire.LoadRequest) {
	if !engine.reserve(order) || !engine.pause(engine.config.LoadDuration) {
		return
	}
	for !engine.switchWeights(order) {
		if !engine.pause(drainPoll) {
			return
		}
	}
}

// reserve waits for the weight store's grant; false when the order is
// superseded or the engine closed.
func (engine *Engine) reserve(order *wire.LoadRequest) bool {
	if engine.config.Weights == nil {
		return true
	}
	for engine.isCurrent(order) {
		granted, wait, err := engine.config.Weights.Reserve(engine.closed, order.Model, order.Version)
		if err != nil {
			wait = reserveRetry
		}
		if granted && err == nil {
			return true
		}
		if !engine.pause(wait) {
			return false
		}
	}
	return false
}

func (engine *Engine) isCurrent(order *wire.LoadRequest) bool {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	return engine.weights.loading == order
}

// switchWeights puts an order in force once nothing runs; false to try again. A
// superseded order is dropped.
func (engine *Engine) switchWeights(order *wire.LoadRequest) bool {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	loaded := &engine.weights
	if loaded.loading != order {
		return true
	}
	if order.Model != loaded.model || order.Version != loaded.version {
		loaded.switching = true
		running, waiting := engine.model.Load()
		if running+waiting > 0 {
			return false
		}
		// Cache entries of other weights are of no use.
		engine.model.ReleaseAll(engine.now())
		loaded.adapters = nil
	}
	loaded.model = order.Model
	loaded.version = order.Version
	if order.Adapter != "" && !slices.Contains(loaded.adapters, order.Adapter) {
		loaded.adapters = append(loaded.adapters, order.Adapter)
	}
	loaded.loading = nil
	loaded.switching = false
	return true
}

// pause waits; false when the engine closed.
func (engine *Engine) pause(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-engine.closed.Done():
		return false
	}
}
