package keeper

// RoleMixed is the role of an engine that computes prompts and generates. It is
// what a call needs of its engine, since cache is not moved between engines.
const RoleMixed = "mixed"

// wholeCalls tells whether the engine both computes prompts and generates. One
// that does not report a role does.
func (engine *engineState) wholeCalls() bool {
	return engine.role == "" || engine.role == RoleMixed
}

// restoreRole orders an engine back that can serve no whole call, unless it is
// being taken out. The order may be lost, so it is repeated.
func (keeper *Keeper) restoreRole(engine *engineState) {
	if engine.wholeCalls() || engine.leaving || keeper.drained[engine.name] {
		return
	}
	if engine.roleOrdered && keeper.now-engine.roleOrderedAt < keeper.config.RoleRetry {
		return
	}
	engine.roleOrdered = true
	engine.roleOrderedAt = keeper.now
	keeper.emit(SetRole{Engine: engine.name, Role: RoleMixed})
}
