package backend

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// serviceQueueShare is the number of requests that may be queued at the engines of a
	// service, as a share of its slots. A queue of a third of the slots delays a turn by about
	// a third of its duration. Turns are some three quarters of a program's ideal duration, and
	// the strictest soft deadlines leave 0.3 of that as slack.
	serviceQueueShare = 1.0 / 3
	// targetQueueWait is the queueing time that is acceptable for short requests: half of the
	// shortest latency objective. The load view is several times as old as such requests take,
	// so engines need queues to stay busy. maxServiceQueueShare bounds the resulting queue.
	targetQueueWait      = 40 * time.Millisecond
	maxServiceQueueShare = 2.0
	// extraEngineQueueShare is the additional queue share allowed at a single engine if a load
	// view is available. The view is too coarse to balance engines exactly: with a strict
	// bound, all nodes would avoid engines slightly above the mean and turn to the same few
	// others. In TestOverloadDoesNotSustainItself at 1.5 times the capacity for turns,
	// utilization is 0.8 without it, 0.88 with a third, 0.94 with two thirds, and no higher
	// with 1.
	extraEngineQueueShare = 2.0 / 3
	// extraAssignedQueueShare is the additional queue share allowed at a session's assigned
	// engine: about the cost of prefilling its prompt elsewhere and evicting another one there.
	extraAssignedQueueShare = 1.0 / 3
	// minViewDuration is the mean duration below which requests finish before other nodes
	// receive a view that contains them. Acting on such a view would hold back calls from
	// engines that are idle by then; their load is bounded by engines' queues and refusals
	// instead.
	minViewDuration = 50 * time.Millisecond
	// unlimitedCapacity stands for the free capacity of an engine without a limit.
	unlimitedCapacity = 1 << 16
)

// remoteLoad is the estimated load of other nodes on an engine.
type remoteLoad struct {
	requests float64
	known    bool
}

// estimateRemoteLoad estimates the load of other nodes on each engine of a service. The caller
// holds the mutex.
//
// The older the view is relative to the duration of requests, the more of those it counted have
// finished. Its per-engine values are therefore blended with the mean over all engines,
// weighted by slots, which also keeps nodes from herding to an engine that was idle when the
// view was made.
func (directory *Directory) estimateRemoteLoad(service string, engines []*Engine, now time.Time) {
	requests, slots := 0.0, 0.0
	useView := feature.Enabled(feature.LoadBasedCapacity) && directory.viewApplies(service)
	for _, engine := range engines {
		remote, known := directory.load.RemoteEngine(engine.ID, now)
		engine.remote = remoteLoad{requests: float64(remote.Running), known: known && useView}
		requests += engine.remote.requests
		slots += float64(max(engine.Slots, 1))
	}
	age, _ := directory.load.Age(now)
	weight := viewWeight(age, directory.meanDurations[service])
	for _, engine := range engines {
		mean := requests * float64(max(engine.Slots, 1)) / slots
		engine.remote.requests = mean + weight*(engine.remote.requests-mean)
		if !engine.remote.known {
			engine.remote.requests = 0
		}
	}
}

// viewApplies reports whether requests of a service last long enough for a load view to be
// meaningful.
func (directory *Directory) viewApplies(service string) bool {
	duration := directory.meanDurations[service]
	return duration == 0 || duration >= minViewDuration
}

// viewWeight is the weight of a view's per-engine values relative to the mean, given its age
// and the mean duration of requests.
func viewWeight(age, duration time.Duration) float64 {
	if duration == 0 {
		return 1
	}
	return math.Exp(-max(age, 0).Seconds() / duration.Seconds())
}

// estimatedRunning is the estimated number of requests running at an engine, over all nodes.
// The caller holds the mutex and has called estimateRemoteLoad.
func (engine *Engine) estimatedRunning() float64 {
	return engine.remote.requests + float64(engine.running)
}

// maxRunning is the maximum number of requests at an engine with the given queue share, 0 for
// no limit.
func (engine *Engine) maxRunning(share float64) float64 {
	if engine.Slots <= 0 {
		return 0
	}
	return float64(engine.Slots) + math.Ceil(share*float64(engine.Slots))
}

// extraQueueShare is the queue share allowed at this engine on top of the service's. It is 0
// without a load view, as nothing else limits the service then.
func (engine *Engine) extraQueueShare() float64 {
	if engine.remote.known {
		return extraEngineQueueShare
	}
	return 0
}

// queueShare is the queue share allowed at the engines of a service. The caller holds the mutex
// and has called estimateRemoteLoad.
func (directory *Directory) queueShare(service string, engines []*Engine) float64 {
	running, slots := 0.0, 0.0
	for _, engine := range engines {
		running += engine.estimatedRunning()
		slots += float64(engine.Slots)
	}
	duration := directory.meanDurations[service].Seconds()
	if duration == 0 || slots == 0 {
		return serviceQueueShare
	}
	// The duration of a request without queueing.
	unqueued := duration * min(1, slots/max(running, 1))
	return min(max(targetQueueWait.Seconds()/unqueued, serviceQueueShare), maxServiceQueueShare)
}

// freeCapacity is how many more requests an engine can take with the given queue share.
func (engine *Engine) freeCapacity(share float64, now time.Time) float64 {
	free := float64(unlimitedCapacity)
	if limit := engine.maxRunning(share); limit > 0 {
		free = limit - engine.estimatedRunning()
	}
	if limit := engine.limit.current(now); limit > 0 && feature.Enabled(feature.EngineLimits) {
		free = min(free, limit-float64(engine.running))
	}
	return max(math.Floor(free+roundingTolerance), 0)
}

// roundingTolerance compensates for floating-point errors when rounding down.
const roundingTolerance = 1e-6

// hasCapacity admits engines with capacity for one more request, according to the load of all
// nodes or, without a view, of this node. It avoids requests that would be refused: refusals
// cost engine time and can sustain an overload after its cause is gone.
type hasCapacity struct {
	// quota is how many more requests this node may send to the service.
	quota int
	// queueShare is the queue share allowed at the service.
	queueShare float64
}

// Admits implements Filter.
func (filter hasCapacity) Admits(engine *Engine, request *Request, now time.Time) bool {
	share := filter.queueShare + engine.extraQueueShare()
	if request.Assigned == engine.ID {
		share += extraAssignedQueueShare
	}
	return filter.quota >= 1 && engine.freeCapacity(share, now) >= 1
}

// notFull admits engines that are not backing off after a refusal. It is never dropped, as such
// an engine is most likely still full.
type notFull struct{}

// Admits implements Filter.
func (notFull) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return !now.Before(engine.fullUntil)
}

// FreeCapacity returns the estimated number of additional requests that this node may send to a
// service.
func (directory *Directory) FreeCapacity(service string, now time.Time) int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.freeCapacity(service, now)
}

func (directory *Directory) freeCapacity(service string, now time.Time) int {
	engines := directory.eligibleReachable(service, now)
	directory.estimateRemoteLoad(service, engines, now)
	healthy := notAvoided{honorSuspicion: honorsSuspicion(engines, now)}
	share := directory.queueShare(service, engines)
	healthyFree, totalFree, anyAccepting := 0, 0, false
	for _, engine := range engines {
		if !(notFull{}).Admits(engine, nil, now) || !directory.withinColdLimit(engine, now) {
			continue
		}
		anyAccepting = true
		free := int(engine.freeCapacity(share+engine.extraQueueShare(), now))
		totalFree += free
		if healthy.Admits(engine, nil, now) {
			healthyFree += free
		}
	}
	free := healthyFree
	if free == 0 {
		free = totalFree
	}
	free = min(free, directory.remainingQuota(service, engines, now))
	if free == 0 && anyAccepting && localRunning(engines) == 0 {
		return 1
	}
	return free
}

// remainingQuota is how many more requests this node may send to a service: by its quota from
// the load view, or else by the limit learned from refusals.
func (directory *Directory) remainingQuota(service string, engines []*Engine, now time.Time) int {
	quota := unlimitedCapacity
	if viewQuota, known := directory.quotas[service]; known && directory.remoteLoadKnown(now) {
		quota = viewQuota
	}
	if limit := directory.serviceLimit(service).current(now); limit > 0 && !(directory.remoteLoadKnown(now) && directory.viewApplies(service)) {
		quota = min(quota, int(limit))
	}
	return max(quota-localRunning(engines), 0)
}

func localRunning(engines []*Engine) int {
	running := 0
	for _, engine := range engines {
		running += engine.running
	}
	return running
}

// serviceLimit returns the limit on this node's requests to a service, learned from refusals.
func (directory *Directory) serviceLimit(service string) *concurrencyLimit {
	if directory.serviceLimits == nil {
		directory.serviceLimits = map[string]*concurrencyLimit{}
	}
	limit := directory.serviceLimits[service]
	if limit == nil {
		limit = &concurrencyLimit{}
		directory.serviceLimits[service] = limit
	}
	return limit
}

// fullServiceShare is the share of its engines that must refuse requests for a service to count
// as full. Fewer may refuse because of individual faults and are avoided.
const fullServiceShare = 1.0 / 3

// recordServiceRefusal lowers the service's limit if enough of its engines refuse requests. The
// caller holds the mutex.
func (directory *Directory) recordServiceRefusal(engine *Engine, now time.Time) {
	engines := directory.eligible(engine.Service)
	refusing := 0
	for _, each := range engines {
		if each.limit.current(now) > 0 {
			refusing++
		}
	}
	if float64(refusing) >= fullServiceShare*float64(len(engines)) {
		directory.serviceLimit(engine.Service).decrease(localRunning(engines), now)
	}
}

// remoteLoadKnown reports whether a current view of other nodes' load is available.
func (directory *Directory) remoteLoadKnown(now time.Time) bool {
	_, known := directory.load.Total(now)
	return known
}

// NextRetryTime returns the earliest end of a backoff after a refusal among the engines of a
// service, false if none is backing off.
func (directory *Directory) NextRetryTime(service string, now time.Time) (time.Time, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var next time.Time
	for _, engine := range directory.eligible(service) {
		if now.Before(engine.fullUntil) && (next.IsZero() || engine.fullUntil.Before(next)) {
			next = engine.fullUntil
		}
	}
	return next, !next.IsZero()
}
