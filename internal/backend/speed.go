package backend

import (
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

// Speeds answer one load pattern: engines of a service take lastingly unequal times for
// the same work. With a third of them at 1.7 and the others at 0.7 times the usual time,
// requests dealt alike wait at the slow ones while the others idle.

const (
	// speedMemory is the time in which the weight of an observation falls to 1/e: speeds
	// last, and single waits of a tool differ by as much as they have on the mean.
	speedMemory = 15 * time.Second
	// speedPrior is how many observations of a usual engine each engine starts with, so
	// that one of which little is known counts as nearly usual: tools' waits have a
	// deviation of about their mean, and of ten the mean still has a third of it.
	speedPrior = 5.0
	// speedBound, and one over it, bound what observations count for an engine's speed, in
	// times the usual: an engine that is slow for some seconds counts as that by its pace,
	// and one that answers at once what it does not do is not fast.
	speedBound = 2.5
	// speedToldFor is how long the speeds count that another node told: it is asked for
	// them each SpeedPause.
	speedToldFor = 8 * time.Second
	// SpeedPollInterval separates two asks for the speeds of engines.
	SpeedPollInterval = 2 * time.Second
)

// bounded is the observation as it counts for an engine's speed.
func (pace LatencyStats) bounded() LatencyStats {
	return LatencyStats{Weight: pace.Weight, Sum: min(max(pace.Sum, pace.Weight/speedBound), speedBound*pace.Weight)}
}

// steadiness is how many times the usual time is taken by what was observed, and nearly 1
// where that is little.
func (pace *fadingPace) steadiness(now time.Time) float64 {
	held := pace.now(speedMemory, now)
	return (held.Sum + speedPrior) / (held.Weight + speedPrior)
}

// speed is how many times the usual time an engine takes lastingly.
func (engine *Engine) speed(now time.Time) float64 {
	if !feature.Enabled(feature.SpeedWeighting) {
		return 1
	}
	if now.Before(engine.speedToldUntil) {
		return engine.speedTold
	}
	return engine.steady.steadiness(now)
}

// Speeds returns how many times the usual time engines take lastingly, as observed here
// and by the nodes that tell this one.
func (directory *Directory) Speeds(now time.Time) map[string]float32 {
	if !feature.Enabled(feature.SpeedWeighting) {
		return nil
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	speeds := map[string]float32{}
	for id, engine := range directory.engines {
		if engine.steady.Weight > 0 {
			speeds[id] = float32(engine.steady.steadiness(now))
		}
	}
	return speeds
}

// SetRemoteSpeeds takes in the speeds that another node knows; it takes all other engines for
// usual ones. Speeds that no node can have observed are passed over.
func (directory *Directory) SetRemoteSpeeds(speeds map[string]float32, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for id, engine := range directory.engines {
		told, known := speeds[id]
		if !known || !(told > 0 && told <= speedBound) {
			told = 1
		}
		engine.speedTold = float64(told)
		engine.speedToldUntil = now.Add(speedToldFor)
	}
}

// Slowness returns how many times the usual time an engine takes, 1 where it is not known.
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
