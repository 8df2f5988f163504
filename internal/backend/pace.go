package backend

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// paceMemory is the time in which the weight of an observation falls to 1/e. Some
	// twenty observations of an engine thereby count for about 4 s after the last one.
	paceMemory = time.Second
	// leastPaceWeight is the weight of observations below which they say nothing.
	leastPaceWeight = 0.7
	// slowFrom is how many times the usual wait an engine's mean has to be to count as
	// slow: the waits of one route differ by as much from request to request.
	slowFrom = 2.0
	// mostRatio bounds one observation, in times the usual wait.
	mostRatio = 10.0
	// usualBound bounds what one observation counts for the usual wait, in times that.
	usualBound = 3.0
	// leastUsual bounds the usual wait from below, so that it can be divided by.
	leastUsual = time.Microsecond
	// paceToldFor is how long the slow engines count that another node told of.
	paceToldFor = time.Second
	// leastEvents is how many events a stream has at least for the time between them to be
	// an observation.
	leastEvents = 3
)

// LatencyStats sums observations of how long requests waited at an engine for the first byte of
// an answer, each divided by what is usual on its route.
type LatencyStats struct {
	// Weight is the number of observations, older ones counted for less.
	Weight float64
	// Sum is that of the waits, in times the usual wait.
	Sum float64
}

// add takes further observations in.
func (pace *LatencyStats) add(observed LatencyStats) {
	pace.Weight += observed.Weight
	pace.Sum += observed.Sum
}

// sound tells whether a node that observes can have told this.
func (pace LatencyStats) sound() bool {
	return pace.Weight > 0 && pace.Sum >= 0 && pace.Sum <= mostRatio*pace.Weight
}

// fadingPace is a Pace that fades with time.
type fadingPace struct {
	LatencyStats
	at time.Time
}

// add takes observations in.
func (pace *fadingPace) add(observed LatencyStats, memory time.Duration, now time.Time) {
	pace.LatencyStats = pace.now(memory, now)
	pace.LatencyStats.add(observed)
	pace.at = now
}

// now is what the observations count at a time, where their weight falls to 1/e in memory.
func (pace *fadingPace) now(memory time.Duration, now time.Time) LatencyStats {
	faded := math.Exp(-max(now.Sub(pace.at), 0).Seconds() / memory.Seconds())
	return LatencyStats{Weight: pace.Weight * faded, Sum: pace.Sum * faded}
}

// slowness is how many times the usual wait requests wait, 1 where the engine is not
// known to be slow.
func (pace *fadingPace) slowness(now time.Time) float64 {
	held := pace.now(paceMemory, now)
	if held.Weight < leastPaceWeight || held.Sum < slowFrom*held.Weight {
		return 1
	}
	return held.Sum / held.Weight
}

// slowness is how many times the usual time an engine takes: what its speed says, or more
// where it is found slow of late. What this node has seen is the sooner known, what a node
// tells that hears of more requests the surer.
func (engine *Engine) slowness(now time.Time) float64 {
	slowness := engine.speed(now)
	if !feature.Enabled(feature.AvoidSlowEngines) {
		return slowness
	}
	if late := engine.pace.slowness(now); late > 1 {
		slowness = max(slowness, late)
	}
	if now.Before(engine.slowToldUntil) {
		slowness = max(slowness, engine.slowTold)
	}
	return slowness
}

// observePace notes one request's wait at an engine, unless its route is empty.
func (directory *Directory) observePace(engine *Engine, route string, took time.Duration, now time.Time) {
	if route == "" {
		return
	}
	usual, known := directory.usualOfRoute[route]
	if !known {
		directory.usualOfRoute[route] = max(took, leastUsual)
		return
	}
	bounded := min(took, time.Duration(usualBound*float64(usual)))
	directory.usualOfRoute[route] = max(usual+time.Duration(usualWeight*float64(bounded-usual)), leastUsual)
	observed := LatencyStats{Weight: 1, Sum: min(took.Seconds()/usual.Seconds(), mostRatio)}
	engine.addPace(observed, now)
	engine.untold.add(observed)
}

// addPace takes observations in, for what is so of late and for the engine's speed.
func (engine *Engine) addPace(observed LatencyStats, now time.Time) {
	engine.pace.add(observed, paceMemory, now)
	engine.steady.add(observed.bounded(), speedMemory, now)
}

// leastEventGap is the time between two events below which a stream tells of this machine's
// scheduling and not of its engine: a step of a model takes some milliseconds.
const leastEventGap = time.Millisecond

// ObserveEvents notes how long a stream of an engine took from its first event to its
// last. Unlike the wait for the first one, that hardly depends on the prompt and on the
// turns before it.
func (directory *Directory) ObserveEvents(engine *Engine, events int, took time.Duration, now time.Time) {
	gap := took / time.Duration(max(events-1, 1))
	if events < leastEvents || gap < leastEventGap || !feature.Enabled(feature.SpeedWeighting) {
		return
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.observePace(engine, "events of "+engine.Service, gap, now)
}

// DrainLatencyStats returns what was observed since it was last asked, by engine, for the node
// that gathers what several observe.
func (directory *Directory) DrainLatencyStats() map[string]LatencyStats {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	taken := map[string]LatencyStats{}
	for id, engine := range directory.engines {
		if engine.untold.Weight > 0 {
			taken[id] = engine.untold
			engine.untold = LatencyStats{}
		}
	}
	return taken
}

// AddLatencyStats takes in what another node has observed; what no node can observe is passed
// over.
func (directory *Directory) AddLatencyStats(observed map[string]LatencyStats, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for id, pace := range observed {
		engine := directory.engines[id]
		if engine != nil && pace.sound() {
			engine.addPace(pace, now)
		}
	}
}

// SlowEngines returns the engines that are slow by what was observed here and told to this
// node, with how many times the usual wait requests wait there.
func (directory *Directory) SlowEngines(now time.Time) map[string]float64 {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	slow := map[string]float64{}
	for id, engine := range directory.engines {
		if slowness := engine.pace.slowness(now); slowness > 1 {
			slow[id] = slowness
		}
	}
	return slow
}

// SetRemoteSlowEngines takes in the slow engines that another node knows of; it takes all others
// for not slow.
func (directory *Directory) SetRemoteSlowEngines(slow map[string]float64, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for id, engine := range directory.engines {
		engine.slowTold = slow[id]
		engine.slowToldUntil = now.Add(paceToldFor)
	}
}
