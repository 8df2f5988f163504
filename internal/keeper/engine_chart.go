package keeper

import (
	"time"

	"github.com/magpielug/magpielug/charts"
)

// transition applies an event of the engine chart. An event that the current
// state does not accept has no effect.
func (engine *engineState) transition(event charts.EngineEvent) {
	engine.state, _ = charts.Engine.Next(engine.state, event)
}

// ready reports whether the engine gets new grants.
func (engine *engineState) ready() bool { return engine.state == charts.EngineStateReady }

// schedulable reports whether an engine could get grants apart from missing
// reports and failed calls: it is not draining, has slots and serves full
// calls.
func (engine *engineState) schedulable() bool {
	return engine.state != charts.EngineStateDraining && engine.runningLimit > 0 && engine.servesFullCalls()
}

// reportAge is the time since the engine's last report.
func (keeper *Keeper) reportAge(engine *engineState) time.Duration {
	return keeper.now - engine.reportedAt
}

// updateReadiness makes the engine ready if its last report is recent, shows
// slots and a role that serves full calls, and no call has failed since.
// Otherwise the report counts as overdue.
func (keeper *Keeper) updateReadiness(engine *engineState) {
	valid := keeper.reportAge(engine) <= keeper.config.ReportTimeout && !engine.callFailed
	if valid && engine.runningLimit > 0 && engine.servesFullCalls() {
		engine.transition(charts.EngineEventReported)
		return
	}
	engine.transition(charts.EngineEventReportOverdue)
}

// detectSilentEngines stops grants on engines whose report is overdue.
func (keeper *Keeper) detectSilentEngines() {
	for _, engine := range keeper.engines {
		if engine.ready() && keeper.reportAge(engine) > keeper.config.ReportTimeout {
			engine.transition(charts.EngineEventReportOverdue)
		}
	}
}

// updateDrain drains the engine if it is leaving or was drained through
// EngineDraining, and ends the drain otherwise.
func (keeper *Keeper) updateDrain(engine *engineState) {
	if engine.leaving || keeper.drained[engine.name] {
		engine.transition(charts.EngineEventDrain)
		return
	}
	engine.transition(charts.EngineEventDrainWithdrawn)
}

// drainEngine stops new grants on an engine and unbinds the calls bound to it.
func (keeper *Keeper) drainEngine(name string) {
	keeper.drained[name] = true
	if engine := keeper.engineNamed(name); engine != nil {
		keeper.updateDrain(engine)
		keeper.unbind(engine)
	}
}

// resumeEngine ends a drain by EngineDraining. The engine is ready again at
// once if its last report is recent.
func (keeper *Keeper) resumeEngine(name string) {
	delete(keeper.drained, name)
	if engine := keeper.engineNamed(name); engine != nil {
		keeper.updateDrain(engine)
		keeper.updateReadiness(engine)
	}
}

// recordCallFailure stops grants on an engine that failed a call until its next
// report, and requests one.
func (keeper *Keeper) recordCallFailure(engine *engineState) {
	engine.callFailed = true
	engine.transition(charts.EngineEventCallFailed)
	keeper.emit(CheckEngine{Engine: engine.name})
}
