package cache

import "time"

const (
	// freePressure is the memory use below which keeping costs nothing.
	freePressure = 0.5
	// fullMemoryPrice is the cost of holding one recompute's worth of prefix
	// for one second at full pressure, as a part of that recompute.
	fullMemoryPrice = 0.05
	// keepMargin is how many expected pauses a kept prefix may outlast.
	keepMargin = 3
	// leastKeep keeps a prefix over short hiccups whatever was predicted.
	leastKeep = 2 * time.Second
)

// PredictivePolicy compares what a prefix would save with what it costs to
// hold. Saving: reuse probability × recompute cost. Holding: expected pause ×
// the price of memory, which rises with pressure.
type PredictivePolicy struct{}

// AtPause keeps the prefix for a bounded time, exports it if that is the
// cheaper way to have it back, or releases it.
func (PredictivePolicy) AtPause(pause Pause) Decision {
	recompute := pause.RecomputeCost.Seconds()
	saving := pause.ReuseProbability * recompute
	holding := recompute * memoryPrice(pause.Pressure) * pause.ExpectedPause.Seconds()
	if holding <= saving {
		return Decision{Action: ActionKeep, KeepFor: max(keepMargin*pause.ExpectedPause, leastKeep)}
	}
	transfer := pause.ExportCost.Seconds()
	if transfer > 0 && transfer < saving {
		return Decision{Action: ActionExport}
	}
	return Decision{Action: ActionRelease}
}

// memoryPrice rises from 0 at freePressure to fullMemoryPrice at 1.
func memoryPrice(pressure float64) float64 {
	over := max(pressure-freePressure, 0) / (1 - freePressure)
	return fullMemoryPrice * over
}
