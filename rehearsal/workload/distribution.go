package workload

import (
	"math"
	"math/rand/v2"
)

// Distribution is a lognormal distribution with an optional Pareto tail, clamped
// to [Low, High].
type Distribution struct {
	// Median of the lognormal, in the unit of the sampled quantity.
	Median float64
	// Sigma is the standard deviation of the logarithm; with 0 every sample
	// outside the tail is Median.
	Sigma float64
	// TailChance is the probability that a sample is drawn from the tail, a
	// Pareto distribution with minimum TailStart and shape TailExponent.
	TailChance   float64
	TailStart    float64
	TailExponent float64
	// Low and High clamp every sample.
	Low  float64
	High float64
}

// Sample draws a value.
func (distribution Distribution) Sample(random *rand.Rand) float64 {
	value := distribution.Median * math.Exp(distribution.Sigma*random.NormFloat64())
	if random.Float64() < distribution.TailChance {
		uniform := 1 - random.Float64()
		value = distribution.TailStart * math.Pow(uniform, -1/distribution.TailExponent)
	}
	return min(max(value, distribution.Low), distribution.High)
}

// SampleCount draws a value and rounds it to the nearest integer.
func (distribution Distribution) SampleCount(random *rand.Rand) int {
	return int(math.Round(distribution.Sample(random)))
}
