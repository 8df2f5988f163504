// Package backend maintains the engines of all services: their state, the selection of an
// engine for a request, the queue of waiting requests, and connections to engines.
package backend

import (
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/reach"
	"github.com/magpielug/magpielug/internal/region"
)

// Instance is one incarnation of an engine as registered by itself.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Version is the version of the engine's software, empty if the engine does not report it.
	// Versions have no order.
	Version string
	// Draining engines get no new requests, but for streams that no other engine can resume.
	Draining bool
	// Incarnation is the start time of the engine in Unix milliseconds and distinguishes
	// restarts under one ID. It is 0 if the engine does not report it.
	Incarnation int64
	// ColdRemaining is how long the engine is still cold after its start and can take few
	// requests.
	ColdRemaining time.Duration
}

// supersedes reports whether the record belongs to a later incarnation than a known one.
func (instance *Instance) supersedes(known *Instance) bool {
	return known.Incarnation != 0 && instance.Incarnation > known.Incarnation
}

// staleAgainst reports whether the record belongs to an earlier incarnation than a known one.
func (instance *Instance) staleAgainst(known *Instance) bool {
	return instance.Incarnation != 0 && instance.Incarnation < known.Incarnation
}

// Engine is an instance with this node's observations of it. Fields protected by the
// directory's lock are read through the directory's methods.
type Engine struct {
	Instance
	// running is the number of this node's running requests, awaitingFirstByte the number of
	// those without a byte of a response.
	running           int
	awaitingFirstByte int
	// remote is the estimated load from other nodes, as of the last estimate.
	remote remoteLoad
	// limit bounds running while the engine refuses requests.
	limit concurrencyLimit
	// coldUntil is when the engine is warm. coldBucket limits this node's requests until then.
	coldUntil  time.Time
	coldBucket tokenBucket
	// failures counts consecutive failures, for which the engine is avoided until avoidUntil.
	failures   int
	avoidUntil time.Time
	// fullUntil is the end of the backoff after a refusal.
	fullUntil time.Time
	// noResponseUntil is when the suspicion caused by a request without a response ends,
	// reportedUntil when the one caused by other nodes' reports ends.
	noResponseUntil time.Time
	reportedUntil   time.Time
	// recentLatency holds the recent latency observations, unreported those not yet reported to
	// the aggregating node. remoteSlowness is the slowness reported by that node, valid until
	// remoteSlownessUntil.
	recentLatency       decayingLatency
	unreported          LatencyStats
	remoteSlowness      float64
	remoteSlownessUntil time.Time
	// longTermLatency holds the long-term latency observations. remoteLongTermSlowness is the
	// long-term slowness reported by another node, valid until remoteLongTermUntil.
	longTermLatency        decayingLatency
	remoteLongTermSlowness float64
	remoteLongTermUntil    time.Time
	// outcomes counts the outcomes of this node's requests.
	outcomes decayingOutcomes
	breaker  breaker
	// drainingSince is when this node learned that the engine is draining. It is zero if the node has
	// not known the engine before.
	drainingSince time.Time
}

// backingOff reports whether the engine is avoided because of failures or refusals.
func (engine *Engine) backingOff(now time.Time) bool {
	return now.Before(engine.avoidUntil) || now.Before(engine.fullUntil)
}

// suspected reports whether the engine may be hanging or down.
func (engine *Engine) suspected(now time.Time) bool {
	return now.Before(engine.noResponseUntil) || now.Before(engine.reportedUntil)
}

// maxExcludedShare is the maximum share of a service's engines that may be excluded as
// suspected or by open breakers. If more are unresponsive, the service is overloaded, and
// excluding the slowest engines would overload the others.
const maxExcludedShare = 1.0 / 3

// honorsSuspicion reports whether few enough engines are suspected for them to be avoided.
func honorsSuspicion(engines []*Engine, now time.Time) bool {
	if !feature.Enabled(feature.AvoidUnresponsiveEngines) {
		return false
	}
	suspected := 0
	for _, engine := range engines {
		if engine.suspected(now) {
			suspected++
		}
	}
	return float64(suspected) <= maxExcludedShare*float64(len(engines))
}

const (
	// avoidanceThreshold is the number of consecutive failures after which an engine is
	// avoided.
	avoidanceThreshold = 2
	// initialAvoidance is how long an engine is avoided at first; it doubles up to
	// maxAvoidance.
	initialAvoidance = 300 * time.Millisecond
	maxAvoidance     = 3 * time.Second
	// unreachableAvoidance is the initial time an engine is avoided after a failed connection
	// attempt.
	unreachableAvoidance = time.Second
	// noResponseAvoidance is how long an engine is suspected while a request awaits its
	// response, and initially after such a request was given up.
	noResponseAvoidance = time.Second
	// firstByteWeight is the weight of the latest observation in the mean time to the first
	// byte. firstByteTimeoutFactor is the multiple of that mean after which an engine is
	// suspected.
	firstByteWeight        = 0.05
	firstByteTimeoutFactor = 5
	// reportTTL is how long a report from another node is valid.
	reportTTL = time.Second
	// fullBackoff is the initial backoff after an engine has refused a request as full.
	fullBackoff = 25 * time.Millisecond
)

// Directory holds the engines of all services. It is safe for concurrent use.
type Directory struct {
	mutex   sync.Mutex
	engines map[string]*Engine
	// eligibleByService lists the engines that may get requests; nil if it has to be rebuilt.
	eligibleByService map[string][]*Engine
	policy            Policy
	// firstByteMeans is the mean time to the first byte, by service.
	firstByteMeans map[string]time.Duration
	// routeMeans is the mean latency by route. Single high values affect it less.
	routeMeans map[string]time.Duration
	// meanDurations is the mean duration of successful requests, by service.
	meanDurations map[string]time.Duration
	// quotas are this node's shares of the capacity shown by the latest load view,
	// serviceLimits the limits learned from refusals; both by service.
	quotas        nodeQuotas
	serviceLimits map[string]*concurrencyLimit
	// nodes returns the number of nodes that share the engines; nil if not known.
	nodes func() int
	// evacuated holds the zones evacuated by operators.
	evacuated map[string]bool
	// cold limits the requests to cold engines; see SetColdLimits.
	cold coldLimits
	// usesAssignment is true if owners assign engines to sessions.
	usesAssignment bool
	// zones reports which zones are reachable; may be nil.
	zones *reach.Zones
	// load is the view of the load from all nodes.
	load *load.View
	// breakersEvaluated is when the breakers of a service were last evaluated.
	breakersEvaluated map[string]time.Time
	// drainTime is how long an engine takes requests after it has announced that it is draining.
	drainTime time.Duration
	// onBreakerChange is called on each change of a breaker; may be nil.
	onBreakerChange func(BreakerChange)
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{engines: map[string]*Engine{}, evacuated: map[string]bool{}, eligibleByService: map[string][]*Engine{}, policy: policies[PolicyProgram], load: load.NewView(),
		firstByteMeans: map[string]time.Duration{}, routeMeans: map[string]time.Duration{}, breakersEvaluated: map[string]time.Time{}}
}

// SetZones sets the source of zone reachability, to which the directory also reports the
// outcomes of requests. It must be called before any other method.
func (directory *Directory) SetZones(zones *reach.Zones) { directory.zones = zones }

// SetLoadView sets the view of the load from all nodes. It must be called before any other
// method.
func (directory *Directory) SetLoadView(view *load.View) { directory.load = view }

// Change is the effect of an engine's record on the directory.
type Change int

// Changes.
const (
	// Unchanged: the record contains nothing new.
	Unchanged Change = iota
	// Changed: the engine is new, or its record has changed.
	Changed
	// Restarted: the record belongs to a new incarnation of a known engine. All observations of
	// the earlier one are discarded.
	Restarted
)

// Upsert adds an engine or updates its record, and returns what has changed. A new incarnation
// starts without the observations and running requests of the earlier one.
func (directory *Directory) Upsert(instance Instance, now time.Time) Change {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	existing := directory.engines[instance.ID]
	change := Changed
	switch {
	case existing == nil:
		existing = directory.add(instance.ID)
	case existing.Instance == instance || instance.staleAgainst(&existing.Instance):
		return Unchanged
	case instance.supersedes(&existing.Instance):
		existing = directory.add(instance.ID)
		change = Restarted
	}
	if existing.Draining {
		instance.Draining = true
	} else if instance.Draining && change != Restarted && existing.ID != "" {
		existing.drainingSince = now
	}
	existing.Instance = instance
	existing.coldUntil = now.Add(instance.ColdRemaining)
	directory.eligibleByService = nil
	return change
}

// add adds an engine without observations. The caller holds the mutex.
func (directory *Directory) add(id string) *Engine {
	engine := &Engine{}
	directory.engines[id] = engine
	return engine
}

// Remove removes an engine. It returns the instance, false if it was not known.
func (directory *Directory) Remove(id string) (Instance, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil {
		return Instance{}, false
	}
	delete(directory.engines, id)
	directory.eligibleByService = nil
	return engine.Instance, true
}

// eligible returns the engines of a service that may get requests. The caller holds the mutex.
func (directory *Directory) eligible(service string) []*Engine {
	if directory.eligibleByService == nil {
		directory.eligibleByService = map[string][]*Engine{}
		for _, engine := range directory.engines {
			if !engine.Draining && !directory.evacuated[engine.Zone] {
				directory.eligibleByService[engine.Service] = append(directory.eligibleByService[engine.Service], engine)
			}
		}
	}
	return directory.eligibleByService[service]
}

// Running returns the number of this node's running requests by engine.
func (directory *Directory) Running() map[string]int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	running := map[string]int{}
	for id, engine := range directory.engines {
		if engine.running > 0 {
			running[id] = engine.running
		}
	}
	return running
}

// Healthy returns the instances of a service in the given zones that may get requests and are
// not avoided. Cold ones are included only if all are cold: few nodes may send to a cold
// engine, but a session's turns may arrive at any node.
func (directory *Directory) Healthy(service string, zones region.ZoneSet, now time.Time) []Instance {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var warm, cold []Instance
	engines := directory.enginesWithClosedBreaker(service, now)
	filter := notAvoided{honorSuspicion: honorsSuspicion(engines, now)}
	for _, engine := range inZones(directory.eligibleReachable(service, now), zones) {
		switch {
		case !filter.Admits(engine, nil, now):
		case engine.isCold(now):
			cold = append(cold, engine.Instance)
		default:
			warm = append(warm, engine.Instance)
		}
	}
	if len(warm) == 0 {
		return cold
	}
	return warm
}

// Instance returns an engine that may get requests, false if it is unknown, draining or in an
// evacuated zone.
func (directory *Directory) Instance(id string) (Instance, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil || engine.Draining || directory.evacuated[engine.Zone] {
		return Instance{}, false
	}
	return engine.Instance, true
}

// Serving reports whether an incarnation of an engine is known and not draining.
func (directory *Directory) Serving(instance Instance) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[instance.ID]
	return engine != nil && engine.Incarnation == instance.Incarnation && !engine.Draining
}

// Known returns an engine whether it may get requests or not, false if it is unknown.
func (directory *Directory) Known(id string) (Instance, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil {
		return Instance{}, false
	}
	return engine.Instance, true
}

// InstanceOf returns what is known of an engine now. Its record may change while requests run.
func (directory *Directory) InstanceOf(engine *Engine) Instance {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return engine.Instance
}

// ServingLife reports whether an incarnation of an engine is known and may get requests.
func (directory *Directory) ServingLife(id string, incarnation int64) bool {
	instance, known := directory.Instance(id)
	return known && instance.Incarnation == incarnation
}

// Instances returns the engines of a service that may get requests.
func (directory *Directory) Instances(service string) []Instance {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engines := directory.eligible(service)
	instances := make([]Instance, len(engines))
	for index, engine := range engines {
		instances[index] = engine.Instance
	}
	return instances
}

// CountInZone returns the number of engines of a service in a zone that may get requests.
func (directory *Directory) CountInZone(service, zone string) int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	count := 0
	for _, engine := range directory.eligible(service) {
		if engine.Zone == zone {
			count++
		}
	}
	return count
}

// EligibleCount returns the number of engines of a service that may get requests.
func (directory *Directory) EligibleCount(service string) int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.eligible(service))
}

// EngineCount returns the number of known engines.
func (directory *Directory) EngineCount() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.engines)
}

// Outcome is how an engine handled a request.
type Outcome int

// Outcomes.
const (
	// Succeeded: the engine processed the request.
	Succeeded Outcome = iota
	// EngineError: the engine answered with an error of its own.
	EngineError
	// Full: the engine refused the request because it was full.
	Full
	// NoConnection: the node has reached its connection limit for the engine.
	NoConnection
	// Failed: the response was aborted or stalled.
	Failed
	// FailedRemotely: like Failed, but sent by another node. That node counts the failure,
	// since it may have been lost itself.
	FailedRemotely
	// Abandoned: the caller left. This says nothing about the engine.
	Abandoned
	// Misdirected: the address belongs to another engine.
	Misdirected
	// Unreachable: the connection could not be established.
	Unreachable
	// NoResponse: no byte arrived for too long, and the caller left.
	NoResponse
)

// Finish ends a request counted by Pick.
func (directory *Directory) Finish(engine *Engine, outcome Outcome, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine.running--
	directory.recordZoneOutcome(engine, outcome, now)
	engine.breaker.probing = false
	if outcome == EngineError && !feature.Enabled(feature.EngineBreaker) {
		outcome = Succeeded
	}
	switch outcome {
	case Succeeded:
		engine.failures = 0
		engine.limit.increase()
		directory.serviceLimit(engine.Service).increase()
		directory.recordSuccess(engine, now)
	case Full:
		engine.backOffFull(now)
		engine.limit.decrease(engine.running, now)
		directory.recordServiceRefusal(engine, now)
		directory.recordIdleRefusal(engine, now)
	case NoConnection:
		engine.fullUntil = now.Add(fullBackoff)
		engine.limit.decrease(engine.running, now)
	case Failed, EngineError, FailedRemotely:
		engine.failures++
		if outcome != FailedRemotely {
			directory.recordFailure(engine, now)
		}
		if engine.failures >= avoidanceThreshold {
			engine.avoid(now, backoff(initialAvoidance, engine.failures-avoidanceThreshold))
		}
	case Misdirected:
		engine.avoid(now, maxAvoidance)
	case Unreachable:
		engine.failures++
		engine.avoid(now, backoff(unreachableAvoidance, engine.failures-1))
	case NoResponse:
		engine.failures++
		engine.noResponseUntil = now.Add(backoff(noResponseAvoidance, engine.failures-1))
	case Abandoned:
	}
}

// backoff returns an initial delay doubled with each repetition, at most maxAvoidance.
func backoff(initial time.Duration, repetitions int) time.Duration {
	const maxDoublings = 8
	return min(initial<<min(repetitions, maxDoublings), maxAvoidance)
}

func (engine *Engine) avoid(now time.Time, duration time.Duration) {
	until := now.Add(duration)
	if until.After(engine.avoidUntil) {
		engine.avoidUntil = until
	}
}

// Suspect marks an engine as suspected for noResponseAvoidance because a request there gets no
// response.
func (directory *Directory) Suspect(engine *Engine, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine.noResponseUntil = now.Add(noResponseAvoidance)
}

// RecordFirstByte records how long a request waited at an engine for the first byte of its
// response. route is empty if the wait does not reflect the engine's latency.
func (directory *Directory) RecordFirstByte(engine *Engine, route string, took time.Duration, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	mean := directory.firstByteMeans[engine.Service]
	if mean == 0 {
		mean = took
	}
	directory.firstByteMeans[engine.Service] = mean + time.Duration(firstByteWeight*float64(took-mean))
	directory.recordLatency(engine, route, took, now)
}

// FirstByteTimeout is how long a request to a service may wait for the first byte before its
// engine is suspected: a multiple of the current mean, 0 if that is not known.
func (directory *Directory) FirstByteTimeout(service string) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return firstByteTimeoutFactor * directory.firstByteMeans[service]
}

// Avoided returns the engines that this node avoids because of its own observations, to be
// reported to other nodes.
func (directory *Directory) Avoided(now time.Time) []string {
	return directory.idsMatching(func(engine *Engine) bool {
		return now.Before(engine.avoidUntil) || now.Before(engine.noResponseUntil)
	})
}

// AvoidedByAny returns the engines of Avoided and those that other nodes have reported.
func (directory *Directory) AvoidedByAny(now time.Time) []string {
	return directory.idsMatching(func(engine *Engine) bool {
		return now.Before(engine.avoidUntil) || engine.suspected(now)
	})
}

func (directory *Directory) idsMatching(matches func(engine *Engine) bool) []string {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var ids []string
	for id, engine := range directory.engines {
		if matches(engine) {
			ids = append(ids, id)
		}
	}
	return ids
}

// AddReported records engines that another node avoids. With many engines, a single node sees
// few requests to each.
func (directory *Directory) AddReported(ids []string, now time.Time) {
	if !feature.Enabled(feature.EngineReports) {
		return
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, id := range ids {
		if engine := directory.engines[id]; engine != nil {
			engine.reportedUntil = now.Add(reportTTL)
		}
	}
}
