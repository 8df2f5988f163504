package admission

import (
	"math"
	"time"
)

// DecayTimeConstant is the time constant by which events count for less as they get older. What
// begins in a view's age is judged by them, so that it is not much longer than that.
const DecayTimeConstant = 500 * time.Millisecond

// fading counts events, older ones for less.
type fading struct {
	value float64
	at    time.Time
}

func (count *fading) add(events float64, now time.Time) {
	count.value = count.read(now) + events
	count.at = now
}

func (count *fading) read(now time.Time) float64 {
	return count.value * math.Exp(-max(now.Sub(count.at), 0).Seconds()/DecayTimeConstant.Seconds())
}

// perSecond turns a fading count into a rate.
func perSecond(count float64) float64 { return count / DecayTimeConstant.Seconds() }

// smoothed is the mean of a figure over a span of time, and over all that was seen where
// that is less.
type smoothed struct {
	value float64
	seen  time.Duration
}

// observe takes in a sample that stands for some time.
func (mean *smoothed) observe(sample float64, stands, span time.Duration) {
	mean.seen = min(mean.seen+stands, span)
	if mean.seen <= 0 {
		return
	}
	mean.value += (sample - mean.value) * min(stands.Seconds()/mean.seen.Seconds(), 1)
}
