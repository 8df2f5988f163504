package experiment

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
)

// engine drives one engine model on the timeline.
type engine struct {
	simulation *simulation
	name       string
	zone       string
	model      *enginemodel.Engine
	pool       *pool
	calls      map[string]*call
	awake      bool
	lost       bool
	lostAt     enginemodel.Stats
}

// modelName is the one model that the engines serve.
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

// submit takes a granted call in.
func (engine *engine) submit(call *call) {
	if engine.lost {
		return
	}
	if call.cancelled {
		return
	}
	if err := engine.model.Submit(engine.simulation.now, call.request); err != nil {
		call.program.failed(call)
		return
	}
	engine.calls[call.request.ID] = call
	engine.wake()
}

// wake makes sure that the end of the step under way is on the timeline.
func (engine *engine) wake() {
	if engine.awake || engine.lost {
		return
	}
	at, busy := engine.model.NextStep(engine.simulation.now)
	if !busy {
		return
	}
	engine.awake = true
	engine.simulation.at(at, engine.step)
}

// step ends one engine step and hands its tokens on.
func (engine *engine) step() {
	engine.awake = false
	if engine.lost {
		return
	}
	for _, output := range engine.model.Step(engine.simulation.now) {
		call := engine.calls[output.RequestID]
		if output.Finished {
			delete(engine.calls, output.RequestID)
		}
		call.produced(output)
	}
	engine.wake()
}

// cancel drops a call.
func (engine *engine) cancel(call *call) {
	call.cancelled = true
	delete(engine.calls, call.request.ID)
	engine.model.Cancel(engine.simulation.now, call.request.ID)
}

// lose ends the engine. Its calls fail once the loss is seen.
func (engine *engine) lose() {
	engine.lost = true
	engine.lostAt = engine.model.Stats(engine.simulation.now)
	engine.simulation.after(lossDetection, func() {
		engine.pool.handle(keeper.EngineLost{Engine: engine.name})
		for _, call := range engine.pool.granted() {
			if call.engine == engine {
				call.program.lostEngine(call)
			}
		}
	})
}

// stats returns the model's counters; a lost engine's are those at its loss.
func (engine *engine) stats(now time.Duration) enginemodel.Stats {
	if engine.lost {
		return engine.lostAt
	}
	return engine.model.Stats(now)
}

func (simulation *simulation) scheduleReports() {
	for index, engine := range simulation.engines {
		offset := reportInterval * time.Duration(index) / time.Duration(len(simulation.engines))
		engine.sendReport()
		simulation.after(offset, engine.reportAgain)
	}
}

func (engine *engine) reportAgain() {
	if engine.lost {
		return
	}
	report := engine.report()
	engine.simulation.after(reportLag, func() { engine.pool.handle(report) })
	engine.simulation.after(reportInterval, engine.reportAgain)
}

// sendReport gives the keeper its first view of the engine without a lag.
func (engine *engine) sendReport() { engine.pool.handle(engine.report()) }

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

// publishCacheEvent tells the keeper, late and with gaps, what is cached.
func (engine *engine) publishCacheEvent(program string, tokens int) {
	simulation := engine.simulation
	lag := time.Duration(simulation.random.Int64N(int64(cacheEventLag)))
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

// measureCache adds up the engines' cache counters at the end of the arrivals.
func (simulation *simulation) measureCache() {
	for _, engine := range simulation.engines {
		simulation.metrics.addEngine(engine.stats(simulation.now))
	}
}
