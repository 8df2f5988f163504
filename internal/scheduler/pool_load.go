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

// checkAdapter checks that the model's service lists the adapter.
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

// issueLoad passes the keeper's command to load an adapter to the engine.
func (pool *pool) issueLoad(command keeper.LoadAdapter) {
	engine, found := pool.engines[command.Engine]
	if !found || pool.core.checkAdapter(command.Model, command.Adapter) != nil {
		pool.step(keeper.LoadFailed{Engine: command.Engine, Adapter: command.Adapter})
		return
	}
	pool.core.log("adapter_load_ordered", pool.shard, "", "", command.Engine+" "+command.Adapter+": "+command.Why)
	pool.core.emit(LoadAdapter{
		Engine:  command.Engine,
		Address: engine.Address,
		Model:   command.Model,
		Version: command.Version,
		Adapter: command.Adapter,
		Fence:   pool.fenceOf(command.Engine),
	})
}

// loadRefused notifies the keeper that an engine rejected its load command.
func (core *Core) loadRefused(event LoadRefused) {
	for _, name := range core.poolNames() {
		if _, found := core.pools[name].engines[event.Engine]; found {
			core.pools[name].step(keeper.LoadFailed{Engine: event.Engine, Adapter: event.Adapter})
		}
	}
}

// loadAdapter sends the command only once, because an engine would transfer the weights again.
// If the answer is lost, the engine's load reports show the result.
func (executor *executor) loadAdapter(effect LoadAdapter) {
	ctx, cancel := context.WithTimeout(executor.ctx, commandTimeout)
	defer cancel()
	err := executor.engines.Load(ctx, effect.Address, effect.Model, effect.Adapter, effect.Version, effect.Fence)
	if err == nil || executor.ctx.Err() != nil {
		return
	}
	executor.logger.Warn("engine_load_failed",
		zap.String("engine", effect.Engine), zap.String("adapter", effect.Adapter), zap.String("error", err.Error()))
	if errors.Is(err, outside.ErrNotRun) {
		executor.post(LoadRefused{Engine: effect.Engine, Adapter: effect.Adapter})
	}
}
