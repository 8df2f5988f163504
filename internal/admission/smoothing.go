package admission

import (
	"math"
	"time"
)

// DecayTimeConstant is the time constant of the exponential decay of event counts. It is not
// much longer than the age of a load view.
const DecayTimeConstant = 500 * time.Millisecond

// decayingCount is an exponentially decaying count of events.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (count *decayingCount) add(events float64, now time.Time) {
	count.value = count.valueAt(now) + events
	count.updatedAt = now
}

func (count *decayingCount) valueAt(now time.Time) float64 {
	return count.value * math.Exp(-max(now.Sub(count.updatedAt), 0).Seconds()/DecayTimeConstant.Seconds())
}

// perSecond converts a decaying count into a rate.
func perSecond(count float64) float64 { return count / DecayTimeConstant.Seconds() }

// runningMean is the mean of a value over a time window, or over all samples while they cover
// less.
type runningMean struct {
	value      float64
	sampledFor time.Duration
}

// observe adds a sample that covers a duration.
func (mean *runningMean) observe(sample float64, duration, window time.Duration) {
	mean.sampledFor = min(mean.sampledFor+duration, window)
	if mean.sampledFor <= 0 {
		return
	}
	mean.value += (sample - mean.value) * min(duration.Seconds()/mean.sampledFor.Seconds(), 1)
}
