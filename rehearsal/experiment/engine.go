package experiment

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
)

// engine runs one engine model on the simulation's clock.
type engine struct {
	simulation    *simulation
	name          string
	zone          string
	model         *enginemodel.Engine
	pool          *pool
	calls         map[string]*call
	stepScheduled bool
	lost          bool
	statsAtLoss   enginemodel.Stats
}

// modelName is the model that all engines serve.
const modelName = "agent-model"

func (simulation *simulation) makeEngines() {
	zones := simulation.config.Deployment.Zones
	for index := range simulation.config.Deployment.ModelEngines {
		simulation.engines = append(simulation.engines, &engine{
			simulation: simulation,
			name:       fmt.Sprintf("engine-%02d", index),
			zone:       zones[index%len(zones)],
			model:      enginemodel.New(simulation.config.Engine.model()),
			calls:      map[string]*call{},
		})
	}
}

// submit adds a granted call to the engine, unless the call has been cancelled
// or the engine is lost.
func (engine *engine) submit(call *call) {
	if engine.lost {
		return
	}
	if call.cancelled {
		return
	}
	if err := engine.model.Submit(engine.simulation.now, call.request); err != nil {
		call.program.onRejected(call)
		return
	}
	engine.calls[call.request.ID] = call
	engine.scheduleStep()
}

// scheduleStep schedules the end of the engine's current step, if any.
func (engine *engine) scheduleStep() {
	if engine.stepScheduled || engine.lost {
		return
	}
	at, busy := engine.model.NextStep(engine.simulation.now)
	if !busy {
		return
	}
	engine.stepScheduled = true
	engine.simulation.at(at, engine.step)
}

// step completes one engine step and delivers its output.
func (engine *engine) step() {
	engine.stepScheduled = false
	if engine.lost {
		return
	}
	for _, output := range engine.model.Step(engine.simulation.now) {
		call := engine.calls[output.RequestID]
		if output.Finished {
			delete(engine.calls, output.RequestID)
		}
		call.deliver(output)
	}
	engine.scheduleStep()
}

// cancel removes a call from the engine.
func (engine *engine) cancel(call *call) {
	call.cancelled = true
	delete(engine.calls, call.request.ID)
	engine.model.Cancel(engine.simulation.now, call.request.ID)
}

// lose takes the engine down. Its calls fail after lossDetection.
func (engine *engine) lose() {
	engine.lost = true
	engine.statsAtLoss = engine.model.Stats(engine.simulation.now)
	engine.simulation.after(lossDetection, func() {
		engine.pool.handle(keeper.EngineLost{Engine: engine.name})
		for _, call := range engine.pool.dispatchedCalls() {
			if call.engine == engine {
				call.program.onEngineLost(call)
			}
		}
	})
}

// stats returns the model's state, for a lost engine as of its loss.
func (engine *engine) stats(now time.Duration) enginemodel.Stats {
	if engine.lost {
		return engine.statsAtLoss
	}
	return engine.model.Stats(now)
}

func (simulation *simulation) scheduleReports() {
	for index, engine := range simulation.engines {
		offset := reportInterval * time.Duration(index) / time.Duration(len(simulation.engines))
		engine.sendInitialReport()
		simulation.after(offset, engine.sendPeriodicReport)
	}
}

func (engine *engine) sendPeriodicReport() {
	if engine.lost {
		return
	}
	report := engine.report()
	engine.simulation.after(reportLag, func() { engine.pool.handle(report) })
	engine.simulation.after(reportInterval, engine.sendPeriodicReport)
}

// sendInitialReport reports the engine to its keeper without reportLag.
func (engine *engine) sendInitialReport() { engine.pool.handle(engine.report()) }

func (engine *engine) report() keeper.EngineReported {
	stats := engine.model.Stats(engine.simulation.now)
	return keeper.EngineReported{
		Engine:        engine.name,
		Model:         modelName,
		Zone:          engine.zone,
		Running:       stats.Running,
		Waiting:       stats.Waiting,
		RunningLimit:  engine.simulation.config.Engine.RunningLimit,
		BlocksTotal:   stats.BlocksTotal,
		BlocksUsed:    stats.BlocksUsed,
		BlockTokens:   engine.simulation.config.Engine.BlockTokens,
		StepDuration:  engine.simulation.config.Engine.StepBase,
		ProgramBlocks: stats.ProgramBlocks,
	}
}

// publishCacheEvent sends a cache event to the keeper with a random lag; some
// events are lost.
func (engine *engine) publishCacheEvent(program string, tokens int) {
	simulation := engine.simulation
	lag := time.Duration(simulation.random.Int64N(int64(maxCacheEventLag)))
	if simulation.random.IntN(cacheEventLossOneIn) == 0 {
		return
	}
	event := keeper.EngineCacheChanged{Engine: engine.name, Program: program, Tokens: tokens}
	simulation.after(lag, func() {
		if !engine.lost {
			engine.pool.handle(event)
		}
	})
}

// collectCacheStats adds the engines' cache counters to the measurements.
func (simulation *simulation) collectCacheStats() {
	for _, engine := range simulation.engines {
		simulation.metrics.addEngine(engine.stats(simulation.now))
	}
}
