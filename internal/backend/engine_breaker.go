package backend

import (
	"math"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// successDecay and failureDecay are the times in which the weight of a succeeded and of a
	// failed request falls to 1/e. Successes decay faster, so that earlier successes delay the
	// opening of a breaker less: by these formulas it opens 0.4 s after an engine begins to
	// fail every request, and with 2 s for both after 0.6 s.
	successDecay = 700 * time.Millisecond
	failureDecay = 2 * time.Second
	// evaluationInterval is the minimum time between two evaluations of a service's breakers,
	// unless this node records a failure. The load view they use is some hundred milliseconds
	// old anyway.
	evaluationInterval = 25 * time.Millisecond
	// idleUtilization is the share of an engine's slots in use below which a refusal counts as
	// a failure: a full engine refuses legitimately. It leaves room for load that the view does
	// not show yet.
	idleUtilization = 0.25
	// minProbeJitter is the minimum delay of a probe, as a share of the probe interval. The
	// mean delay is one interval.
	minProbeJitter = 0.5
)

// decayingOutcomes counts outcomes with exponentially decaying weights.
type decayingOutcomes struct {
	outcomeCounts
	updated time.Time
}

// decayed returns the counts decayed to a time.
func (outcomes *decayingOutcomes) decayed(now time.Time) outcomeCounts {
	age := max(now.Sub(outcomes.updated), 0).Seconds()
	return outcomeCounts{
		succeeded: outcomes.succeeded * math.Exp(-age/successDecay.Seconds()),
		failed:    outcomes.failed * math.Exp(-age/failureDecay.Seconds()),
	}
}

// add adds further outcomes.
func (outcomes *decayingOutcomes) add(added outcomeCounts, now time.Time) {
	outcomes.outcomeCounts = outcomes.decayed(now).plusWeighted(added, 1)
	outcomes.updated = now
}

// breaker is the state of an engine's circuit breaker at this node.
type breaker struct {
	open     bool
	halfOpen bool
	// failed is the number of failures at the last evaluation.
	failed float64
	// minOpenUntil is the earliest time the breaker may close. reopenings counts the times it
	// opened again within flapWindow of closing.
	minOpenUntil time.Time
	reopenings   int
	closedAt     time.Time
	// lastProbe is when this node last sent a probe, or when the breaker opened. The next probe
	// is due after probeJitter probe intervals. probing is true while a probe is in flight.
	lastProbe   time.Time
	probeJitter float64
	probing     bool
}

// BreakerChange reports that an engine's breaker has opened or closed, with the decayed counts
// of outcomes that caused the change.
type BreakerChange struct {
	Engine  string
	Service string
	Open    bool
	// Succeeded and Failed count requests of this node, the Remote fields those of other nodes.
	Succeeded, Failed             float64
	RemoteSucceeded, RemoteFailed float64
	// RemoteKnown is false if no report from other nodes was available.
	RemoteKnown bool
}

// OnBreakerChange registers a function that is called on each change. It runs under the
// directory's lock and must not call the directory. OnBreakerChange must be called before any
// other method.
func (directory *Directory) OnBreakerChange(callback func(BreakerChange)) {
	directory.onBreakerChange = callback
}

// localOutcomes returns the decayed outcomes of this node's requests to an engine. The caller
// holds the mutex.
func (directory *Directory) localOutcomes(engine *Engine, now time.Time) (succeeded, failed float64) {
	local := engine.outcomes.decayed(now)
	return local.succeeded, local.failed
}

// recordSuccess counts a request that succeeded. The caller holds the mutex.
func (directory *Directory) recordSuccess(engine *Engine, now time.Time) {
	engine.outcomes.add(outcomeCounts{succeeded: 1}, now)
}

// recordFailure counts a request that failed through a fault of the engine, and has the
// breakers evaluated again at once. The caller holds the mutex.
func (directory *Directory) recordFailure(engine *Engine, now time.Time) {
	engine.outcomes.add(outcomeCounts{failed: 1}, now)
	delete(directory.breakersEvaluated, engine.Service)
}

// CountFailed counts a request sent by this node that is considered failed before it finishes,
// or that was sent on behalf of another node. Requests to an earlier incarnation of the engine
// are ignored.
func (directory *Directory) CountFailed(instance Instance, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if engine := directory.currentEngine(instance); engine != nil {
		directory.recordFailure(engine, now)
	}
}

// currentEngine returns the engine of an instance, nil if it has left or been restarted. The
// caller holds the mutex.
func (directory *Directory) currentEngine(instance Instance) *Engine {
	engine := directory.engines[instance.ID]
	if engine == nil || engine.Incarnation != instance.Incarnation {
		return nil
	}
	return engine
}

// UncountFailed reverts one CountFailed, because the response has continued after all.
func (directory *Directory) UncountFailed(instance Instance, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if engine := directory.currentEngine(instance); engine != nil {
		current := engine.outcomes.decayed(now)
		engine.outcomes = decayingOutcomes{outcomeCounts: outcomeCounts{succeeded: current.succeeded, failed: max(current.failed-1, 0)}, updated: now}
	}
}

// recordIdleRefusal counts a refusal as a failure if the engine is nearly idle. The caller
// holds the mutex.
func (directory *Directory) recordIdleRefusal(engine *Engine, now time.Time) {
	remote, known := directory.load.RemoteEngine(engine.ID, now)
	if known && engine.running+remote.Running < int(idleUtilization*float64(engine.Slots)) {
		directory.recordFailure(engine, now)
	}
}

// enginesWithClosedBreaker returns the eligible engines of a service whose breakers are closed,
// all of them if the feature is disabled. The caller holds the mutex.
func (directory *Directory) enginesWithClosedBreaker(service string, now time.Time) []*Engine {
	engines := directory.eligible(service)
	if !feature.Enabled(feature.EngineBreaker) {
		return engines
	}
	directory.evaluateBreakers(service, engines, now)
	if !slices.ContainsFunc(engines, func(engine *Engine) bool { return engine.breaker.open }) {
		return engines
	}
	closed := make([]*Engine, 0, len(engines))
	for _, engine := range engines {
		if !engine.breaker.open {
			closed = append(closed, engine)
		}
	}
	return closed
}

// evaluateBreakers opens and closes the breakers of a service's engines.
func (directory *Directory) evaluateBreakers(service string, engines []*Engine, now time.Time) {
	if now.Sub(directory.breakersEvaluated[service]) < evaluationInterval {
		return
	}
	directory.breakersEvaluated[service] = now
	states := make([]breakerState, 0, len(engines))
	for _, engine := range engines {
		local, remote := engine.outcomes.decayed(now), directory.remoteOutcomes(engine, now)
		failed := local.failed + remote.failed
		states = append(states, breakerState{
			outcomes:     remote.plusWeighted(local, localWeight),
			failed:       failed,
			newFailures:  failed > engine.breaker.failed,
			open:         engine.breaker.open,
			mustStayOpen: now.Before(engine.breaker.minOpenUntil),
		})
		engine.breaker.failed = failed
	}
	for index, open := range selectOpenBreakers(states) {
		engine := engines[index]
		engine.breaker.halfOpen = open && !now.Before(engine.breaker.minOpenUntil) && isHalfOpen(states[index].outcomes)
		if open != engine.breaker.open {
			engine.breaker.setOpen(open, now)
			directory.notifyBreakerChange(engine, now)
		}
	}
}

// remoteOutcomes returns the outcomes of other nodes' requests to an engine, zero if not known.
func (directory *Directory) remoteOutcomes(engine *Engine, now time.Time) outcomeCounts {
	remote, _ := directory.load.RemoteEngine(engine.ID, now)
	return outcomeCounts{succeeded: remote.Succeeded, failed: remote.Failed}
}

func (breaker *breaker) setOpen(open bool, now time.Time) {
	breaker.open = open
	if !open {
		breaker.closedAt = now
		return
	}
	breaker.reopenings++
	if breaker.closedAt.IsZero() || now.Sub(breaker.closedAt) > flapWindow {
		breaker.reopenings = 0
	}
	breaker.minOpenUntil = now.Add(openTime(breaker.reopenings))
	breaker.lastProbe = now
	// The first probes are spread because nodes open their breakers at about the same time.
	breaker.probeJitter = randomFloat()
	breaker.probing = false
}

func (directory *Directory) notifyBreakerChange(engine *Engine, now time.Time) {
	if directory.onBreakerChange == nil {
		return
	}
	local := engine.outcomes.decayed(now)
	remote, known := directory.load.RemoteEngine(engine.ID, now)
	directory.onBreakerChange(BreakerChange{
		Engine: engine.ID, Service: engine.Service, Open: engine.breaker.open,
		Succeeded: local.succeeded, Failed: local.failed,
		RemoteSucceeded: remote.Succeeded, RemoteFailed: remote.Failed, RemoteKnown: known,
	})
}

// dueProbe returns an engine with an open breaker that the request has to probe, nil if no
// probe is due. Engines in unreachable zones are not probed, since a probe would say nothing
// about the engine. Probes are reserved for repeatable requests for nonRepeatableProbeDelay.
// The caller holds the mutex.
func (directory *Directory) dueProbe(request *Request, now time.Time) *Engine {
	if !feature.Enabled(feature.EngineBreaker) || len(request.Tried) > 0 || request.Version != nil {
		return nil
	}
	for _, engine := range inZones(directory.eligibleReachable(request.Service, now), request.Zones) {
		if engine.breaker.open && directory.probeDue(engine, request, now) && directory.withinColdLimit(engine, now) {
			engine.breaker.probing = true
			engine.breaker.lastProbe = now
			engine.breaker.probeJitter = minProbeJitter + randomFloat()
			return engine
		}
	}
	return nil
}

// probeDue reports whether a request may probe an engine now. It may not while any node's
// request there awaits its first byte: on a hanging engine, each probe costs its caller the
// whole timeout.
func (directory *Directory) probeDue(engine *Engine, request *Request, now time.Time) bool {
	interval := directory.probeInterval(engine)
	due := engine.breaker.lastProbe.Add(time.Duration(engine.breaker.probeJitter * float64(interval)))
	if !request.Repeatable {
		due = due.Add(nonRepeatableProbeDelay)
	}
	remote, _ := directory.load.RemoteEngine(engine.ID, now)
	awaitingFirstByte := engine.awaitingFirstByte + remote.AwaitingFirstByte
	return !engine.breaker.probing && awaitingFirstByte == 0 && !now.Before(due)
}

// probeInterval is the time between two probes of an engine by this node.
func (directory *Directory) probeInterval(engine *Engine) time.Duration {
	nodes := 1
	if directory.nodes != nil {
		nodes = directory.nodes()
	}
	return nodeProbeInterval(nodes, engine.breaker.halfOpen)
}

// OpenBreakers returns the number of open breakers by service. Services without engines are
// omitted.
func (directory *Directory) OpenBreakers() map[string]int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	open := map[string]int{}
	for _, engine := range directory.engines {
		open[engine.Service] += 0
		if engine.breaker.open && !engine.Draining {
			open[engine.Service]++
		}
	}
	return open
}
