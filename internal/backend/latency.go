package backend

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// recentLatencyDecay is the time in which the weight of an observation falls to 1/e. Some
	// twenty observations stay significant for about 4 s after the last one.
	recentLatencyDecay = time.Second
	// minLatencyWeight is the total weight below which observations are not significant.
	minLatencyWeight = 0.7
	// slowThreshold is the mean latency ratio from which an engine counts as slow. Within one
	// route, latency varies by about as much from request to request.
	slowThreshold = 2.0
	// maxLatencyRatio bounds the latency ratio of a single observation.
	maxLatencyRatio = 10.0
	// maxMeanRatio bounds a single observation's contribution to a route's mean, in multiples
	// of it.
	maxMeanRatio = 3.0
	// minRouteMean is the lower bound of a route's mean, to avoid division by zero.
	minRouteMean = time.Microsecond
	// remoteSlownessTTL is how long slow engines reported by another node are valid.
	remoteSlownessTTL = time.Second
	// minStreamEvents is the minimum number of events of a stream whose event interval is
	// recorded.
	minStreamEvents = 3
)

// LatencyStats sums latency ratios observed at an engine: the time to the first byte, or
// between events, divided by the mean of the route.
type LatencyStats struct {
	// Weight is the decayed number of observations.
	Weight float64
	// Sum is the decayed sum of the latency ratios.
	Sum float64
}

func (stats *LatencyStats) add(observed LatencyStats) {
	stats.Weight += observed.Weight
	stats.Sum += observed.Sum
}

// valid reports whether the sums can result from observations of a node.
func (stats LatencyStats) valid() bool {
	return stats.Weight > 0 && stats.Sum >= 0 && stats.Sum <= maxLatencyRatio*stats.Weight
}

// decayingLatency is a LatencyStats with exponentially decaying weights.
type decayingLatency struct {
	LatencyStats
	updated time.Time
}

func (stats *decayingLatency) add(observed LatencyStats, decayTime time.Duration, now time.Time) {
	stats.LatencyStats = stats.decayed(decayTime, now)
	stats.LatencyStats.add(observed)
	stats.updated = now
}

// decayed returns the observations decayed to a time; their weight falls to 1/e in decayTime.
func (stats *decayingLatency) decayed(decayTime time.Duration, now time.Time) LatencyStats {
	decay := math.Exp(-max(now.Sub(stats.updated), 0).Seconds() / decayTime.Seconds())
	return LatencyStats{Weight: stats.Weight * decay, Sum: stats.Sum * decay}
}

// recentSlowness returns the mean latency ratio, 1 if the engine is not known to be slow.
func (stats *decayingLatency) recentSlowness(now time.Time) float64 {
	current := stats.decayed(recentLatencyDecay, now)
	if current.Weight < minLatencyWeight || current.Sum < slowThreshold*current.Weight {
		return 1
	}
	return current.Sum / current.Weight
}

// slowness returns an engine's latency relative to the mean: the long-term value, or the recent
// one if that is higher. Local observations are the more recent, those aggregated by another
// node the more accurate.
func (engine *Engine) slowness(now time.Time) float64 {
	slowness := engine.longTermSlowness(now)
	if !feature.Enabled(feature.AvoidSlowEngines) {
		return slowness
	}
	if recent := engine.recentLatency.recentSlowness(now); recent > 1 {
		slowness = max(slowness, recent)
	}
	if now.Before(engine.remoteSlownessUntil) {
		slowness = max(slowness, engine.remoteSlowness)
	}
	return slowness
}

// recordLatency records the latency of a request, unless its route is empty.
func (directory *Directory) recordLatency(engine *Engine, route string, took time.Duration, now time.Time) {
	if route == "" {
		return
	}
	mean, known := directory.routeMeans[route]
	if !known {
		directory.routeMeans[route] = max(took, minRouteMean)
		return
	}
	bounded := min(took, time.Duration(maxMeanRatio*float64(mean)))
	directory.routeMeans[route] = max(mean+time.Duration(firstByteWeight*float64(bounded-mean)), minRouteMean)
	observed := LatencyStats{Weight: 1, Sum: min(took.Seconds()/mean.Seconds(), maxLatencyRatio)}
	engine.addLatency(observed, now)
	engine.unreported.add(observed)
}

// addLatency adds observations to the recent and the long-term latency.
func (engine *Engine) addLatency(observed LatencyStats, now time.Time) {
	engine.recentLatency.add(observed, recentLatencyDecay, now)
	engine.longTermLatency.add(observed.clamped(), longTermLatencyDecay, now)
}

// minEventInterval is the event interval below which a stream reflects local scheduling instead
// of the engine: a decoding step takes some milliseconds.
const minEventInterval = time.Millisecond

// RecordStreamEvents records how long a stream took from its first to its last event. Unlike the
// time to the first byte, the event interval hardly depends on the prompt and earlier turns.
func (directory *Directory) RecordStreamEvents(engine *Engine, events int, took time.Duration, now time.Time) {
	interval := took / time.Duration(max(events-1, 1))
	if events < minStreamEvents || interval < minEventInterval || !feature.Enabled(feature.SpeedWeighting) {
		return
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.recordLatency(engine, "events of "+engine.Service, interval, now)
}

// DrainLatencyStats returns and resets the observations since the last call, by engine, for the
// aggregating node.
func (directory *Directory) DrainLatencyStats() map[string]LatencyStats {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	drained := map[string]LatencyStats{}
	for id, engine := range directory.engines {
		if engine.unreported.Weight > 0 {
			drained[id] = engine.unreported
			engine.unreported = LatencyStats{}
		}
	}
	return drained
}

// AddLatencyStats adds another node's observations. Invalid ones are ignored.
func (directory *Directory) AddLatencyStats(observed map[string]LatencyStats, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for id, stats := range observed {
		engine := directory.engines[id]
		if engine != nil && stats.valid() {
			engine.addLatency(stats, now)
		}
	}
}

// SlowEngines returns the slowness of the engines that are slow according to the observations
// of this node and those reported to it.
func (directory *Directory) SlowEngines(now time.Time) map[string]float64 {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	slow := map[string]float64{}
	for id, engine := range directory.engines {
		if slowness := engine.recentLatency.recentSlowness(now); slowness > 1 {
			slow[id] = slowness
		}
	}
	return slow
}

// SetRemoteSlowEngines sets the slow engines known to another node; all others are taken not to
// be slow.
func (directory *Directory) SetRemoteSlowEngines(slow map[string]float64, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for id, engine := range directory.engines {
		engine.remoteSlowness = slow[id]
		engine.remoteSlownessUntil = now.Add(remoteSlownessTTL)
	}
}
