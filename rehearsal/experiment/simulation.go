package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/rehearsal/workload"
)

// runConfig is the configuration of one run: one policy, load and seed.
type runConfig struct {
	Deployment workload.Deployment
	Engine     Engine
	Policy     Policy
	Seed       uint64
	// Rate is the arrival rate in programs per second.
	Rate            float64
	Duration        time.Duration
	WarmUp          time.Duration
	EndlessPrograms int
	LoseEngineAt    float64
	// Population, if above 0, replaces arrivals by a closed loop of that many
	// concurrent programs: each one that ends is replaced at once.
	Population int
}

// Delays and intervals of the simulated platform.
const (
	// sameZoneDelay is the one-way delay between processes in the same zone.
	sameZoneDelay = 100 * time.Microsecond
	// reportInterval is the interval of an engine's load reports; each reaches
	// the keeper reportLag later.
	reportInterval = 500 * time.Millisecond
	reportLag      = 250 * time.Millisecond
	// tickInterval is the interval of a keeper's ticks.
	tickInterval = 100 * time.Millisecond
	// lossDetection is the time from an engine's loss to its detection.
	lossDetection = time.Second
	// maxCacheEventLag is the upper bound of the random lag of cache events; one
	// in cacheEventLossOneIn events is lost.
	maxCacheEventLag    = 500 * time.Millisecond
	cacheEventLossOneIn = 20
	// drainLimit is the maximum time from the end of the arrival period to the
	// end of the last program.
	drainLimit = 30 * time.Minute
)

// simulation is the state of one run.
type simulation struct {
	virtualClock
	config          runConfig
	generator       *workload.Generator
	random          *rand.Rand
	pools           []*pool
	engines         []*engine
	tools           *toolBackends
	metrics         *collector
	openPrograms    int
	startedPrograms int
}

// randomStream makes the simulation's random numbers independent of the
// workload's.
const randomStream = 77

// run simulates one run and returns its measurements.
func run(config runConfig) (*collector, error) {
	simulation, err := newSimulation(config)
	if err != nil {
		return nil, err
	}
	simulation.scheduleArrivals()
	simulation.at(config.Duration, simulation.collectCacheStats)
	end := config.Duration + drainLimit
	if config.Population > 0 {
		end = config.Duration
	}
	for simulation.now <= end && (simulation.openPrograms > 0 || simulation.now < config.Duration) {
		if !simulation.step() {
			break
		}
	}
	if config.Population == 0 && simulation.openPrograms > 0 {
		return nil, fmt.Errorf("policy %s: %d programs had not ended %s after the arrival period",
			config.Policy.Name, simulation.openPrograms, drainLimit)
	}
	return simulation.metrics, nil
}

func newSimulation(config runConfig) (*simulation, error) {
	simulation := &simulation{
		config:    config,
		generator: workload.NewGenerator(config.Deployment, config.Seed),
		random:    rand.New(rand.NewPCG(config.Seed, randomStream)),
		tools:     newToolBackends(config.Deployment.ApplicationBackEnds * config.Deployment.ToolSlots),
		metrics:   newCollector(config.Deployment),
	}
	simulation.makeEngines()
	if err := simulation.makePools(); err != nil {
		return nil, err
	}
	simulation.scheduleReports()
	simulation.scheduleTicks()
	if config.LoseEngineAt > 0 {
		at := time.Duration(config.LoseEngineAt * float64(config.Duration))
		simulation.at(at, simulation.engines[0].lose)
	}
	return simulation, nil
}

func (simulation *simulation) scheduleArrivals() {
	if simulation.config.Population > 0 {
		for range simulation.config.Population {
			simulation.startNextProgram()
		}
		return
	}
	programs := simulation.generator.Arrivals(
		simulation.config.Rate, simulation.config.Duration, simulation.config.EndlessPrograms)
	simulation.openPrograms = len(programs)
	for _, program := range programs {
		simulation.at(program.Arrival, func() { simulation.startRoot(program) })
	}
}

// startNextProgram starts the next program of a closed-loop population.
func (simulation *simulation) startNextProgram() {
	program := simulation.generator.Program(simulation.startedPrograms)
	program.Arrival = simulation.now
	simulation.startedPrograms++
	simulation.openPrograms++
	simulation.startRoot(program)
}

// onRootEnd records the end of a root program and, in a closed loop, starts the
// next one.
func (simulation *simulation) onRootEnd(program *programRun) {
	simulation.openPrograms--
	simulation.metrics.recordProgram(program, simulation.now, simulation.config.WarmUp)
	if simulation.config.Population > 0 && simulation.now < simulation.config.Duration {
		simulation.startNextProgram()
	}
}

// delay returns the one-way delay between two zones.
func (simulation *simulation) delay(from, to string) time.Duration {
	if from == to {
		return sameZoneDelay
	}
	return simulation.config.Deployment.ZoneDelay
}

// inMeasuredPeriod reports whether an instant is in the measured period, from
// WarmUp to Duration.
func (simulation *simulation) inMeasuredPeriod(at time.Duration) bool {
	return at >= simulation.config.WarmUp && at < simulation.config.Duration
}
