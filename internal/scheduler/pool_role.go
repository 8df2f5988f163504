package scheduler

import (
	"context"

	"github.com/magpielug/magpielug/internal/keeper"
)

// orderRole passes the keeper's order to change a role on to the engine.
func (pool *pool) orderRole(order keeper.SetRole) {
	engine, found := pool.engines[order.Engine]
	if !found {
		return
	}
	pool.core.log("engine_role_ordered", pool.shard, "", "", order.Engine+" "+order.Role)
	pool.core.emit(SetRole{
		Engine:  order.Engine,
		Address: engine.Address,
		Role:    order.Role,
		Fence:   pool.fenceOf(order.Engine),
	})
}

func (traffic *traffic) setRole(effect SetRole) {
	traffic.order("engine_role_failed", "", func(ctx context.Context) error {
		return traffic.engines.SetRole(ctx, effect.Address, effect.Role, effect.Fence)
	})
}
