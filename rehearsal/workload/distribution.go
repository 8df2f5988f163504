package workload

import (
	"math"
	"math/rand/v2"
)

// Distribution is a lognormal with an optional Pareto tail, cut to bounds.
type Distribution struct {
	// Median of the lognormal, in the unit of the sampled quantity.
	Median float64
	// Sigma is the standard deviation of the logarithm; 0 is a constant.
	Sigma float64
	// TailChance is the share of samples taken from the tail, which is a
	// Pareto distribution that begins at TailStart with exponent TailExponent.
	TailChance   float64
	TailStart    float64
	TailExponent float64
	// Low and High cut every sample.
	Low  float64
	High float64
}

// Sample draws one value.
func (distribution Distribution) Sample(random *rand.Rand) float64 {
	value := distribution.Median * math.Exp(distribution.Sigma*random.NormFloat64())
	if random.Float64() < distribution.TailChance {
		uniform := 1 - random.Float64()
		value = distribution.TailStart * math.Pow(uniform, -1/distribution.TailExponent)
	}
	return min(max(value, distribution.Low), distribution.High)
}

// SampleCount draws one value, rounded to a whole number.
func (distribution Distribution) SampleCount(random *rand.Rand) int {
	return int(math.Round(distribution.Sample(random)))
}
