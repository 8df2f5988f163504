package experiment

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
)

// populationFactors are the closed-loop populations used to measure capacity, in
// programs per batch slot. Small populations leave slots idle; in large ones,
// programs evict each other's history from the cache.
var populationFactors = []float64{0.5, 0.75, 1, 1.5, 2}

// unboundedWait is a wait bound that disables admission control while capacity
// is measured.
const unboundedWait = 24 * time.Hour

var errNoCapacity = errors.New("capacity measurement: no program completed; increase duration")

// MeasureCapacity returns the saturation rate in programs per second: the
// highest completion rate of a closed-loop population over several population
// sizes, under the file's capacity policy and with its first seed.
func MeasureCapacity(ctx context.Context, file File, workers int) (float64, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	rates := make([]float64, len(populationFactors))
	for index, factor := range populationFactors {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			rate, err := file.closedLoopRate(factor)
			rates[index] = rate
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	highest := 0.0
	for _, rate := range rates {
		highest = max(highest, rate)
	}
	if highest == 0 {
		return 0, errNoCapacity
	}
	return highest, nil
}

// closedLoopRate returns the completion rate of a closed-loop population, in
// programs per second.
func (file File) closedLoopRate(factor float64) (float64, error) {
	config := file.runConfig(file.policy(file.capacityPolicy()), file.Seeds[0], 0)
	for index := range config.Deployment.Tiers {
		config.Deployment.Tiers[index].WaitBound = unboundedWait
	}
	config.EndlessPrograms = 0
	config.LoseEngineAt = 0
	slots := float64(config.Deployment.ModelEngines * config.Engine.RunningLimit)
	config.Population = max(int(factor*slots), 1)
	metrics, err := run(config)
	if err != nil {
		return 0, err
	}
	return float64(metrics.completed) / (config.Duration - config.WarmUp).Seconds(), nil
}

func (file File) capacityPolicy() string {
	if file.CapacityPolicy == "" {
		return file.Baseline
	}
	return file.CapacityPolicy
}
