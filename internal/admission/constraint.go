package admission

import (
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// constraint is the resource that leaves an order the least room, with what asks for it.
type constraint struct {
	*resource
	state *State
	order Request
	need  float64
	// place is the number of more urgent ranks, ranks all there are.
	place int
	ranks []int
	// projected is the demand with what has begun since the state's moment and with the
	// order; limit leaves out what is kept for more urgent ranks, and dear what the order's
	// route leaves to cheaper ones of its rank.
	projected float64
	limit     float64
	dear      float64
	// rate is what may begin in a second at the order's rank, over all owners, kept what may
	// of the order's route whatever others ask for, and backlog what was refused to the rank
	// lately.
	rate    float64
	kept    float64
	backlog float64
}

// constraint finds the resource that binds, nil where there is none.
func (controller *Controller) constraint(order Request, state *State, now time.Time) *constraint {
	known := controller.learned
	own := controller.begunSince(now.Add(-state.Age))
	ranks := ranksOf(state, order.Priority)
	dear := known.dear(order.Route, order.Priority, state)
	var tightest *constraint
	for _, shared := range known.resources(state, controller.options.MemoryLimit) {
		next := &constraint{resource: shared, state: state, order: order, ranks: ranks, place: position(ranks, order.Priority)}
		next.need = known.need(shared, order.Route, order.Service)
		if shared.memory {
			next.need = max(next.need, float64(order.PromptTokens)*ownMemory(shared, order))
		}
		if next.need < nominalNeed*shared.capacity {
			continue
		}
		next.projected = shared.demand + known.moved(shared, state, own) + next.need
		near := nearness(next.projected / shared.limit)
		next.dear = near * dear * shared.capacity
		next.limit = shared.limit - near*known.reserve(next.place)*shared.capacity - next.dear
		if tightest == nil || next.fill() > tightest.fill() {
			tightest = next
		}
	}
	if tightest != nil {
		tightest.setRate(known)
	}
	return tightest
}

// ownMemory is 1 where the order's prompts go into the memory.
func ownMemory(shared *resource, order Request) float64 {
	if shared.service == order.Service {
		return 1
	}
	return 0
}

// begunSince lists this owner's admissions since a moment.
func (controller *Controller) begunSince(moment time.Time) []begun {
	first, _ := slices.BinarySearchFunc(controller.begun, moment, func(admission begun, moment time.Time) int { return admission.at.Compare(moment) })
	return controller.begun[first:]
}

// ranksOf lists the ranks of which programs are under way or ask, and that of the order.
func ranksOf(state *State, own int) []int {
	ranks := []int{own}
	for _, route := range state.Total.Routes {
		if route.Programs > 0 || perSecond(route.ProgramsStarted+route.Refused) >= 1 {
			ranks = append(ranks, route.Priority)
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

func (constraint *constraint) fill() float64 { return constraint.projected / constraint.limit }

// setRate works out what may begin: as much as ends, and what brings demand to its limit
// soon.
func (constraint *constraint) setRate(known *learned) {
	room := constraint.limit - (constraint.projected - constraint.need)
	rate := constraint.ends + room/correctionSpan.Seconds()
	life := max(known.routes[constraint.order.Route].life(), firstLife)
	rate = max(rate, leastRate*constraint.capacity/life.Seconds())
	wanted := make([]float64, len(constraint.ranks))
	for place, rank := range constraint.ranks {
		wanted[place] = known.rate(constraint.resource, constraint.state, atRank(rank, func(route load.Route) float64 { return route.ProgramsStarted + route.Refused }))
	}
	constraint.rate = divide(rate, wanted, constraint.place)
	if constraint.dear > 0 {
		constraint.kept = leastRouteShare * constraint.capacity / life.Seconds()
	}
	constraint.backlog = known.rate(constraint.resource, constraint.state, atRank(constraint.order.Priority, func(route load.Route) float64 { return route.Refused }))
}

// atRank counts only routes of one rank.
func atRank(rank int, count func(route load.Route) float64) func(route load.Route) float64 {
	return func(route load.Route) float64 {
		if route.Priority != rank {
			return 0
		}
		return count(route)
	}
}

func (constraint *constraint) decision() Decision {
	return Decision{Service: constraint.service, Demand: constraint.projected, ProgramDemand: constraint.need, Limit: constraint.limit, Capacity: constraint.capacity, Rate: constraint.rate}
}

func (constraint *constraint) reason() Reason {
	if constraint.memory {
		return ReasonMemory
	}
	return ReasonSlots
}

// fits tells whether the order leaves demand below its limit.
func (constraint *constraint) fits() bool { return constraint.projected <= constraint.limit }

// fitsUnderShare tells whether there is room for a tenant that has much less than its
// share.
func (constraint *constraint) fitsUnderShare(decision Decision) bool {
	return decision.farUnderShare() && constraint.projected <= constraint.limit+underShareRoom*constraint.capacity
}

// retryAfter is when there will be room for the order: those refused before it begin
// first.
func (constraint *constraint) retryAfter(order Request, life time.Duration) time.Duration {
	most := mostRetry
	if order.HasSoftDeadline {
		most = min(most, max(order.UntilSoftDeadline-life, leastRetry))
	}
	first := most.Seconds() / (1 + retrySpread)
	if constraint.rate > 0 {
		first = min(first, (constraint.backlog+constraint.need)/constraint.rate)
	}
	first = max(first, leastRetry.Seconds())
	return spread(time.Duration(first*float64(time.Second)), order.RetryJitter)
}

// spread makes a time to come back longer for some, so that those that are refused together
// come back one after another.
func spread(wait time.Duration, draw float64) time.Duration {
	return time.Duration(float64(wait) * (1 + retrySpread*draw))
}
