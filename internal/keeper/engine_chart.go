package keeper

import (
	"time"

	"github.com/magpielug/magpielug/charts"
)

// follow moves the engine along its chart. A refused event changes nothing.
func (engine *engineState) follow(event charts.EngineEvent) {
	engine.state, _ = charts.Engine.Next(engine.state, event)
}

// ready tells whether the engine may get new grants.
func (engine *engineState) ready() bool { return engine.state == charts.EngineStateReady }

// allowed tells whether an engine that shows slots is being taken out neither by
// itself nor by an operator or the machine list.
func (engine *engineState) allowed() bool {
	return engine.state != charts.EngineStateDraining && engine.runningLimit > 0 && engine.wholeCalls()
}

// silence is how long ago the engine has reported.
func (keeper *Keeper) silence(engine *engineState) time.Duration {
	return keeper.now - engine.reportedAt
}

// followReport takes the newest report into the engine's state. A report counts
// until it is overdue or a call has failed.
func (keeper *Keeper) followReport(engine *engineState) {
	current := keeper.silence(engine) <= keeper.config.ReportTimeout && !engine.failed
	if current && engine.runningLimit > 0 && engine.wholeCalls() {
		engine.follow(charts.EngineEventReported)
		return
	}
	engine.follow(charts.EngineEventReportOverdue)
}

// followSilence takes engines out that have not reported for too long.
func (keeper *Keeper) followSilence() {
	for _, engine := range keeper.engines {
		if engine.ready() && keeper.silence(engine) > keeper.config.ReportTimeout {
			engine.follow(charts.EngineEventReportOverdue)
		}
	}
}

// followDrain takes what the engine itself, an operator and the machine list say
// about its leaving into its state.
func (keeper *Keeper) followDrain(engine *engineState) {
	if engine.leaving || keeper.drained[engine.name] {
		engine.follow(charts.EngineEventDrain)
		return
	}
	engine.follow(charts.EngineEventDrainWithdrawn)
}

// drainEngine stops new grants on an engine and sends calls bound there back.
func (keeper *Keeper) drainEngine(name string) {
	keeper.drained[name] = true
	if engine := keeper.engineNamed(name); engine != nil {
		keeper.followDrain(engine)
		keeper.unbind(engine)
	}
}

// resumeEngine ends a drain by an operator or the machine list. The engine's
// last report counts again, if it is current.
func (keeper *Keeper) resumeEngine(name string) {
	delete(keeper.drained, name)
	if engine := keeper.engineNamed(name); engine != nil {
		keeper.followDrain(engine)
		keeper.followReport(engine)
	}
}

// noteFailure takes an engine that failed a call out until its next report,
// and asks for one.
func (keeper *Keeper) noteFailure(engine *engineState) {
	engine.failed = true
	engine.follow(charts.EngineEventCallFailed)
	keeper.emit(CheckEngine{Engine: engine.name})
}
