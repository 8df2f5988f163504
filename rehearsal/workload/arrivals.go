package workload

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Arrivals returns the programs that arrive within duration, sorted by arrival
// time. rate is the mean arrival rate over all kinds, in programs per second.
// endless additional programs, evenly spaced over duration, repeat their turns
// until their token cap.
func (generator *Generator) Arrivals(rate float64, duration time.Duration, endless int) []*Program {
	var programs []*Program
	for index, kind := range generator.deployment.Kinds {
		if kind.Share == 0 {
			continue
		}
		random := generator.newRandom(streamArrival, uint64(index))
		kindRate := rate * kind.Share / generator.totalShare
		for _, arrival := range sampleArrivals(random, kindRate, kind.Burst, duration) {
			program := generator.ProgramOfKind(len(programs), kind.Name)
			program.Arrival = arrival
			programs = append(programs, program)
		}
	}
	programs = append(programs, generator.endlessArrivals(len(programs), endless, duration)...)
	sort.SliceStable(programs, func(left, right int) bool {
		return programs[left].Arrival < programs[right].Arrival
	})
	return programs
}

func (generator *Generator) endlessArrivals(firstNumber, count int, duration time.Duration) []*Program {
	lowest := generator.lowestActiveTierKind()
	programs := make([]*Program, 0, count)
	for index := range count {
		program := generator.EndlessProgram(firstNumber+index, lowest)
		program.Arrival = duration * time.Duration(index+1) / time.Duration(count+2)
		programs = append(programs, program)
	}
	return programs
}

// lowestActiveTierKind returns the first kind with a positive share in the
// lowest tier that has one.
func (generator *Generator) lowestActiveTierKind() string {
	tiers := generator.deployment.Tiers
	for index := len(tiers) - 1; index >= 0; index-- {
		for _, kind := range generator.deployment.Kinds {
			if kind.Tier == tiers[index].Name && kind.Share > 0 {
				return kind.Name
			}
		}
	}
	return generator.deployment.Kinds[0].Name
}

// sampleArrivals draws the arrival times of one kind. Bursts start as a Poisson
// process at rate divided by the mean burst size, so that programs arrive at
// rate on average.
func sampleArrivals(random *rand.Rand, rate float64, burst Burst, duration time.Duration) []time.Duration {
	meanSize := max(burst.MeanSize, 1)
	var arrivals []time.Duration
	at := time.Duration(0)
	for rate > 0 {
		at += durationFromSeconds(random.ExpFloat64() * meanSize / rate)
		if at >= duration {
			break
		}
		for range sampleGeometric(random, meanSize) {
			arrivals = append(arrivals, at+time.Duration(random.Float64()*float64(burst.Spread)))
		}
	}
	return arrivals
}

// sampleGeometric draws from the geometric distribution on 1, 2, ... with the
// given mean.
func sampleGeometric(random *rand.Rand, mean float64) int {
	if mean <= 1 {
		return 1
	}
	uniform := 1 - random.Float64()
	return 1 + int(math.Log(uniform)/math.Log(1-1/mean))
}

func durationFromSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
