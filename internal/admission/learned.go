package admission

import (
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

const (
	// usualSpan is over how long it is learned what programs need. A program lives for
	// seconds, and a burst must not change what is usual before it is over.
	usualSpan = 10 * time.Second
	// presentSpan is over how long what runs at engines is averaged: counts of a few
	// dozen requests of 10 to 300 ms vary by chance within that.
	presentSpan = 500 * time.Millisecond
	// learnPause separates two samples. Views come some times a second.
	learnPause = 100 * time.Millisecond
	// longestStep bounds what one sample stands for after a pause in sampling.
	longestStep = time.Second
	// firstNeed is taken for the slots that a program uses, and firstLife for how long it
	// lives, until that is known.
	firstNeed = 1.0
	firstLife = time.Second
	// longestLife bounds what is learned.
	longestLife = time.Minute
	// leastPrograms is how many programs have to be under way in the mean before what
	// they use is taken for usual.
	leastPrograms = 0.5
)

// routeUse is what the programs of a route use.
type routeUse struct {
	// turns and programs are means while no requests wait, alive and begun at all times:
	// waiting requests make turns longer, which is not what a program needs.
	turns    smoothed
	programs smoothed
	tokens   smoothed
	alive    smoothed
	// begun is programs a second.
	begun smoothed
}

// slots is how many slots a program uses in the mean of its life.
func (use *routeUse) slots() float64 {
	if use == nil || use.programs.value < leastPrograms {
		return firstNeed
	}
	return use.turns.value / use.programs.value
}

// promptTokens is the length of a program's prompts.
func (use *routeUse) promptTokens() float64 {
	if use == nil || use.alive.value < leastPrograms {
		return 0
	}
	return use.tokens.value / use.alive.value
}

// life is how long a program is under way, by how many there are of how many that begin.
func (use *routeUse) life() time.Duration {
	if use == nil || use.alive.value < leastPrograms || use.begun.value <= 0 {
		return firstLife
	}
	life := time.Duration(use.alive.value / use.begun.value * float64(time.Second))
	return min(life, longestLife)
}

// serviceUse is what is learned of a service's engines.
type serviceUse struct {
	// present is what runs and waits now.
	present smoothed
	// foreign is the usual part of that which is not programs'.
	foreign smoothed
	// bound is the part of the slots that programs may use.
	bound bound
}

// learned is what a controller knows of the programs' needs. Each owner learns it from
// what all nodes have, so that all know about the same.
type learned struct {
	routes   map[string]*routeUse
	services map[string]*serviceUse
	// refused is the part of the programs that were refused lately.
	refused smoothed
	at      time.Time
	// asked are the programs that asked this owner in the last askedSpan.
	asked []asked
}

func newLearned() *learned {
	return &learned{routes: map[string]*routeUse{}, services: map[string]*serviceUse{}}
}

// observe takes in a state. It returns what the sample stands for, false where the last
// one has just been taken.
func (known *learned) observe(state *State, now time.Time) (time.Duration, bool) {
	step := now.Sub(known.at)
	if step < learnPause {
		return 0, false
	}
	known.at = now
	known.expireAsked(now)
	step = min(step, longestStep)
	present := occupancy(state)
	turns := turnsOf(state)
	queues := known.observeServices(state, present, turns, step)
	known.refused.observe(refusedShare(state), step, scarceSpan)
	for name, route := range state.Total.Routes {
		known.observeRoute(name, route, queues, step)
	}
	return step, true
}

// refusedShare is the part of the programs that were refused.
func refusedShare(state *State) float64 {
	var begun, refused float64
	for _, route := range state.Total.Routes {
		begun += route.ProgramsStarted
		refused += route.Refused
	}
	if refused <= 0 {
		return 0
	}
	return refused / (begun + refused)
}

// occupancy is what runs and waits at each service.
func occupancy(state *State) map[string]float64 {
	present := map[string]float64{}
	for _, service := range state.Services {
		present[service.Name] = float64(service.Running)
	}
	for queue, calls := range state.Total.Waiting {
		present[queue.Service] += float64(calls)
	}
	return present
}

// runsPrograms tells whether programs of a route begin, unlike those of the calls of tools.
func (known *learned) runsPrograms(name string, route load.Route) bool {
	use := known.routes[name]
	return route.Programs > 0 || (use != nil && use.alive.value > 0)
}

// turnsOf is the number of programs' turns and calls of tools under way at each service.
func turnsOf(state *State) map[string]float64 {
	turns := map[string]float64{}
	for _, route := range state.Total.Routes {
		turns[route.Service] += float64(route.Turns)
	}
	return turns
}

// observeServices returns true where requests wait for slots.
func (known *learned) observeServices(state *State, present, turns map[string]float64, step time.Duration) bool {
	queues := false
	for _, service := range state.Services {
		use := known.service(service.Name)
		use.present.observe(present[service.Name], step, presentSpan)
		// Nobody knows whether requests wait at engines that don't say their slots.
		full := service.Slots > 0 && use.present.value >= float64(service.Slots)
		if full {
			queues = true
			continue
		}
		use.foreign.observe(present[service.Name]-turns[service.Name], step, usualSpan)
	}
	return queues
}

func (known *learned) service(name string) *serviceUse {
	use := known.services[name]
	if use == nil {
		use = &serviceUse{bound: bound{level: firstBound}}
		known.services[name] = use
	}
	return use
}

func (known *learned) observeRoute(name string, route load.Route, queues bool, step time.Duration) {
	use := known.routes[name]
	if use == nil {
		use = &routeUse{}
		known.routes[name] = use
	}
	use.alive.observe(float64(route.Programs), step, usualSpan)
	use.begun.observe(perSecond(route.ProgramsStarted), step, usualSpan)
	use.tokens.observe(float64(route.PromptTokens), step, usualSpan)
	longer := float64(route.Turns) > use.slots()*float64(route.Programs)
	if queues && longer && use.programs.value >= leastPrograms {
		return
	}
	use.programs.observe(float64(route.Programs), step, usualSpan)
	use.turns.observe(float64(route.Turns), step, usualSpan)
}
