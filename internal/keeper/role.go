package keeper

// RoleMixed is the role of an engine that does both prefill and decode. Calls
// need it because KV cache is not transferred between engines.
const RoleMixed = "mixed"

// servesFullCalls reports whether the engine does both prefill and decode. An
// engine that reports no role is assumed to.
func (engine *engineState) servesFullCalls() bool {
	return engine.role == "" || engine.role == RoleMixed
}

// requestMixedRole tells an engine with another role to become mixed, unless it
// is draining. The command may be lost, so it is repeated every RoleRetry.
func (keeper *Keeper) requestMixedRole(engine *engineState) {
	if engine.servesFullCalls() || engine.leaving || keeper.drained[engine.name] {
		return
	}
	if engine.roleRequested && keeper.now-engine.roleRequestedAt < keeper.config.RoleRetry {
		return
	}
	engine.roleRequested = true
	engine.roleRequestedAt = keeper.now
	keeper.emit(SetRole{Engine: engine.name, Role: RoleMixed})
}
