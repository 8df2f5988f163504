package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

const (
	// correctionInterval is the time within which demand is brought to its limit. It exceeds
	// the delay of some tenths of a second until an admission shows in the load view.
	correctionInterval = 500 * time.Millisecond
	// minStartFraction is the fraction of the capacity that may start per program lifetime
	// whatever the demand, so that programs start even if other traffic fills the engines.
	minStartFraction = 0.05
	// maxBurstDuration and minBurstPrograms bound the tokens that accumulate while no program
	// requests admission. Arrivals are random, so unused tokens must outlast the gaps between
	// them.
	maxBurstDuration = 300 * time.Millisecond
	minBurstPrograms = 1.5
	// refusalRetention is how long a refused program is remembered. When it retries and can
	// still meet its soft deadline, it takes precedence.
	refusalRetention = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter. Callers retry only once or
	// twice within their timeout, so a shorter wait would waste an attempt.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
	// maxTimelyRefusals is the number of refusals after which a program cannot meet its soft
	// deadline any more. It then waits at least lateRetryAfter, so that its remaining attempts
	// outlast a burst: six attempts at minRetryAfter fall within about a second. With jitter,
	// lateRetryAfter stays below a third of a turn's usual timeout of 4 s, the longest wait
	// that callers accept.
	maxTimelyRefusals = 2
	lateRetryAfter    = 850 * time.Millisecond
	// maxRetryJitter is the maximum jitter as a fraction of the wait.
	maxRetryJitter = 0.5
)

// Options enables parts of a controller.
type Options struct {
	// TenantShares limits tenants to their fair shares when capacity is scarce.
	TenantShares bool
	// MemoryLimit treats engine memory as a limited resource.
	MemoryLimit bool
}

// tokenBucket limits the rate at which programs start. One token is the whole capacity of the
// binding resource.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// bucketKey names the bucket of a priority, or of one of its routes.
type bucketKey struct {
	priority int
	// route is empty for the bucket of the whole priority.
	route string
}

// Controller decides for one owner. It is not safe for concurrent use.
type Controller struct {
	options   Options
	estimator *estimator
	// recentAdmissions are this owner's admissions that the load view may not include yet.
	recentAdmissions []admittedProgram
	buckets          map[bucketKey]*tokenBucket
	refused          map[tenant.Program]refusals
}

// refusals counts the refusals of a program that has not started.
type refusals struct {
	count int
	last  time.Time
}

// NewController returns a controller without any observations.
func NewController(options Options) *Controller {
	return &Controller{options: options, estimator: newEstimator(), buckets: map[bucketKey]*tokenBucket{}, refused: map[tenant.Program]refusals{}}
}

// Observe updates the estimates from a state. It must be called several times a second, also
// while no program requests admission.
func (controller *Controller) Observe(state *State, now time.Time) {
	controller.expire(now)
	// A node that owns no shard receives no program counts, and would attribute all requests at
	// the engines to other traffic.
	if !state.Known || state.OwnerShare <= 0 || len(state.Total.Routes) == 0 {
		return
	}
	step, taken := controller.estimator.observe(state, now)
	if !taken {
		return
	}
	late := excessLateFractionOf(state)
	for _, resource := range controller.estimator.resources(state, false) {
		usage := controller.estimator.service(resource.service)
		usage.limit.observe(loadSignals{
			loadPerSlot:  usage.occupancy.value / resource.capacity,
			lateFraction: late,
			binding:      resource.demand >= bindingThreshold*resource.limit,
		}, step)
	}
}

func excessLateFractionOf(state *State) float64 {
	var started, late float64
	for _, route := range state.Total.Routes {
		started += route.ProgramsStarted
		late += route.Late
	}
	return excessLateFraction(started, late)
}

func (controller *Controller) expire(now time.Time) {
	controller.recentAdmissions = slices.DeleteFunc(controller.recentAdmissions, func(admission admittedProgram) bool { return now.Sub(admission.at) > load.MaxViewAge })
	maps.DeleteFunc(controller.refused, func(_ tenant.Program, record refusals) bool { return now.Sub(record.last) > refusalRetention })
}

// Decide reports whether a program may start. It must be called once for each attempt.
func (controller *Controller) Decide(request Request, state *State, now time.Time) Decision {
	controller.Observe(state, now)
	controller.estimator.recordRequest(request, now)
	if !state.Known || state.OwnerShare <= 0 {
		return controller.admit(request, Decision{}, now)
	}
	constraint := controller.bindingConstraint(request, state, now)
	if constraint == nil {
		return controller.admit(request, Decision{}, now)
	}
	decision := constraint.decision()
	if controller.options.TenantShares {
		constraint.setFairShare(request, &decision)
	}
	switch {
	case decision.overShare():
		return controller.refuse(request, decision, ReasonTenantShare, constraint, now)
	case constraint.fits():
		controller.buckets[bucketKey{priority: request.Priority}] = &tokenBucket{refilledAt: now}
		return controller.admit(request, decision, now)
	case constraint.fitsUnderShareAllowance(decision):
		return controller.admit(request, decision, now)
	}
	if controller.takeTokens(request, constraint, now) {
		return controller.admit(request, decision, now)
	}
	return controller.refuse(request, decision, constraint.reason(), constraint, now)
}

func (controller *Controller) admit(request Request, decision Decision, now time.Time) Decision {
	decision.Admitted = true
	controller.recentAdmissions = append(controller.recentAdmissions, admittedProgram{route: request.Route, service: request.Service, at: now})
	delete(controller.refused, request.Program)
	return decision
}

func (controller *Controller) refuse(request Request, decision Decision, reason Reason, constraint *constraint, now time.Time) Decision {
	decision.Reason = reason
	record := refusals{count: controller.refused[request.Program].count + 1, last: now}
	controller.refused[request.Program] = record
	decision.RetryAfter = constraint.retryAfter(request, controller.estimator.routes[request.Route].lifetime())
	if record.count > maxTimelyRefusals {
		decision.RetryAfter = max(decision.RetryAfter, addJitter(lateRetryAfter, request.RetryJitter))
	}
	return decision
}

// takeTokens takes a program's demand from the buckets and reports whether they held enough.
func (controller *Controller) takeTokens(request Request, constraint *constraint, now time.Time) bool {
	minFraction := 1.0
	if controller.canMeetDeadline(request) {
		minFraction = 0
	}
	// Refill both buckets even if only one is used.
	priorityBucket := controller.refilledBucket(bucketKey{priority: request.Priority}, constraint.startRate, constraint, now)
	routeBucket := controller.refilledBucket(bucketKey{priority: request.Priority, route: request.Route}, constraint.routeRate, constraint, now)
	return priorityBucket.take(constraint, minFraction) || (constraint.routeRate > 0 && routeBucket.take(constraint, 1))
}

// refilledBucket returns a bucket, refilled up to now at a rate that is shared by all owners.
func (controller *Controller) refilledBucket(key bucketKey, rate float64, constraint *constraint, now time.Time) *tokenBucket {
	bucket := controller.buckets[key]
	if bucket == nil {
		bucket = &tokenBucket{refilledAt: now}
		if key.route != "" {
			// Owners start with different levels, so that a small reserve is not used by all of
			// them at once.
			bucket.tokens = constraint.request.RetryJitter * constraint.programDemand / constraint.capacity
		}
		controller.buckets[key] = bucket
	}
	refillRate := constraint.state.OwnerShare * rate / constraint.capacity
	burst := max(refillRate*maxBurstDuration.Seconds(), minBurstPrograms*constraint.programDemand/constraint.capacity)
	bucket.tokens = min(bucket.tokens+refillRate*now.Sub(bucket.refilledAt).Seconds(), burst)
	bucket.refilledAt = now
	return bucket
}

// take removes a program's demand if the bucket holds at least minFraction of it.
func (bucket *tokenBucket) take(constraint *constraint, minFraction float64) bool {
	demand := constraint.programDemand / constraint.capacity
	if bucket.tokens < minFraction*demand {
		return false
	}
	bucket.tokens -= demand
	return true
}

// canMeetDeadline reports whether a previously refused program can still meet its soft
// deadline. Such a program may start before enough tokens have accumulated.
func (controller *Controller) canMeetDeadline(request Request) bool {
	_, refused := controller.refused[request.Program]
	return refused && (!request.HasSoftDeadline || request.UntilSoftDeadline >= controller.estimator.routes[request.Route].lifetime())
}

// Resource is a limited resource that programs share, for metrics and status.
type Resource struct {
	Service  string
	Memory   bool
	Capacity float64
	Limit    float64
	Demand   float64
}

// Resources returns the shared resources as of a state.
func (controller *Controller) Resources(state *State) []Resource {
	var all []Resource
	for _, resource := range controller.estimator.resources(state, controller.options.MemoryLimit) {
		all = append(all, Resource{Service: resource.service, Memory: resource.memory, Capacity: resource.capacity, Limit: resource.limit, Demand: resource.demand})
	}
	return all
}
