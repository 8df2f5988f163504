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
	// replayStep is one step of a replay.
	replayStep = 20 * time.Millisecond
	// reportPause separates two reports of the owners.
	reportPause = 100 * time.Millisecond
	// models and tools are the services of a replay.
	models = "models"
	tools  = "tools"
	// modelSlots are 45 engines of 6 slots, toolSlots 8 of 6.
	modelSlots = 270
	toolSlots  = 48
)

// kind is a route of programs. Each lives for a while, and uses one slot at a time until
// its sub-agents begin half way.
type kind struct {
	route string
	rank  int
	// rate is programs a second.
	rate func(at time.Duration) float64
	life time.Duration
	// width is the number of turns under way in the second half of its life.
	width  int
	tenant func(at time.Duration, random *rand.Rand) string
	// loops is the part of the programs that live loopLife and never end in their aim.
	loops float64
}

// Programs begin a turn each turnPeriod, which takes turnTime; they call tools and think
// in between.
const (
	turnPeriod = 300 * time.Millisecond
	turnTime   = 240 * time.Millisecond
)

// loopLife is how long a program that loops lasts.
const loopLife = 6 * time.Second

// aimShare of its life on idle engines is what a program's aim leaves, aimMore on top.
const (
	aimShare = 1.3
	aimMore  = 200 * time.Millisecond
)

// alive is a program of a replay.
type alive struct {
	kind   *kind
	name   tenant.Program
	owner  int
	begins time.Time
	life   time.Duration
	open   int
}

// replay ages programs against owners that decide on a view that is old.
type replay struct {
	kinds   []*kind
	owners  int
	age     time.Duration
	seed    uint64
	options admission.Options
	// steady programs come evenly, others by chance.
	steady bool
	// admitsAll leaves the controllers out.
	admitsAll bool
	// toolsPerTurn is what runs at tools for each turn.
	toolsPerTurn float64

	random      *rand.Rand
	start, now  time.Time
	tables      []*admission.Table
	controllers []*admission.Controller
	programs    []*alive
	views       []viewed
	arrears     map[string]float64
	count       int
	moments     []moment
}

type viewed struct {
	state admission.State
	at    time.Time
}

// moment is what a step of a replay showed.
type moment struct {
	at      time.Duration
	demand  int
	asked   map[string]int
	refused map[string]int
	reasons map[admission.Reason]int
}

func (run *replay) play(span time.Duration) {
	run.random = rand.New(rand.NewPCG(run.seed, 1))
	run.start = time.Unix(1000, 0)
	run.now = run.start
	run.arrears = map[string]float64{}
	for range run.owners {
		run.tables = append(run.tables, admission.NewTable())
		run.controllers = append(run.controllers, admission.NewController(run.options))
	}
	for run.now.Before(run.start.Add(span)) {
		run.step()
	}
}

func (run *replay) step() {
	at := run.now.Sub(run.start)
	present := moment{at: at, asked: map[string]int{}, refused: map[string]int{}, reasons: map[admission.Reason]int{}}
	kept := run.programs[:0]
	for _, program := range run.programs {
		if run.advance(program) {
			kept = append(kept, program)
			present.demand += program.open
		}
	}
	run.programs = kept
	if at%reportPause == 0 {
		run.show(present.demand)
	}
	for _, each := range run.kinds {
		for range run.arrivals(each, at) {
			run.arrive(each, at, &present)
		}
	}
	run.moments = append(run.moments, present)
	run.now = run.now.Add(replayStep)
}

// arrivals is how many programs of a kind come in a step: evenly, or by chance.
func (run *replay) arrivals(each *kind, at time.Duration) int {
	expected := each.rate(at) * replayStep.Seconds()
	if run.steady {
		run.arrears[each.route] += expected
		whole := math.Floor(run.arrears[each.route])
		run.arrears[each.route] -= whole
		return int(whole)
	}
	count := 0
	for left := run.random.ExpFloat64(); left < expected; left += run.random.ExpFloat64() {
		count++
	}
	return count
}

// advance brings a program's turns up to its age, and tells whether it lives on.
func (run *replay) advance(program *alive) bool {
	age := run.now.Sub(program.begins)
	wanted := 1
	if age > program.life/2 {
		wanted = program.kind.width
	}
	over := age >= program.life
	if over || age%turnPeriod >= turnTime {
		wanted = 0
	}
	for program.open < wanted {
		run.turn(program, false)
	}
	for program.open > wanted {
		program.open--
		run.tables[program.owner].RecordTurnEnd(program.name, fmt.Sprint(program.open), run.now)
	}
	return !over
}

func (run *replay) turn(program *alive, begins bool) {
	aim := program.begins.Add(time.Duration(aimShare*float64(program.kind.life)) + aimMore)
	run.tables[program.owner].RecordTurnStart(admission.Turn{
		Program: program.name, RequestID: fmt.Sprint(program.open), Session: fmt.Sprint(program.open), Route: program.kind.route,
		Service: models, Priority: program.kind.rank, PromptTokens: 1000, ExpiresAt: run.now.Add(time.Minute), SoftDeadline: aim, FirstTurn: begins,
	}, run.now)
	program.open++
}

// show takes the owners' reports, and lets the controllers see them once they are old.
func (run *replay) show(demand int) {
	total := load.NewReport()
	for _, table := range run.tables {
		routes, tenants := table.Report(run.now)
		total.Add(load.Report{Routes: routes, Tenants: tenants})
	}
	running := min(demand, modelSlots)
	total.Waiting[load.QueueKey{Service: models}] = demand - running
	toolCalls := int(run.toolsPerTurn * float64(demand))
	toolName, toolRoute := admission.ToolCallRoute(tools, toolCalls)
	total.Routes[toolName] = toolRoute
	total.Waiting[load.QueueKey{Service: tools}] = max(toolCalls-toolSlots, 0)
	run.views = append(run.views, viewed{at: run.now, state: admission.State{Total: total, Known: true, OwnerShare: 1 / float64(run.owners), Services: []admission.Service{
		{Name: models, Slots: modelSlots, Engines: 45, Running: running, MemoryTokens: 51109},
		{Name: tools, Slots: toolSlots, Engines: 8, Running: min(toolCalls, toolSlots)},
	}}})
	for len(run.views) > 1 && run.now.Sub(run.views[1].at) >= run.age {
		run.views = run.views[1:]
	}
	for _, controller := range run.controllers {
		controller.Observe(run.state(), run.now)
	}
}

func (run *replay) state() *admission.State {
	state := run.views[0].state
	state.Age = run.now.Sub(run.views[0].at)
	return &state
}

func (run *replay) arrive(each *kind, at time.Duration, present *moment) {
	run.count++
	program := &alive{kind: each, name: tenant.Program{ID: fmt.Sprint(run.count)}, begins: run.now, life: each.life, owner: run.random.IntN(run.owners)}
	if run.random.Float64() < each.loops {
		program.life = loopLife
	}
	if each.tenant != nil {
		program.name.Tenant = each.tenant(at, run.random)
	}
	order := admission.Request{Program: program.name, Route: admission.RouteName(each.route, models, each.rank), Service: models, Priority: each.rank, RetryJitter: run.random.Float64()}
	key := each.route + program.name.Tenant
	present.asked[key]++
	decision := run.controllers[program.owner].Decide(order, run.state(), run.now)
	if run.admitsAll {
		decision.Admitted = true
	}
	if !decision.Admitted {
		present.refused[key]++
		present.reasons[decision.Reason]++
		run.tables[program.owner].RecordRefusal(order, run.now)
		return
	}
	run.turn(program, true)
	run.programs = append(run.programs, program)
}

// within sums the moments of a span of time.
func (run *replay) within(from, to time.Duration) moment {
	sum := moment{asked: map[string]int{}, refused: map[string]int{}, reasons: map[admission.Reason]int{}}
	steps := 0
	for _, each := range run.moments {
		if each.at < from || each.at >= to {
			continue
		}
		steps++
		sum.demand += each.demand
		for key, count := range each.asked {
			sum.asked[key] += count
			sum.asked[""] += count
		}
		for key, count := range each.refused {
			sum.refused[key] += count
			sum.refused[""] += count
		}
		for reason, count := range each.reasons {
			sum.reasons[reason] += count
		}
	}
	sum.demand /= max(steps, 1)
	return sum
}

// most is the highest demand in a span of time.
func (run *replay) most(from, to time.Duration) int {
	highest := 0
	for _, each := range run.moments {
		if each.at >= from && each.at < to {
			highest = max(highest, each.demand)
		}
	}
	return highest
}

// refusedShare is the part of the programs that were refused, "" for all.
func (sum moment) refusedShare(key string) float64 {
	return float64(sum.refused[key]) / float64(max(sum.asked[key], 1))
}

// steadyRate is the same at all times, burstRate times as much from one time to another.
func steadyRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func burstRate(rate, times float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return times * rate
		}
		return rate
	}
}
