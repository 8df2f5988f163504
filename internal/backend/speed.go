package backend

import (
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

// Long-term slowness accounts for engines of a service with permanently different speeds.
// Without it, requests distributed evenly would queue at slow engines while fast ones idle, as
// with a third of the engines at 1.7 and the others at 0.7 times the usual duration.

const (
	// longTermLatencyDecay is the time in which the weight of an observation falls to 1/e. It
	// is long because single latencies of tools deviate by about their mean.
	longTermLatencyDecay = 15 * time.Second
	// longTermPriorWeight is the number of observations of average latency that each engine
	// starts with, so that engines with few observations count as nearly average.
	longTermPriorWeight = 5.0
	// maxLongTermSlowness and its reciprocal bound the contribution of an observation to the
	// long-term slowness. Temporary slowness is covered by recentLatency, and immediate
	// responses do not show that an engine is fast.
	maxLongTermSlowness = 2.5
	// remoteLongTermTTL is how long values reported by another node are valid. It covers
	// several polls.
	remoteLongTermTTL = 8 * time.Second
	// SpeedPollInterval is the interval at which other nodes' Speeds are polled.
	SpeedPollInterval = 2 * time.Second
)

// clamped returns the observations as they count for the long-term slowness.
func (stats LatencyStats) clamped() LatencyStats {
	return LatencyStats{Weight: stats.Weight, Sum: min(max(stats.Sum, stats.Weight/maxLongTermSlowness), maxLongTermSlowness*stats.Weight)}
}

// longTermSlowness returns the mean latency ratio, close to 1 with few observations.
func (stats *decayingLatency) longTermSlowness(now time.Time) float64 {
	current := stats.decayed(longTermLatencyDecay, now)
	return (current.Sum + longTermPriorWeight) / (current.Weight + longTermPriorWeight)
}

// longTermSlowness returns the engine's long-term latency relative to the average engine.
func (engine *Engine) longTermSlowness(now time.Time) float64 {
	if !feature.Enabled(feature.SpeedWeighting) {
		return 1
	}
	if now.Before(engine.remoteLongTermUntil) {
		return engine.remoteLongTermSlowness
	}
	return engine.longTermLatency.longTermSlowness(now)
}

// Speeds returns engines' long-term latency relative to the average, as observed by this node
// and those that report to it. Values above 1 are slow.
func (directory *Directory) Speeds(now time.Time) map[string]float32 {
	if !feature.Enabled(feature.SpeedWeighting) {
		return nil
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	slowness := map[string]float32{}
	for id, engine := range directory.engines {
		if engine.longTermLatency.Weight > 0 {
			slowness[id] = float32(engine.longTermLatency.longTermSlowness(now))
		}
	}
	return slowness
}

// SetRemoteSpeeds sets the Speeds of another node. Engines without a valid value count as
// average.
func (directory *Directory) SetRemoteSpeeds(speeds map[string]float32, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for id, engine := range directory.engines {
		value, known := speeds[id]
		if !known || !(value > 0 && value <= maxLongTermSlowness) {
			value = 1
		}
		engine.remoteLongTermSlowness = float64(value)
		engine.remoteLongTermUntil = now.Add(remoteLongTermTTL)
	}
}

// Slowness returns an engine's latency relative to the average, 1 if it is not known.
func (directory *Directory) Slowness(id string, now time.Time) float64 {
	if !feature.Enabled(feature.SpeedWeighting) {
		return 1
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil {
		return 1
	}
	return engine.slowness(now)
}
