package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

const (
	// simulationStep is the time step of a simulation.
	simulationStep = 20 * time.Millisecond
	// reportInterval is the time between load reports of the owners.
	reportInterval = 100 * time.Millisecond
	// models and tools are the services of a simulation.
	models = "models"
	tools  = "tools"
	// modelSlots are 45 engines with 6 slots, toolSlots 8 engines with 6.
	modelSlots = 270
	toolSlots  = 48
)

// programClass describes the programs of a route. Each uses one slot at a time until its
// sub-agents start halfway.
type programClass struct {
	route    string
	priority int
	// rate returns the arrivals per second.
	rate     func(elapsed time.Duration) float64
	lifetime time.Duration
	// concurrentTurns is the number of turns in flight in the second half of the lifetime.
	concurrentTurns int
	tenant          func(elapsed time.Duration, random *rand.Rand) string
	// loopFraction is the fraction of programs that run for loopLifetime and never meet their
	// soft deadline.
	loopFraction float64
}

// Programs start a turn, which takes turnTime, in each turnPeriod; in between they call tools.
const (
	turnPeriod = 300 * time.Millisecond
	turnTime   = 240 * time.Millisecond
)

// loopLifetime is the lifetime of a looping program.
const loopLifetime = 6 * time.Second

// A program has deadlineFactor times its lifetime on idle engines, plus deadlineMargin, until its
// soft deadline.
const (
	deadlineFactor = 1.3
	deadlineMargin = 200 * time.Millisecond
)

// simulatedProgram is a running program.
type simulatedProgram struct {
	class     *programClass
	name      tenant.Program
	owner     int
	startedAt time.Time
	lifetime  time.Duration
	openTurns int
}

// simulation runs programs against owners that decide on an outdated load view.
type simulation struct {
	classes []*programClass
	owners  int
	viewAge time.Duration
	seed    uint64
	options admission.Options
	// evenArrivals spaces arrivals evenly; otherwise they are a Poisson process.
	evenArrivals bool
	// admitsAll disables admission control.
	admitsAll bool
	// toolsPerTurn is the number of tool calls in flight per turn.
	toolsPerTurn float64

	random             *rand.Rand
	start, now         time.Time
	tables             []*admission.Table
	controllers        []*admission.Controller
	programs           []*simulatedProgram
	views              []loadView
	fractionalArrivals map[string]float64
	count              int
	samples            []sample
}

type loadView struct {
	state admission.State
	at    time.Time
}

// sample is what one step of a simulation showed.
type sample struct {
	at        time.Duration
	demand    int
	requested map[string]int
	refused   map[string]int
	reasons   map[admission.Reason]int
}

func (sim *simulation) run(span time.Duration) {
	sim.random = rand.New(rand.NewPCG(sim.seed, 1))
	sim.start = time.Unix(1000, 0)
	sim.now = sim.start
	sim.fractionalArrivals = map[string]float64{}
	for range sim.owners {
		sim.tables = append(sim.tables, admission.NewTable())
		sim.controllers = append(sim.controllers, admission.NewController(sim.options))
	}
	for sim.now.Before(sim.start.Add(span)) {
		sim.step()
	}
}

func (sim *simulation) step() {
	elapsed := sim.now.Sub(sim.start)
	current := sample{at: elapsed, requested: map[string]int{}, refused: map[string]int{}, reasons: map[admission.Reason]int{}}
	remaining := sim.programs[:0]
	for _, program := range sim.programs {
		if sim.advance(program) {
			remaining = append(remaining, program)
			current.demand += program.openTurns
		}
	}
	sim.programs = remaining
	if elapsed%reportInterval == 0 {
		sim.publish(current.demand)
	}
	for _, class := range sim.classes {
		for range sim.arrivals(class, elapsed) {
			sim.arrive(class, elapsed, &current)
		}
	}
	sim.samples = append(sim.samples, current)
	sim.now = sim.now.Add(simulationStep)
}

// arrivals returns the number of programs of a class that arrive in a step.
func (sim *simulation) arrivals(class *programClass, elapsed time.Duration) int {
	expected := class.rate(elapsed) * simulationStep.Seconds()
	if sim.evenArrivals {
		sim.fractionalArrivals[class.route] += expected
		whole := math.Floor(sim.fractionalArrivals[class.route])
		sim.fractionalArrivals[class.route] -= whole
		return int(whole)
	}
	count := 0
	for left := sim.random.ExpFloat64(); left < expected; left += sim.random.ExpFloat64() {
		count++
	}
	return count
}

// advance starts and ends a program's turns, and reports whether it is still running.
func (sim *simulation) advance(program *simulatedProgram) bool {
	age := sim.now.Sub(program.startedAt)
	wantedTurns := 1
	if age > program.lifetime/2 {
		wantedTurns = program.class.concurrentTurns
	}
	over := age >= program.lifetime
	if over || age%turnPeriod >= turnTime {
		wantedTurns = 0
	}
	for program.openTurns < wantedTurns {
		sim.startTurn(program, false)
	}
	for program.openTurns > wantedTurns {
		program.openTurns--
		sim.tables[program.owner].RecordTurnEnd(program.name, fmt.Sprint(program.openTurns), sim.now)
	}
	return !over
}

func (sim *simulation) startTurn(program *simulatedProgram, first bool) {
	deadline := program.startedAt.Add(time.Duration(deadlineFactor*float64(program.class.lifetime)) + deadlineMargin)
	sim.tables[program.owner].RecordTurnStart(admission.Turn{
		Program: program.name, RequestID: fmt.Sprint(program.openTurns), Session: fmt.Sprint(program.openTurns), Route: program.class.route,
		Service: models, Priority: program.class.priority, PromptTokens: 1000, ExpiresAt: sim.now.Add(time.Minute), SoftDeadline: deadline, FirstTurn: first,
	}, sim.now)
	program.openTurns++
}

// publish collects the owners' reports and lets the controllers observe them with a delay of
// viewAge.
func (sim *simulation) publish(demand int) {
	total := load.NewReport()
	for _, table := range sim.tables {
		routes, tenants := table.Report(sim.now)
		total.Add(load.Report{Routes: routes, Tenants: tenants})
	}
	running := min(demand, modelSlots)
	total.Waiting[load.QueueKey{Service: models}] = demand - running
	toolCalls := int(sim.toolsPerTurn * float64(demand))
	toolName, toolRoute := admission.ToolCallRoute(tools, toolCalls)
	total.Routes[toolName] = toolRoute
	total.Waiting[load.QueueKey{Service: tools}] = max(toolCalls-toolSlots, 0)
	sim.views = append(sim.views, loadView{at: sim.now, state: admission.State{Total: total, Known: true, OwnerShare: 1 / float64(sim.owners), Services: []admission.Service{
		{Name: models, Slots: modelSlots, Engines: 45, Running: running, MemoryTokens: 51109},
		{Name: tools, Slots: toolSlots, Engines: 8, Running: min(toolCalls, toolSlots)},
	}}})
	for len(sim.views) > 1 && sim.now.Sub(sim.views[1].at) >= sim.viewAge {
		sim.views = sim.views[1:]
	}
	for _, controller := range sim.controllers {
		controller.Observe(sim.state(), sim.now)
	}
}

func (sim *simulation) state() *admission.State {
	state := sim.views[0].state
	state.Age = sim.now.Sub(sim.views[0].at)
	return &state
}

func (sim *simulation) arrive(class *programClass, elapsed time.Duration, current *sample) {
	sim.count++
	program := &simulatedProgram{class: class, name: tenant.Program{ID: fmt.Sprint(sim.count)}, startedAt: sim.now, lifetime: class.lifetime, owner: sim.random.IntN(sim.owners)}
	if sim.random.Float64() < class.loopFraction {
		program.lifetime = loopLifetime
	}
	if class.tenant != nil {
		program.name.Tenant = class.tenant(elapsed, sim.random)
	}
	request := admission.Request{Program: program.name, Route: admission.RouteName(class.route, models, class.priority), Service: models, Priority: class.priority, RetryJitter: sim.random.Float64()}
	key := class.route + program.name.Tenant
	current.requested[key]++
	decision := sim.controllers[program.owner].Decide(request, sim.state(), sim.now)
	if sim.admitsAll {
		decision.Admitted = true
	}
	if !decision.Admitted {
		current.refused[key]++
		current.reasons[decision.Reason]++
		sim.tables[program.owner].RecordRefusal(request, sim.now)
		return
	}
	sim.startTurn(program, true)
	sim.programs = append(sim.programs, program)
}

// between returns the sum of the samples in a time span, with the mean of their demands.
func (sim *simulation) between(from, to time.Duration) sample {
	sum := sample{requested: map[string]int{}, refused: map[string]int{}, reasons: map[admission.Reason]int{}}
	sampleCount := 0
	for _, sample := range sim.samples {
		if sample.at < from || sample.at >= to {
			continue
		}
		sampleCount++
		sum.demand += sample.demand
		for key, count := range sample.requested {
			sum.requested[key] += count
			sum.requested[""] += count
		}
		for key, count := range sample.refused {
			sum.refused[key] += count
			sum.refused[""] += count
		}
		for reason, count := range sample.reasons {
			sum.reasons[reason] += count
		}
	}
	sum.demand /= max(sampleCount, 1)
	return sum
}

// peakDemand returns the highest demand in a time span.
func (sim *simulation) peakDemand(from, to time.Duration) int {
	highest := 0
	for _, sample := range sim.samples {
		if sample.at >= from && sample.at < to {
			highest = max(highest, sample.demand)
		}
	}
	return highest
}

// refusedFraction returns the fraction of programs that were refused; key is "" for all of
// them.
func (sum sample) refusedFraction(key string) float64 {
	return float64(sum.refused[key]) / float64(max(sum.requested[key], 1))
}

// steadyRate returns a constant rate.
func steadyRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burstRate returns a rate that is multiplied between two times.
func burstRate(rate, times float64, from, to time.Duration) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed >= from && elapsed < to {
			return times * rate
		}
		return rate
	}
}
