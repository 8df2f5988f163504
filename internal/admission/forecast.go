package admission

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

const (
	// chanceSlots times the root of a service's slots is room that chance needs: what
	// programs that come at a steady rate use together varies by about the root of it,
	// times the root of the slots of one. Without it 6 slots that are half used would
	// refuse 7 in 100 programs.
	chanceSlots = 2.0
	// memoryShare is the part of engines' memory that prompts of programs under way may
	// take. The shared beginnings in them are counted for each, so that it is not reached
	// before the memory is.
	memoryShare = 1.0
	// ahead is how far a program that begins now looks ahead: its first turn is over then,
	// and what begins at the rate of a burst has come.
	ahead = 300 * time.Millisecond
	// nominalNeed is the part of a resource from which on a program is held to need any.
	nominalNeed = 1e-6
)

// resource is a thing that programs share.
type resource struct {
	service  string
	memory   bool
	capacity float64
	// limit is how much of it programs may use, demand how much they are expected to.
	limit  float64
	demand float64
	// ends is how much becomes free in a second by programs that end.
	ends float64
}

// need is what a program of a route uses of the resource in the mean of its life.
func (known *learned) need(shared *resource, name, service string) float64 {
	use := known.routes[name]
	switch {
	case shared.service != service:
		return 0
	case shared.memory:
		return use.promptTokens()
	}
	return use.slots()
}

// resources lists what programs share, with the demand that the state shows. Tools are left
// out: calls of some tens of milliseconds that wait for one another cost a program little of
// the seconds that it lives, and one that is refused for their sake is lost. With tools among
// them, two engines of six slots that served all in time refused 17 in 100 programs.
func (known *learned) resources(state *State, withMemory bool) []*resource {
	var all []*resource
	models := map[string]bool{}
	for name, route := range state.Total.Routes {
		if known.runsPrograms(name, route) {
			models[route.Service] = true
		}
	}
	for index := range state.Services {
		service := &state.Services[index]
		if service.Slots > 0 && models[service.Name] {
			all = append(all, known.slotsOf(service, state))
		}
		if withMemory && service.MemoryTokens > 0 && models[service.Name] {
			all = append(all, known.memoryOf(service, state))
		}
	}
	return all
}

func (known *learned) slotsOf(service *Service, state *State) *resource {
	use := known.service(service.Name)
	slots := float64(service.Slots)
	made := &resource{service: service.Name, capacity: slots}
	made.demand = max(known.sum(made, state)+max(use.foreign.value, 0), use.present.value)
	made.limit = (use.bound.level+use.bound.opened(known.growth(made, state)))*made.capacity + chanceSlots*math.Sqrt(slots)
	return made
}

func (known *learned) memoryOf(service *Service, state *State) *resource {
	made := &resource{service: service.Name, memory: true, capacity: float64(service.Engines * service.MemoryTokens)}
	made.limit = memoryShare * made.capacity
	known.sum(made, state)
	for _, route := range state.Total.Routes {
		if route.Service == service.Name {
			made.demand += float64(route.PromptTokens)
		}
	}
	return made
}

// sum is what the programs under way are expected to use of a resource. It sets also what
// becomes free by those that end.
func (known *learned) sum(shared *resource, state *State) float64 {
	total := 0.0
	for name, route := range state.Total.Routes {
		used := float64(route.Programs) * known.need(shared, name, route.Service)
		total += used
		shared.ends += used / known.routes[name].life().Seconds()
	}
	return total
}

// begun is one admission of this owner.
type begun struct {
	route   string
	service string
	at      time.Time
}

// moved is how the demand will have changed since the moment that the state shows: by the
// programs that this owner has admitted, those that others are likely to have, those that
// are likely to have ended, and what begins and ends in the time ahead.
func (known *learned) moved(shared *resource, state *State, own []begun) float64 {
	change := 0.0
	for _, admission := range own {
		change += known.need(shared, admission.route, admission.service)
	}
	begins := known.rate(shared, state, func(route load.Route) float64 { return route.ProgramsStarted })
	since := state.Age.Seconds() * ((1-state.OwnerShare)*begins - shared.ends)
	return change + since + ahead.Seconds()*(begins-shared.ends)
}

// rate is how much of a resource programs ask for in a second, by a count of them.
func (known *learned) rate(shared *resource, state *State, count func(route load.Route) float64) float64 {
	total := 0.0
	for name, route := range state.Total.Routes {
		total += perSecond(count(route)) * known.need(shared, name, route.Service)
	}
	return total
}
