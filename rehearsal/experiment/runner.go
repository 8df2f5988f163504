package experiment

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/magpielug/magpielug/rehearsal/workload"
)

// DefaultWorkers is how many runs go on at a time.
const DefaultWorkers = 4

// Progress is told of each run that ended.
type Progress func(done, total int, policy string, load float64, seed uint64, took time.Duration)

// Run carries out every policy at every load with every seed, workers at a
// time.
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

// runConfig is the configuration of one run at a rate.
func (file File) runConfig(policy Policy, seed uint64, rate float64) runConfig {
	// check has made sure that the name is known.
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

// matrix is all runs of a file.
type matrix struct {
	file File
	runs []*matrixRun
}

type matrixRun struct {
	load    float64
	config  runConfig
	metrics *collector
	took    time.Duration
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
			began := time.Now()
			metrics, err := run(entry.config)
			entry.metrics = metrics
			entry.took = time.Since(began)
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
				progress(count, len(matrix.runs), entry.config.Policy.Name, entry.load, entry.config.Seed, entry.took)
			}
		}
	}()
	err := group.Wait()
	close(done)
	<-reported
	return err
}

// summarize adds a cell for each run, and one for each policy and load.
func (matrix *matrix) summarize(result *Result) {
	var pooled *collector
	seeds := len(matrix.file.Seeds)
	for index, entry := range matrix.runs {
		policy := entry.config.Policy.Name
		result.Runs = append(result.Runs, entry.metrics.summarize(policy, entry.load, entry.config.Seed))
		if index%seeds == 0 {
			pooled = entry.metrics
		} else {
			pooled.merge(entry.metrics)
		}
		if index%seeds == seeds-1 {
			result.Cells = append(result.Cells, pooled.summarize(policy, entry.load, 0))
		}
		entry.metrics = nil
	}
}
