package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/rehearsal/workload"
)

// runConfig is one run: one policy, one load, one seed.
type runConfig struct {
	Deployment workload.Deployment
	Engine     Engine
	Policy     Policy
	Seed       uint64
	// Rate of arrivals in programs a second.
	Rate            float64
	Duration        time.Duration
	WarmUp          time.Duration
	EndlessPrograms int
	LoseEngineAt    float64
	// Population, where above 0, replaces arrivals by that many programs that
	// are always under way: each that ends is followed by the next at once.
	Population int
}

// Delays and intervals of the simulated platform.
const (
	// sameZoneDelay is one way between processes of one zone.
	sameZoneDelay = 100 * time.Microsecond
	// reportInterval is how often an engine publishes its load; it reaches the
	// keeper reportLag later.
	reportInterval = 500 * time.Millisecond
	reportLag      = 250 * time.Millisecond
	// tickInterval is how often a keeper is ticked.
	tickInterval = 100 * time.Millisecond
	// lossDetection is how long it takes to see that an engine is gone.
	lossDetection = time.Second
	// cacheEventLag bounds the random lag of cache events; one in
	// cacheEventLossOneIn is lost.
	cacheEventLag       = 500 * time.Millisecond
	cacheEventLossOneIn = 20
	// drainLimit bounds the time after the last arrival.
	drainLimit = 30 * time.Minute
)

// simulation is one run on the virtual clock.
type simulation struct {
	timeline
	config    runConfig
	generator *workload.Generator
	random    *rand.Rand
	pools     []*pool
	engines   []*engine
	tools     *toolServers
	metrics   *collector
	open      int
	started   int
}

// streamSimulation keeps the simulation's random draws apart from the
// workload's.
const streamSimulation = 77

// run carries out one run and returns what it measured.
func run(config runConfig) (*collector, error) {
	simulation, err := newSimulation(config)
	if err != nil {
		return nil, err
	}
	simulation.scheduleArrivals()
	simulation.at(config.Duration, simulation.measureCache)
	end := config.Duration + drainLimit
	if config.Population > 0 {
		end = config.Duration
	}
	for simulation.now <= end && (simulation.open > 0 || simulation.now < config.Duration) {
		if !simulation.step() {
			break
		}
	}
	if config.Population == 0 && simulation.open > 0 {
		return nil, fmt.Errorf("policy %s: %d programs had not ended %s after the last arrival",
			config.Policy.Name, simulation.open, drainLimit)
	}
	return simulation.metrics, nil
}

func newSimulation(config runConfig) (*simulation, error) {
	simulation := &simulation{
		config:    config,
		generator: workload.NewGenerator(config.Deployment, config.Seed),
		random:    rand.New(rand.NewPCG(config.Seed, streamSimulation)),
		tools:     newToolServers(config.Deployment.ApplicationBackEnds * config.Deployment.ToolSlots),
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
			simulation.startNext()
		}
		return
	}
	programs := simulation.generator.Arrivals(
		simulation.config.Rate, simulation.config.Duration, simulation.config.EndlessPrograms)
	simulation.open = len(programs)
	for _, program := range programs {
		simulation.at(program.Arrival, func() { simulation.startRoot(program) })
	}
}

// startNext starts the next program of a closed population.
func (simulation *simulation) startNext() {
	program := simulation.generator.Program(simulation.started)
	program.Arrival = simulation.now
	simulation.started++
	simulation.open++
	simulation.startRoot(program)
}

// rootEnded counts a program that arrived from outside and is over.
func (simulation *simulation) rootEnded(program *programRun) {
	simulation.open--
	simulation.metrics.programEnded(program, simulation.now, simulation.config.WarmUp)
	if simulation.config.Population > 0 && simulation.now < simulation.config.Duration {
		simulation.startNext()
	}
}

// delay is the time one way between two zones.
func (simulation *simulation) delay(from, to string) time.Duration {
	if from == to {
		return sameZoneDelay
	}
	return simulation.config.Deployment.ZoneDelay
}

// measuring tells whether an instant lies in the measured time.
func (simulation *simulation) measuring(at time.Duration) bool {
	return at >= simulation.config.WarmUp && at < simulation.config.Duration
}
