package scheduler

import (
	"context"

	"github.com/magpielug/magpielug/internal/keeper"
)

// issueRoleChange passes the keeper's command to change a role to the engine.
func (pool *pool) issueRoleChange(command keeper.SetRole) {
	engine, found := pool.engines[command.Engine]
	if !found {
		return
	}
	pool.core.log("engine_role_ordered", pool.shard, "", "", command.Engine+" "+command.Role)
	pool.core.emit(SetRole{
		Engine:  command.Engine,
		Address: engine.Address,
		Role:    command.Role,
		Fence:   pool.fenceOf(command.Engine),
	})
}

func (executor *executor) setRole(effect SetRole) {
	executor.sendCommand("engine_role_failed", "", func(ctx context.Context) error {
		return executor.engines.SetRole(ctx, effect.Address, effect.Role, effect.Fence)
	})
}
