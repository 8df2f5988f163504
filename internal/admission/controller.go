package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

const (
	// correctionSpan is within which demand is brought to its limit. It is longer than
	// it takes to see what an admission has changed: a view is some tenths of a second
	// old.
	correctionSpan = 500 * time.Millisecond
	// leastRate of the capacity may begin in the time that a program lives, whatever
	// demand is: where other callers fill the engines programs still begin.
	leastRate = 0.05
	// longestCredit bounds for how long what may begin adds up while nobody asks: programs
	// come by chance, and an owner sees a dozen a second. leastCredit programs may always
	// add up.
	longestCredit = 300 * time.Millisecond
	leastCredit   = 1.5
	// returnSpan is how long a refused program is remembered, which goes first when it
	// comes back and can still end in its aim.
	returnSpan = 3 * time.Second
	// leastRetry and mostRetry bound when a refused program is told to come back. Callers
	// wait for a third of their time at most, of some seconds, and their aims leave about
	// half a second. A shorter wait costs them a try of the one or two that they have.
	leastRetry = 150 * time.Millisecond
	mostRetry  = 900 * time.Millisecond
	// hopeless is how many refusals a program's aim bears. One that was refused more often is
	// told to come back after lateRetry, which is a third of a turn's usual 4 s less what
	// retrySpread adds: it will be late, and each of its few tries shall find another moment.
	// Told 0.2 s each time, six tries were over in 1.1 s, within the burst that refused them.
	hopeless  = 2
	lateRetry = 850 * time.Millisecond
	// retrySpread is the part of the wait by which two programs refused together differ.
	retrySpread = 0.5
)

// Options switches parts of a controller on.
type Options struct {
	// TenantShares has tenants share what is scarce.
	TenantShares bool
	// MemoryLimit counts engines' memory as a limit.
	MemoryLimit bool
}

// credit is what may begin, as a part of the capacity that binds.
type credit struct {
	value float64
	at    time.Time
}

// creditOwner is a rank, or one route of it, that has a credit.
type creditOwner struct {
	rank int
	// route is empty for the credit of the whole rank.
	route string
}

// Controller decides for one owner. It is not safe for concurrent use.
type Controller struct {
	options Options
	learned *learned
	// begun are this owner's admissions that a view may not show yet.
	begun   []begun
	credits map[creditOwner]*credit
	refused map[tenant.Program]refusals
}

// refusals are those of a program that has not begun.
type refusals struct {
	count int
	last  time.Time
}

// NewController returns a controller that has learned nothing.
func NewController(options Options) *Controller {
	return &Controller{options: options, learned: newLearned(), credits: map[creditOwner]*credit{}, refused: map[tenant.Program]refusals{}}
}

// Observe learns from a state. It is called some times a second, also while no program
// asks.
func (controller *Controller) Observe(state *State, now time.Time) {
	controller.expire(now)
	// A node that owns no shard is not told of programs, and would take all that runs at
	// engines for other callers'.
	if !state.Known || state.OwnerShare <= 0 || len(state.Total.Routes) == 0 {
		return
	}
	step, taken := controller.learned.observe(state, now)
	if !taken {
		return
	}
	late := lateOf(state)
	for _, shared := range controller.learned.resources(state, false) {
		use := controller.learned.service(shared.service)
		use.bound.observe(signals{
			queue: use.present.value / shared.capacity,
			late:  late,
			binds: shared.demand >= bindsFrom*shared.limit,
		}, step)
	}
}

func lateOf(state *State) float64 {
	var begun, late float64
	for _, route := range state.Total.Routes {
		begun += route.ProgramsStarted
		late += route.Late
	}
	return lateBeyondLoops(begun, late)
}

func (controller *Controller) expire(now time.Time) {
	controller.begun = slices.DeleteFunc(controller.begun, func(admission begun) bool { return now.Sub(admission.at) > load.MaxViewAge })
	maps.DeleteFunc(controller.refused, func(_ tenant.Program, held refusals) bool { return now.Sub(held.last) > returnSpan })
}

// Decide tells whether a program may begin. It has to be asked once for each try.
func (controller *Controller) Decide(order Request, state *State, now time.Time) Decision {
	controller.Observe(state, now)
	controller.learned.noteAsk(order, now)
	if !state.Known || state.OwnerShare <= 0 {
		return controller.admit(order, Decision{}, now)
	}
	constraint := controller.constraint(order, state, now)
	if constraint == nil {
		return controller.admit(order, Decision{}, now)
	}
	decision := constraint.decision()
	if controller.options.TenantShares {
		constraint.share(order, &decision)
	}
	switch {
	case decision.overShare():
		return controller.refuse(order, decision, ReasonTenantShare, constraint, now)
	case constraint.fits():
		controller.credits[creditOwner{rank: order.Priority}] = &credit{at: now}
		return controller.admit(order, decision, now)
	case constraint.fitsUnderShare(decision):
		return controller.admit(order, decision, now)
	}
	if controller.draw(order, constraint, now) {
		return controller.admit(order, decision, now)
	}
	return controller.refuse(order, decision, constraint.reason(), constraint, now)
}

func (controller *Controller) admit(order Request, decision Decision, now time.Time) Decision {
	decision.Admitted = true
	controller.begun = append(controller.begun, begun{route: order.Route, service: order.Service, at: now})
	delete(controller.refused, order.Program)
	return decision
}

func (controller *Controller) refuse(order Request, decision Decision, reason Reason, constraint *constraint, now time.Time) Decision {
	decision.Reason = reason
	held := refusals{count: controller.refused[order.Program].count + 1, last: now}
	controller.refused[order.Program] = held
	decision.RetryAfter = constraint.retryAfter(order, controller.learned.routes[order.Route].life())
	if held.count > hopeless {
		decision.RetryAfter = max(decision.RetryAfter, spread(lateRetry, order.RetryJitter))
	}
	return decision
}

// draw takes a program's need from what may begin, and tells whether there was enough.
func (controller *Controller) draw(order Request, constraint *constraint, now time.Time) bool {
	least := 1.0
	if controller.returnsInTime(order) {
		least = 0
	}
	// Both are brought up to now.
	rank := controller.credit(creditOwner{rank: order.Priority}, constraint.rate, constraint, now)
	route := controller.credit(creditOwner{rank: order.Priority, route: order.Route}, constraint.kept, constraint, now)
	return rank.draw(constraint, least) || (constraint.kept > 0 && route.draw(constraint, 1))
}

// credit returns a credit with what has been added to it until now, at a rate over all owners.
func (controller *Controller) credit(owner creditOwner, rate float64, constraint *constraint, now time.Time) *credit {
	held := controller.credits[owner]
	if held == nil {
		held = &credit{at: now}
		if owner.route != "" {
			// Owners start apart, so that what is kept of little capacity does not begin
			// everywhere at once.
			held.value = constraint.order.RetryJitter * constraint.need / constraint.capacity
		}
		controller.credits[owner] = held
	}
	own := constraint.state.OwnerShare * rate / constraint.capacity
	most := max(own*longestCredit.Seconds(), leastCredit*constraint.need/constraint.capacity)
	held.value = min(held.value+own*now.Sub(held.at).Seconds(), most)
	held.at = now
	return held
}

// draw takes a program's need out where the credit holds at least a part of it.
func (held *credit) draw(constraint *constraint, least float64) bool {
	need := constraint.need / constraint.capacity
	if held.value < least*need {
		return false
	}
	held.value -= need
	return true
}

// returnsInTime tells whether a program that was refused can still end in its aim. Such a
// one may begin ahead of what adds up.
func (controller *Controller) returnsInTime(order Request) bool {
	_, refused := controller.refused[order.Program]
	return refused && (!order.HasSoftDeadline || order.UntilSoftDeadline >= controller.learned.routes[order.Route].life())
}

// Resource is what programs share, for the metrics.
type Resource struct {
	Service  string
	Memory   bool
	Capacity float64
	Limit    float64
	Demand   float64
}

// Resources returns what programs share, as a state shows it.
func (controller *Controller) Resources(state *State) []Resource {
	var all []Resource
	for _, shared := range controller.learned.resources(state, controller.options.MemoryLimit) {
		all = append(all, Resource{Service: shared.service, Memory: shared.memory, Capacity: shared.capacity, Limit: shared.limit, Demand: shared.demand})
	}
	return all
}
