package workload

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Arrivals makes the programs that arrive within duration at a mean rate in
// programs a second over all kinds, in order of arrival. endless of them, spread
// evenly over the run, loop without end.
func (generator *Generator) Arrivals(rate float64, duration time.Duration, endless int) []*Program {
	var programs []*Program
	for index, kind := range generator.deployment.Kinds {
		if kind.Share == 0 {
			continue
		}
		random := generator.random(streamArrival, uint64(index))
		kindRate := rate * kind.Share / generator.totalShare
		for _, arrival := range arrivalTimes(random, kindRate, kind.Burst, duration) {
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
	lowest := generator.lowestKind()
	programs := make([]*Program, 0, count)
	for index := range count {
		program := generator.EndlessProgram(firstNumber+index, lowest)
		program.Arrival = duration * time.Duration(index+1) / time.Duration(count+2)
		programs = append(programs, program)
	}
	return programs
}

// lowestKind returns the kind that arrives in the lowest tier in use.
func (generator *Generator) lowestKind() string {
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

// arrivalTimes draws the arrivals of one kind. Bursts begin as a Poisson
// process whose rate keeps the mean rate of programs.
func arrivalTimes(random *rand.Rand, rate float64, burst Burst, duration time.Duration) []time.Duration {
	meanSize := max(burst.MeanSize, 1)
	var arrivals []time.Duration
	at := time.Duration(0)
	for rate > 0 {
		at += seconds(random.ExpFloat64() * meanSize / rate)
		if at >= duration {
			break
		}
		for range geometric(random, meanSize) {
			arrivals = append(arrivals, at+time.Duration(random.Float64()*float64(burst.Spread)))
		}
	}
	return arrivals
}

// geometric draws from 1 up with the given mean.
func geometric(random *rand.Rand, mean float64) int {
	if mean <= 1 {
		return 1
	}
	uniform := 1 - random.Float64()
	return 1 + int(math.Log(uniform)/math.Log(1-1/mean))
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
