package cache

import "time"

const (
	// minChargedPressure is the memory pressure below which keeping a prefix is free.
	minChargedPressure = 0.5
	// fullPressureCostRate is the cost of holding a prefix for one second at full
	// pressure, as a fraction of its recompute cost.
	fullPressureCostRate = 0.05
	// keepDurationFactor multiplies the expected pause to get the keep duration.
	keepDurationFactor = 3
	// minKeepDuration is the lower bound of the keep duration.
	minKeepDuration = 2 * time.Second
)

// PredictivePolicy compares the expected saving of a prefix with the cost of
// holding it. The saving is reuse probability × recompute cost; the holding cost
// is recompute cost × expected pause × a rate that rises with memory pressure.
type PredictivePolicy struct{}

// AtPause keeps the prefix for a limited time if holding costs no more than it
// saves. Otherwise it exports the prefix if that costs less than the saving, or
// releases it.
func (PredictivePolicy) AtPause(pause Pause) Decision {
	recompute := pause.RecomputeCost.Seconds()
	saving := pause.ReuseProbability * recompute
	holding := recompute * memoryCostRate(pause.Pressure) * pause.ExpectedPause.Seconds()
	if holding <= saving {
		return Decision{Action: ActionKeep, KeepFor: max(keepDurationFactor*pause.ExpectedPause, minKeepDuration)}
	}
	transfer := pause.ExportCost.Seconds()
	if transfer > 0 && transfer < saving {
		return Decision{Action: ActionExport}
	}
	return Decision{Action: ActionRelease}
}

// memoryCostRate returns the holding cost per second as a fraction of the
// recompute cost: linear from 0 at minChargedPressure to fullPressureCostRate at 1.
func memoryCostRate(pressure float64) float64 {
	excess := max(pressure-minChargedPressure, 0) / (1 - minChargedPressure)
	return fullPressureCostRate * excess
}
