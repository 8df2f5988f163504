package admission

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

const (
	// varianceFactor times the square root of a service's slots is added to the limit, since
	// the number of slots in use varies randomly by about that. It matters for services with
	// few slots, which would refuse programs at half load without it.
	varianceFactor = 2.0
	// memoryFraction is the fraction of engine memory that the prompts of running programs may
	// use. Shared prompt prefixes are counted once per program, so that the limit is
	// conservative.
	memoryFraction = 1.0
	// forecastHorizon is how far ahead demand is forecast, about the duration of a program's
	// first turn.
	forecastHorizon = 300 * time.Millisecond
	// minDemandFraction is the fraction of a resource below which a program's demand counts as
	// none.
	minDemandFraction = 1e-6
)

// resource is a limited resource that programs share: slots or memory of a service's engines.
type resource struct {
	service  string
	memory   bool
	capacity float64
	// limit is how much of it programs may use, demand how much they are expected to use.
	limit  float64
	demand float64
	// releaseRate is the demand released per second by programs that finish.
	releaseRate float64
}

// programDemand returns a program's mean demand for the resource over its lifetime.
func (estimator *estimator) programDemand(resource *resource, name, service string) float64 {
	usage := estimator.routes[name]
	switch {
	case resource.service != service:
		return 0
	case resource.memory:
		return usage.promptTokensPerProgram()
	}
	return usage.slotsPerProgram()
}

// resources returns the shared resources, with their demand as of the state. Services used for
// tool calls only are not included: their calls are short, and queueing there costs a program
// less than a refusal. A tool service with few slots would refuse programs whose calls it
// serves in time.
func (estimator *estimator) resources(state *State, withMemory bool) []*resource {
	var all []*resource
	modelServices := map[string]bool{}
	for name, route := range state.Total.Routes {
		if estimator.hasPrograms(name, route) {
			modelServices[route.Service] = true
		}
	}
	for index := range state.Services {
		service := &state.Services[index]
		if service.Slots > 0 && modelServices[service.Name] {
			all = append(all, estimator.slotResource(service, state))
		}
		if withMemory && service.MemoryTokens > 0 && modelServices[service.Name] {
			all = append(all, estimator.memoryResource(service, state))
		}
	}
	return all
}

func (estimator *estimator) slotResource(service *Service, state *State) *resource {
	usage := estimator.service(service.Name)
	slots := float64(service.Slots)
	result := &resource{service: service.Name, capacity: slots}
	result.demand = max(estimator.totalDemand(result, state)+max(usage.otherTraffic.value, 0), usage.occupancy.value)
	result.limit = (usage.limit.level+usage.limit.burstAllowance(estimator.demandGrowth(result, state)))*result.capacity + varianceFactor*math.Sqrt(slots)
	return result
}

func (estimator *estimator) memoryResource(service *Service, state *State) *resource {
	result := &resource{service: service.Name, memory: true, capacity: float64(service.Engines * service.MemoryTokens)}
	result.limit = memoryFraction * result.capacity
	estimator.totalDemand(result, state)
	for _, route := range state.Total.Routes {
		if route.Service == service.Name {
			result.demand += float64(route.PromptTokens)
		}
	}
	return result
}

// totalDemand returns the expected demand of the running programs. It also sets the resource's
// releaseRate.
func (estimator *estimator) totalDemand(resource *resource, state *State) float64 {
	total := 0.0
	for name, route := range state.Total.Routes {
		used := float64(route.Programs) * estimator.programDemand(resource, name, route.Service)
		total += used
		resource.releaseRate += used / estimator.routes[name].lifetime().Seconds()
	}
	return total
}

// admittedProgram is one admission by this owner.
type admittedProgram struct {
	route   string
	service string
	at      time.Time
}

// demandChange returns the change in demand since the state was reported: programs admitted by
// this owner, expected admissions of the others, expected completions, and the change until
// forecastHorizon from now.
func (estimator *estimator) demandChange(resource *resource, state *State, admitted []admittedProgram) float64 {
	change := 0.0
	for _, program := range admitted {
		change += estimator.programDemand(resource, program.route, program.service)
	}
	startRate := estimator.demandRate(resource, state, func(route load.Route) float64 { return route.ProgramsStarted })
	changeSinceState := state.Age.Seconds() * ((1-state.OwnerShare)*startRate - resource.releaseRate)
	return change + changeSinceState + forecastHorizon.Seconds()*(startRate-resource.releaseRate)
}

// demandRate returns the demand for a resource per second, given a count of programs by route.
func (estimator *estimator) demandRate(resource *resource, state *State, count func(route load.Route) float64) float64 {
	total := 0.0
	for name, route := range state.Total.Routes {
		total += perSecond(count(route)) * estimator.programDemand(resource, name, route.Service)
	}
	return total
}
