// Package backend knows the engines of the services: which there are, which may
// get a request, what was seen of each, and the connections kept to them.
package backend

import (
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/reach"
	"github.com/magpielug/magpielug/internal/region"
)

// Instance is one incarnation of an engine as it records itself.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining engines get no new requests.
	Draining bool
	// Incarnation tells an engine's starts under one id apart: the Unix millisecond of its start,
	// 0 where it does not say.
	Incarnation int64
	// ColdRemaining is how long the engine is still slow from its start, and bears few requests.
	ColdRemaining time.Duration
}

// begins tells whether a record is of a later life of an engine than another one.
func (instance *Instance) begins(known *Instance) bool {
	return known.Incarnation != 0 && instance.Incarnation > known.Incarnation
}

// endedBefore tells whether a record is of a life that is over.
func (instance *Instance) endedBefore(known *Instance) bool {
	return instance.Incarnation != 0 && instance.Incarnation < known.Incarnation
}

// Engine is an instance with what this node has seen of it. Its fields under
// the directory's lock are read through the directory's methods.
type Engine struct {
	Instance
	// running is the number of this node's requests under way there, silent that of those
	// without a byte of an answer.
	running int
	silent  int
	// others is what the other nodes are thought to have there, as of the last estimate.
	others othersAt
	// limit bounds them while the engine refuses some.
	limit limit
	// coldUntil is until when the engine is cold, warming this node's part of what it bears
	// until then.
	coldUntil time.Time
	warming   allowance
	// failures in a row, and until when the engine is passed over for them.
	failures   int
	avoidUntil time.Time
	// fullUntil is until when it is passed over for having no room.
	fullUntil time.Time
	// silentUntil is until when it is in doubt for a request that got no answer,
	// reportedUntil for what other nodes told.
	silentUntil   time.Time
	reportedUntil time.Time
	// pace is how long requests wait there, untold the part of it that the gathering
	// node was not told yet, slowTold what that node says of the engine, which counts
	// until slowToldUntil.
	pace          fadingPace
	untold        LatencyStats
	slowTold      float64
	slowToldUntil time.Time
	// steady is how long requests take there lastingly, speedTold what another node says
	// of that, which counts until speedToldUntil.
	steady         fadingPace
	speedTold      float64
	speedToldUntil time.Time
	// ends sums how this node's requests ended there.
	ends    fadingEnds
	breaker breaker
}

// unfit tells whether the engine gets requests only where no other can.
func (engine *Engine) unfit(now time.Time) bool {
	return now.Before(engine.avoidUntil) || now.Before(engine.fullUntil)
}

// doubted tells whether the engine may be hung or down.
func (engine *Engine) doubted(now time.Time) bool {
	return now.Before(engine.silentUntil) || now.Before(engine.reportedUntil)
}

// doubtShare of a service's engines is the most that may be passed over for
// doubt. Where more are silent the service is overloaded, and to leave its slowest
// engines would overload the others in turn, for as long as the load lasts.
const doubtShare = 1.0 / 3

// heedsDoubt tells whether few enough engines are in doubt.
func heedsDoubt(engines []*Engine, now time.Time) bool {
	if !feature.Enabled(feature.AvoidUnresponsiveEngines) {
		return false
	}
	doubted := 0
	for _, engine := range engines {
		if engine.doubted(now) {
			doubted++
		}
	}
	return float64(doubted) <= doubtShare*float64(len(engines))
}

const (
	// failuresToAvoid in a row make an engine passed over for a while.
	failuresToAvoid = 2
	// avoidFirst is the first such while; it doubles up to avoidMost.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 3 * time.Second
	// unreachableAvoid is how long an engine is passed over at least that took no
	// connection: it is down, and may come and go.
	unreachableAvoid = time.Second
	// silentAvoid is how long an engine is passed over while a request there gets
	// no answer, and after such a one was given up.
	silentAvoid = time.Second
	// usualWeight is the weight of the newest answer in the usual wait, usualShare
	// how many times that a request may wait without a doubt.
	usualWeight = 0.05
	usualShare  = 5
	// reportedFor is how long another node's report counts.
	reportedFor = time.Second
	// fullPause is how long an engine is passed over that said it was full.
	fullPause = 25 * time.Millisecond
)

// Directory holds the engines of all services. It is safe for concurrent use.
type Directory struct {
	mutex   sync.Mutex
	engines map[string]*Engine
	// services lists the engines that may get requests, by service; it is nil
	// while it has to be made anew.
	services map[string][]*Engine
	policy   Policy
	// usual is the usual wait for the first byte of an answer, by service.
	usual map[string]time.Duration
	// usualOfRoute is the same by route, and less moved by single long waits.
	usualOfRoute map[string]time.Duration
	// durations is the mean time of a request that was answered, by service.
	durations map[string]time.Duration
	// bounds are this node's parts of the room by the newest view, limits what it has learned
	// from refusals, by service.
	bounds bounds
	limits map[string]*limit
	// nodes counts the nodes that share the engines, nil where that is not known.
	nodes func() int
	// evacuated holds the zones whose engines get no new requests by the operators' will.
	evacuated map[string]bool
	// cold bounds the requests to cold engines; see UseColdShares.
	cold coldShares
	// assigns is true where owners assign engines.
	assigns bool
	// zones, where set, tells which zones are reached.
	zones *reach.Zones
	// load is what all nodes have at the engines.
	load *load.View
	// breakersDecided is when the breakers of a service's engines were last decided on.
	breakersDecided map[string]time.Time
	// breakerChanged is told of changes; nil for nobody.
	breakerChanged func(BreakerChange)
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{engines: map[string]*Engine{}, evacuated: map[string]bool{}, services: map[string][]*Engine{}, policy: policies[PolicyProgram], load: load.NewView(),
		usual: map[string]time.Duration{}, usualOfRoute: map[string]time.Duration{}, breakersDecided: map[string]time.Time{}}
}

// SetZones has the directory heed which zones are reached, and tell what it sees of their
// engines. It is called before anything else.
func (directory *Directory) SetZones(zones *reach.Zones) { directory.zones = zones }

// SetLoadView has the directory heed a view of the load. It is called before anything else.
func (directory *Directory) SetLoadView(view *load.View) { directory.load = view }

// Change is what a record has changed.
type Change int

// Changes.
const (
	// Unchanged: the record tells nothing new.
	Unchanged Change = iota
	// Changed: it tells something new of the engine, or of a new one.
	Changed
	// Restarted: it is of a new life under an id that is known. Nothing that was seen of the
	// engine before holds any more.
	Restarted
)

// Upsert notes an engine's newest record and tells what has changed. A new life of an engine
// begins with nothing of the one before; requests that were sent to that one end with it.
func (directory *Directory) Upsert(instance Instance, now time.Time) Change {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	known := directory.engines[instance.ID]
	change := Changed
	switch {
	case known == nil:
		known = directory.add(instance.ID)
	case known.Instance == instance || instance.endedBefore(&known.Instance):
		return Unchanged
	case instance.begins(&known.Instance):
		known = directory.add(instance.ID)
		change = Restarted
	}
	if known.Draining {
		instance.Draining = true
	}
	known.Instance = instance
	known.coldUntil = now.Add(instance.ColdRemaining)
	directory.services = nil
	return change
}

// add begins an engine of which nothing was seen. The caller holds the mutex.
func (directory *Directory) add(id string) *Engine {
	made := &Engine{}
	directory.engines[id] = made
	return made
}

// Remove notes that an engine's record has disappeared.
func (directory *Directory) Remove(id string) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.engines[id] == nil {
		return false
	}
	delete(directory.engines, id)
	directory.services = nil
	return true
}

// usable returns the engines of a service that may get requests.
func (directory *Directory) usable(service string) []*Engine {
	if directory.services == nil {
		directory.services = map[string][]*Engine{}
		for _, engine := range directory.engines {
			if !engine.Draining && !directory.evacuated[engine.Zone] {
				directory.services[engine.Service] = append(directory.services[engine.Service], engine)
			}
		}
	}
	return directory.services[service]
}

// Running returns this node's requests under way, by engine.
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

// Healthy returns the instances of a service, in some zones, that may get requests and are not
// passed over for what was seen of them. Cold ones are among them only where all are cold: few
// nodes may send to one, and a line of turns comes in at any node.
func (directory *Directory) Healthy(service string, zones region.ZoneSet, now time.Time) []Instance {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var warm, cold []Instance
	engines := directory.closedEngines(service, now)
	filter := sound{heedDoubt: heedsDoubt(engines, now)}
	for _, engine := range inZones(directory.usableNow(service, now), zones) {
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

// Instance returns an engine that may get requests, false where it is not known, leaves,
// is gone or stands in a zone that is evacuated.
func (directory *Directory) Instance(id string) (Instance, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil || engine.Draining || directory.evacuated[engine.Zone] {
		return Instance{}, false
	}
	return engine.Instance, true
}

// CountInZone returns the number of engines of a service in a zone that may get requests.
func (directory *Directory) CountInZone(service, zone string) int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	count := 0
	for _, engine := range directory.usable(service) {
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
	return len(directory.usable(service))
}

// EngineCount returns the number of engines known.
func (directory *Directory) EngineCount() int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.engines)
}

// Outcome is how an engine dealt with a request.
type Outcome int

// Outcomes.
const (
	// Succeeded: the engine ran the request.
	Succeeded Outcome = iota
	// EngineError: it answered with a failure of its own.
	EngineError
	// Full: it had no room.
	Full
	// NoConnection: the node has as many connections to it as it may have.
	NoConnection
	// Failed: it broke its answer off, or ceased to send it.
	Failed
	// FailedRemotely is Failed where another node sent the request: that one counts it,
	// since it may have been lost itself.
	FailedRemotely
	// Abandoned: the caller left; nothing is said of the engine.
	Abandoned
	// Misdirected: another engine has the address.
	Misdirected
	// Unreachable: it took no connection.
	Unreachable
	// NoResponse: nothing came of the request for too long, and its caller left.
	NoResponse
)

// Finish ends a request that Pick has counted.
func (directory *Directory) Finish(engine *Engine, outcome Outcome, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine.running--
	directory.noteZone(engine, outcome, now)
	engine.breaker.probing = false
	if outcome == EngineError && !feature.Enabled(feature.EngineBreaker) {
		outcome = Succeeded
	}
	switch outcome {
	case Succeeded:
		engine.failures = 0
		engine.limit.raise()
		directory.learned(engine.Service).raise()
		directory.noteAnswered(engine, now)
	case Full:
		engine.passOverFull(now)
		engine.limit.cut(engine.running, now)
		directory.noteFull(engine, now)
		directory.noteRefused(engine, now)
	case NoConnection:
		engine.fullUntil = now.Add(fullPause)
		engine.limit.cut(engine.running, now)
	case Failed, EngineError, FailedRemotely:
		engine.failures++
		if outcome != FailedRemotely {
			directory.noteFailed(engine, now)
		}
		if engine.failures >= failuresToAvoid {
			engine.avoid(now, backoff(avoidFirst, engine.failures-failuresToAvoid))
		}
	case Misdirected:
		engine.avoid(now, avoidMost)
	case Unreachable:
		engine.failures++
		engine.avoid(now, backoff(unreachableAvoid, engine.failures-1))
	case NoResponse:
		engine.failures++
		engine.silentUntil = now.Add(backoff(silentAvoid, engine.failures-1))
	case Abandoned:
	}
}

// backoff doubles a first pause with each repetition, up to avoidMost.
func backoff(first time.Duration, repetitions int) time.Duration {
	const mostDoublings = 8
	return min(first<<min(repetitions, mostDoublings), avoidMost)
}

func (engine *Engine) avoid(now time.Time, while time.Duration) {
	until := now.Add(while)
	if until.After(engine.avoidUntil) {
		engine.avoidUntil = until
	}
}

// Suspect passes an engine over for a while: a request there gets no answer.
func (directory *Directory) Suspect(engine *Engine, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine.silentUntil = now.Add(silentAvoid)
}

// RecordFirstByte notes how long a request of a route waited at an engine for the first byte of
// its answer. The route is empty for a wait that says nothing of the engine's pace.
func (directory *Directory) RecordFirstByte(engine *Engine, route string, took time.Duration, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	usual := directory.usual[engine.Service]
	if usual == 0 {
		usual = took
	}
	directory.usual[engine.Service] = usual + time.Duration(usualWeight*float64(took-usual))
	directory.observePace(engine, route, took, now)
}

// FirstByteTimeout is how long a request to a service may wait for the first byte before
// its engine is in doubt: some times what is usual there at present.
func (directory *Directory) FirstByteTimeout(service string) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return usualShare * directory.usual[service]
}

// Avoided returns the engines that this node passes over for what it has seen of
// them itself, for other nodes.
func (directory *Directory) Avoided(now time.Time) []string {
	return directory.matching(func(engine *Engine) bool {
		return now.Before(engine.avoidUntil) || now.Before(engine.silentUntil)
	})
}

// AvoidedByAny returns also those that other nodes have reported.
func (directory *Directory) AvoidedByAny(now time.Time) []string {
	return directory.matching(func(engine *Engine) bool {
		return now.Before(engine.avoidUntil) || engine.doubted(now)
	})
}

func (directory *Directory) matching(condition func(engine *Engine) bool) []string {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var ids []string
	for id, engine := range directory.engines {
		if condition(engine) {
			ids = append(ids, id)
		}
	}
	return ids
}

// AddReported notes engines that another node passes over: a node alone sees little of
// each of many engines.
func (directory *Directory) AddReported(ids []string, now time.Time) {
	if !feature.Enabled(feature.EngineReports) {
		return
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, id := range ids {
		if engine := directory.engines[id]; engine != nil {
			engine.reportedUntil = now.Add(reportedFor)
		}
	}
}
