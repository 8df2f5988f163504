package scheduler

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// checkAdapter holds a call to the adapters that its model's service lists.
func (core *Core) checkAdapter(model, adapter string) *resultcode.Error {
	if adapter == "" || core.configuration == nil {
		return nil
	}
	service, found := core.configuration.Service(model)
	if found && slices.Contains(service.Adapters, adapter) {
		return nil
	}
	return resultcode.New(resultcode.UnknownTarget, "service %s has no adapter %s", model, adapter)
}

// orderLoad passes the keeper's order to load an adapter on to the engine.
func (pool *pool) orderLoad(order keeper.LoadAdapter) {
	engine, found := pool.engines[order.Engine]
	if !found || pool.core.checkAdapter(order.Model, order.Adapter) != nil {
		pool.step(keeper.LoadFailed{Engine: order.Engine, Adapter: order.Adapter})
		return
	}
	pool.core.log("adapter_load_ordered", pool.shard, "", "", order.Engine+" "+order.Adapter+": "+order.Why)
	pool.core.emit(LoadAdapter{
		Engine:  order.Engine,
		Address: engine.Address,
		Model:   order.Model,
		Version: order.Version,
		Adapter: order.Adapter,
		Fence:   pool.fenceOf(order.Engine),
	})
}

// loadRefused tells the keeper that an engine did not take its order.
func (core *Core) loadRefused(event LoadRefused) {
	for _, name := range core.poolNames() {
		if _, found := core.pools[name].engines[event.Engine]; found {
			core.pools[name].step(keeper.LoadFailed{Engine: event.Engine, Adapter: event.Adapter})
		}
	}
}

// loadAdapter gives the order once: an engine that got it twice would move the
// weights twice. What becomes of an order whose answer is lost, the engine's
// reports tell.
func (traffic *traffic) loadAdapter(effect LoadAdapter) {
	ctx, cancel := context.WithTimeout(traffic.ctx, orderTimeout)
	defer cancel()
	err := traffic.engines.Load(ctx, effect.Address, effect.Model, effect.Adapter, effect.Version, effect.Fence)
	if err == nil || traffic.ctx.Err() != nil {
		return
	}
	traffic.logger.Warn("engine_load_failed",
		zap.String("engine", effect.Engine), zap.String("adapter", effect.Adapter), zap.String("error", err.Error()))
	if errors.Is(err, outside.ErrNotRun) {
		traffic.post(LoadRefused{Engine: effect.Engine, Adapter: effect.Adapter})
	}
}
