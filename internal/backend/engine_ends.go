package backend

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// answeredMemory and failedMemory are the times in which the weight of a good and of a
	// bad end falls to 1/e. Good ones fade sooner, so that an engine which begins to fail
	// is not covered by what it did before: by these formulas its breaker opens 0.42 s after
	// it has begun to fail all requests, with 2 s for both after 0.58 s.
	answeredMemory = 700 * time.Millisecond
	failedMemory   = 2 * time.Second
	// decisionPause separates two decisions on the breakers of a service where this node
	// has seen no bad end: the view they go by is some hundred milliseconds old.
	decisionPause = 25 * time.Millisecond
	// idleShare of its slots is what may be busy at an engine for a refusal to count as a
	// failure of its own: an engine that is full refuses by right. While the view is on
	// its way an engine's load doubles at the most.
	idleShare = 0.25
	// leastPhase is the least part of a pause between two probes; the mean is a whole one.
	leastPhase = 0.5
)

// fadingEnds sums how requests ended, older ones for less.
type fadingEnds struct {
	ends
	at time.Time
}

// now is what the sums count at a time.
func (fading *fadingEnds) now(now time.Time) ends {
	age := max(now.Sub(fading.at), 0).Seconds()
	return ends{
		answered: fading.answered * math.Exp(-age/answeredMemory.Seconds()),
		failed:   fading.failed * math.Exp(-age/failedMemory.Seconds()),
	}
}

// add takes further ends in.
func (fading *fadingEnds) add(further ends, now time.Time) {
	fading.ends = fading.now(now).plus(further, 1)
	fading.at = now
}

// breaker is the state of an engine's breaker at this node.
type breaker struct {
	open     bool
	halfOpen bool
	// failed is the sum of bad ends at the last decision.
	failed float64
	// heldUntil is until when it stays open whatever comes, repetitions how many times it
	// has opened again soon after it had closed.
	heldUntil   time.Time
	repetitions int
	closed      time.Time
	// probed is when this node last sent a probe, or the breaker opened; phase of a pause
	// later the next one is due. probing is true while one is under way.
	probed  time.Time
	phase   float64
	probing bool
}

// BreakerChange tells that an engine's breaker has opened or closed, and the faded sums
// that decided.
type BreakerChange struct {
	Engine  string
	Service string
	Open    bool
	// Succeeded and Failed are this node's own and those of the others.
	Succeeded, Failed             float64
	RemoteSucceeded, RemoteFailed float64
	// RemoteKnown is false where nothing was known of other nodes.
	RemoteKnown bool
}

// OnBreakerChange has a function told of each change. It is called under the directory's
// lock and must not call the directory. OnBreakerChange is called before anything else.
func (directory *Directory) OnBreakerChange(observe func(BreakerChange)) {
	directory.breakerChanged = observe
}

// outcomes returns how this node's requests to an engine ended, older ones for less. The
// caller holds the mutex.
func (directory *Directory) outcomes(engine *Engine, now time.Time) (answered, failed float64) {
	own := engine.ends.now(now)
	return own.answered, own.failed
}

// noteAnswered counts a request that an engine answered. The caller holds the mutex.
func (directory *Directory) noteAnswered(engine *Engine, now time.Time) {
	engine.ends.add(ends{answered: 1}, now)
}

// noteFailed counts a request that ended badly by an engine's own doing. The caller holds
// the mutex.
func (directory *Directory) noteFailed(engine *Engine, now time.Time) {
	engine.ends.add(ends{failed: 1}, now)
	delete(directory.breakersDecided, engine.Service)
}

// CountFailed counts a request that this node has sent and that ends badly by the engine's
// own doing, before it ends or for another node. One that was sent to a life of the engine
// that is over says nothing of the next.
func (directory *Directory) CountFailed(instance Instance, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if engine := directory.living(instance); engine != nil {
		directory.noteFailed(engine, now)
	}
}

// living returns an engine that lives as an instance says, nil where it does not. The caller
// holds the mutex.
func (directory *Directory) living(instance Instance) *Engine {
	engine := directory.engines[instance.ID]
	if engine == nil || engine.Incarnation != instance.Incarnation {
		return nil
	}
	return engine
}

// UncountFailed takes a CountFailed back: the answer goes on.
func (directory *Directory) UncountFailed(instance Instance, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if engine := directory.living(instance); engine != nil {
		held := engine.ends.now(now)
		engine.ends = fadingEnds{ends: ends{answered: held.answered, failed: max(held.failed-1, 0)}, at: now}
	}
}

// noteRefused counts a refusal as a failure where the engine has next to nothing to do. The
// caller holds the mutex.
func (directory *Directory) noteRefused(engine *Engine, now time.Time) {
	others, known := directory.load.RemoteEngine(engine.ID, now)
	if known && engine.running+others.Running < int(idleShare*float64(engine.Slots)) {
		directory.noteFailed(engine, now)
	}
}

// closedEngines returns the engines of a service whose breakers are closed. The caller
// holds the mutex.
func (directory *Directory) closedEngines(service string, now time.Time) []*Engine {
	engines := directory.usable(service)
	if !feature.Enabled(feature.EngineBreaker) {
		return engines
	}
	directory.decideBreakers(service, engines, now)
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

// decideBreakers opens and closes the breakers of a service's engines by what is known now.
func (directory *Directory) decideBreakers(service string, engines []*Engine, now time.Time) {
	if now.Sub(directory.breakersDecided[service]) < decisionPause {
		return
	}
	directory.breakersDecided[service] = now
	states := make([]breakerState, 0, len(engines))
	for _, engine := range engines {
		own, others := engine.ends.now(now), directory.othersEnds(engine, now)
		failed := own.failed + others.failed
		states = append(states, breakerState{
			ends:   others.plus(own, ownWeight),
			failed: failed,
			fails:  failed > engine.breaker.failed,
			open:   engine.breaker.open,
			held:   now.Before(engine.breaker.heldUntil),
		})
		engine.breaker.failed = failed
	}
	for index, open := range openBreakers(states) {
		engine := engines[index]
		engine.breaker.halfOpen = open && !now.Before(engine.breaker.heldUntil) && halfOpen(states[index].ends)
		if open != engine.breaker.open {
			engine.breaker.turn(open, now)
			directory.tellBreaker(engine, now)
		}
	}
}

// othersEnds is how the other nodes' requests to an engine ended, none where that is not
// known.
func (directory *Directory) othersEnds(engine *Engine, now time.Time) ends {
	others, _ := directory.load.RemoteEngine(engine.ID, now)
	return ends{answered: others.Succeeded, failed: others.Failed}
}

// turn opens or closes the breaker.
func (breaker *breaker) turn(open bool, now time.Time) {
	breaker.open = open
	if !open {
		breaker.closed = now
		return
	}
	breaker.repetitions++
	if breaker.closed.IsZero() || now.Sub(breaker.closed) > flapMemory {
		breaker.repetitions = 0
	}
	breaker.heldUntil = now.Add(openTime(breaker.repetitions))
	breaker.probed = now
	// Nodes open their breakers at about the same time.
	breaker.phase = rand.Float64()
	breaker.probing = false
}

// tellBreaker tells of a change.
func (directory *Directory) tellBreaker(engine *Engine, now time.Time) {
	if directory.breakerChanged == nil {
		return
	}
	own := engine.ends.now(now)
	others, known := directory.load.RemoteEngine(engine.ID, now)
	directory.breakerChanged(BreakerChange{
		Engine: engine.ID, Service: engine.Service, Open: engine.breaker.open,
		Succeeded: own.answered, Failed: own.failed,
		RemoteSucceeded: others.Succeeded, RemoteFailed: others.Failed, RemoteKnown: known,
	})
}

// dueProbe returns an engine whose breaker is open and that the request shall probe, nil
// where none is due: none is behind a cut, where probes tell nothing of the engine. Requests
// that may be repeated are taken first, others only once a probe has been due for as long
// again. The caller holds the mutex.
func (directory *Directory) dueProbe(request *Request, now time.Time) *Engine {
	if !feature.Enabled(feature.EngineBreaker) || len(request.Tried) > 0 {
		return nil
	}
	for _, engine := range inZones(directory.usableNow(request.Service, now), request.Zones) {
		if engine.breaker.open && directory.probeDue(engine, request, now) && directory.warms(engine, now) {
			engine.breaker.probing = true
			engine.breaker.probed = now
			engine.breaker.phase = leastPhase + rand.Float64()
			return engine
		}
	}
	return nil
}

// probeDue tells whether a request may probe an engine now. None does while another one, of
// this node or another, is there without a byte of an answer, since at an engine that hangs
// each costs a caller all of its time.
func (directory *Directory) probeDue(engine *Engine, request *Request, now time.Time) bool {
	pause := directory.probePause(engine)
	due := engine.breaker.probed.Add(time.Duration(engine.breaker.phase * float64(pause)))
	if !request.Repeatable {
		due = due.Add(probeGrace)
	}
	others, _ := directory.load.RemoteEngine(engine.ID, now)
	silent := engine.silent + others.AwaitingFirstByte
	return !engine.breaker.probing && silent == 0 && !now.Before(due)
}

// probePause is how long this node waits between its probes of an engine.
func (directory *Directory) probePause(engine *Engine) time.Duration {
	nodes := 1
	if directory.nodes != nil {
		nodes = directory.nodes()
	}
	return probePause(nodes, engine.breaker.halfOpen)
}

// OpenBreakers returns how many breakers are open, by service; services without engines
// are left out.
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
