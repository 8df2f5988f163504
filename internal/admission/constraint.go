package admission

import (
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// constraint is a resource and its limit as they apply to one request.
type constraint struct {
	*resource
	state         *State
	request       Request
	programDemand float64
	// priorityIndex is the number of more urgent priorities, priorities lists all that are in
	// use.
	priorityIndex int
	priorities    []int
	// projected is the forecast demand including the request. limit is what the request may use:
	// the resource's limit without the reserves for more urgent priorities and without
	// costlyReserve, the reserve for cheaper programs of the same priority.
	projected     float64
	limit         float64
	costlyReserve float64
	// startRate is the demand that may start per second at the request's priority, over all
	// owners. routeRate is the minimum for its route, 0 without a costlyReserve. backlog is the
	// demand of the priority refused per second.
	startRate float64
	routeRate float64
	backlog   float64
}

// bindingConstraint returns the constraint with the highest utilization, nil if the request has
// no significant demand for any resource.
func (controller *Controller) bindingConstraint(request Request, state *State, now time.Time) *constraint {
	estimator := controller.estimator
	admitted := controller.admittedSince(now.Add(-state.Age))
	priorities := activePriorities(state, request.Priority)
	costlyReserve := estimator.costlyReserve(request.Route, request.Priority, state)
	var tightest *constraint
	for _, resource := range estimator.resources(state, controller.options.MemoryLimit) {
		candidate := &constraint{resource: resource, state: state, request: request, priorities: priorities, priorityIndex: priorityIndex(priorities, request.Priority)}
		candidate.programDemand = estimator.programDemand(resource, request.Route, request.Service)
		if resource.memory {
			candidate.programDemand = max(candidate.programDemand, float64(request.PromptTokens)*memoryFactor(resource, request))
		}
		if candidate.programDemand < minDemandFraction*resource.capacity {
			continue
		}
		candidate.projected = resource.demand + estimator.demandChange(resource, state, admitted) + candidate.programDemand
		reserveFactor := reserveScale(candidate.projected / resource.limit)
		candidate.costlyReserve = reserveFactor * costlyReserve * resource.capacity
		candidate.limit = resource.limit - reserveFactor*estimator.priorityReserve(candidate.priorityIndex)*resource.capacity - candidate.costlyReserve
		if tightest == nil || candidate.utilization() > tightest.utilization() {
			tightest = candidate
		}
	}
	if tightest != nil {
		tightest.setRate(estimator)
	}
	return tightest
}

// memoryFactor returns 1 if the request's prompts occupy the memory resource, 0 otherwise.
func memoryFactor(resource *resource, request Request) float64 {
	if resource.service == request.Service {
		return 1
	}
	return 0
}

// admittedSince returns this owner's admissions since a time.
func (controller *Controller) admittedSince(since time.Time) []admittedProgram {
	first, _ := slices.BinarySearchFunc(controller.recentAdmissions, since, func(admission admittedProgram, since time.Time) int { return admission.at.Compare(since) })
	return controller.recentAdmissions[first:]
}

// activePriorities returns the priorities with running or requested programs, and the request's
// own.
func activePriorities(state *State, own int) []int {
	priorities := []int{own}
	for _, route := range state.Total.Routes {
		if route.Programs > 0 || perSecond(route.ProgramsStarted+route.Refused) >= 1 {
			priorities = append(priorities, route.Priority)
		}
	}
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

func (constraint *constraint) utilization() float64 { return constraint.projected / constraint.limit }

// setRate computes the start rate: what running programs release, plus what brings demand to
// its limit within correctionInterval.
func (constraint *constraint) setRate(estimator *estimator) {
	available := constraint.limit - (constraint.projected - constraint.programDemand)
	rate := constraint.releaseRate + available/correctionInterval.Seconds()
	lifetime := max(estimator.routes[constraint.request.Route].lifetime(), defaultLifetime)
	rate = max(rate, minStartFraction*constraint.capacity/lifetime.Seconds())
	wanted := make([]float64, len(constraint.priorities))
	for index, priority := range constraint.priorities {
		wanted[index] = estimator.demandRate(constraint.resource, constraint.state, atPriority(priority, func(route load.Route) float64 { return route.ProgramsStarted + route.Refused }))
	}
	constraint.startRate = divideRate(rate, wanted, constraint.priorityIndex)
	if constraint.costlyReserve > 0 {
		constraint.routeRate = minRouteShare * constraint.capacity / lifetime.Seconds()
	}
	constraint.backlog = estimator.demandRate(constraint.resource, constraint.state, atPriority(constraint.request.Priority, func(route load.Route) float64 { return route.Refused }))
}

// atPriority restricts a count to routes of one priority.
func atPriority(priority int, count func(route load.Route) float64) func(route load.Route) float64 {
	return func(route load.Route) float64 {
		if route.Priority != priority {
			return 0
		}
		return count(route)
	}
}

func (constraint *constraint) decision() Decision {
	return Decision{Service: constraint.service, Demand: constraint.projected, ProgramDemand: constraint.programDemand, Limit: constraint.limit, Capacity: constraint.capacity, Rate: constraint.startRate}
}

func (constraint *constraint) reason() Reason {
	if constraint.memory {
		return ReasonMemory
	}
	return ReasonSlots
}

// fits reports whether demand stays within its limit with the request.
func (constraint *constraint) fits() bool { return constraint.projected <= constraint.limit }

// fitsUnderShareAllowance reports whether the tenant is far below its fair share and demand
// stays within the allowance for such tenants.
func (constraint *constraint) fitsUnderShareAllowance(decision Decision) bool {
	return decision.farUnderShare() && constraint.projected <= constraint.limit+underShareAllowance*constraint.capacity
}

// retryAfter returns how long the request must wait until capacity is expected for it, behind
// recently refused requests.
func (constraint *constraint) retryAfter(request Request, lifetime time.Duration) time.Duration {
	longest := maxRetryAfter
	if request.HasSoftDeadline {
		longest = min(longest, max(request.UntilSoftDeadline-lifetime, minRetryAfter))
	}
	wait := longest.Seconds() / (1 + maxRetryJitter)
	if constraint.startRate > 0 {
		wait = min(wait, (constraint.backlog+constraint.programDemand)/constraint.startRate)
	}
	wait = max(wait, minRetryAfter.Seconds())
	return addJitter(time.Duration(wait*float64(time.Second)), request.RetryJitter)
}

// addJitter extends a wait by up to maxRetryJitter, so that programs refused together do not
// retry at the same time.
func addJitter(wait time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(wait) * (1 + maxRetryJitter*jitter))
}
