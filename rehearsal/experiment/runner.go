package experiment

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/magpielug/magpielug/rehearsal/workload"
)

// DefaultWorkers is the default number of concurrent runs.
const DefaultWorkers = 4

// Progress is called after each run.
type Progress func(done, total int, policy string, load float64, seed uint64, took time.Duration)

// Run runs every policy at every load with every seed, with up to workers
// concurrent runs. It measures the capacity first if the file doesn't set it.
// progress may be nil.
func Run(ctx context.Context, file File, workers int, progress Progress) (Result, error) {
	result := Result{
		Name: file.Name, Workload: file.Workload, CapacityRate: file.CapacityRate,
		Seeds: file.Seeds, Loads: file.Loads,
		Baseline: file.Baseline, Oracle: file.Oracle, Candidate: file.Candidate,
	}
	for _, policy := range file.Policies {
		result.Policies = append(result.Policies, policy.Name)
	}
	if result.CapacityRate == 0 {
		rate, err := MeasureCapacity(ctx, file, workers)
		if err != nil {
			return Result{}, err
		}
		result.CapacityRate = rate
		result.CapacityPolicy = file.capacityPolicy()
	}
	matrix := newMatrix(file, result.CapacityRate)
	if err := matrix.run(ctx, workers, progress); err != nil {
		return Result{}, err
	}
	matrix.summarize(&result)
	return result, nil
}

func (file File) policy(name string) Policy {
	for _, policy := range file.Policies {
		if policy.Name == name {
			return policy
		}
	}
	return Policy{}
}

// runConfig returns the configuration of one run at an arrival rate.
func (file File) runConfig(policy Policy, seed uint64, rate float64) runConfig {
	// check has validated the name.
	deployment, _ := workload.DeploymentByName(file.Workload)
	if file.Engines > 0 {
		deployment.ModelEngines = file.Engines
	}
	if file.OnlyTier != "" {
		deployment = deployment.OnlyTier(file.OnlyTier)
	}
	return runConfig{
		Deployment:      deployment,
		Engine:          file.Engine,
		Policy:          policy,
		Seed:            seed,
		Rate:            rate,
		Duration:        file.Duration,
		WarmUp:          file.WarmUp,
		EndlessPrograms: file.EndlessPrograms,
		LoseEngineAt:    file.LoseEngineAt,
	}
}

// matrix is the set of all runs of a file.
type matrix struct {
	file File
	runs []*matrixRun
}

type matrixRun struct {
	load     float64
	config   runConfig
	metrics  *collector
	duration time.Duration
}

func newMatrix(file File, capacity float64) *matrix {
	matrix := &matrix{file: file}
	for _, load := range file.Loads {
		for _, policy := range file.Policies {
			for _, seed := range file.Seeds {
				config := file.runConfig(policy, seed, load*capacity)
				matrix.runs = append(matrix.runs, &matrixRun{load: load, config: config})
			}
		}
	}
	return matrix
}

func (matrix *matrix) run(ctx context.Context, workers int, progress Progress) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	done := make(chan *matrixRun, len(matrix.runs))
	for _, entry := range matrix.runs {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			start := time.Now()
			metrics, err := run(entry.config)
			entry.metrics = metrics
			entry.duration = time.Since(start)
			done <- entry
			return err
		})
	}
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		count := 0
		for entry := range done {
			count++
			if progress != nil {
				progress(count, len(matrix.runs), entry.config.Policy.Name, entry.load, entry.config.Seed, entry.duration)
			}
		}
	}()
	err := group.Wait()
	close(done)
	<-reported
	return err
}

// summarize adds a cell for each run and a merged cell for each policy and load.
func (matrix *matrix) summarize(result *Result) {
	var merged *collector
	seeds := len(matrix.file.Seeds)
	for index, entry := range matrix.runs {
		policy := entry.config.Policy.Name
		result.Runs = append(result.Runs, entry.metrics.summarize(policy, entry.load, entry.config.Seed))
		if index%seeds == 0 {
			merged = entry.metrics
		} else {
			merged.merge(entry.metrics)
		}
		if index%seeds == seeds-1 {
			result.Cells = append(result.Cells, merged.summarize(policy, entry.load, 0))
		}
		entry.metrics = nil
	}
}
