package fault

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/history"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

const (
	// settleDelay is the wait between the end of load and faults and the final reads.
	settleDelay = 2 * time.Second
	// completionTimeout bounds the part of the run after the scenario's duration.
	completionTimeout = 2 * time.Minute
	// memoryReleaseTimeout bounds the wait until engines release the memory of programs
	// that have ended.
	memoryReleaseTimeout   = 15 * time.Second
	memoryPollInterval     = 250 * time.Millisecond
	maxIdleConnsPerGateway = 256
	sampleInterval         = 500 * time.Millisecond
)

// Environment holds what a scenario needs to run.
type Environment struct {
	Binaries  cluster.Binaries
	Directory string
	Port      int
	// Output receives a log line for each event.
	Output io.Writer
}

// Report is the outcome of a scenario.
type Report struct {
	Scenario *Scenario
	Results  []history.Result
	Duration time.Duration
}

// Failed reports whether a check failed.
func (report *Report) Failed() bool {
	for _, result := range report.Results {
		if result.Verdict == history.Violated {
			return true
		}
	}
	return false
}

// runner executes one scenario.
type runner struct {
	scenario   *Scenario
	deployment workload.Deployment
	cluster    *cluster.Cluster
	client     *http.Client
	output     io.Writer
	startedAt  time.Time

	// lock guards the fields below.
	lock      sync.Mutex
	record    history.Run
	runErrors []error
	// restarts counts the restarts of each machine's process; see processName.
	restarts map[string]int
	// openPrograms are the programs to end after all faults have ended.
	openPrograms []*programRun
}

// Run runs a scenario and its checks. It returns an error if the scenario could not
// be run; failed checks are in the report.
func Run(ctx context.Context, scenario *Scenario, environment Environment) (*Report, error) {
	found, err := workload.DeploymentByName(deploymentName)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	started, err := cluster.Start(ctx, scenario.Plan(environment.Port), environment.Binaries, environment.Directory)
	if err != nil {
		return nil, err
	}
	defer started.Stop()
	runner := newRunner(scenario, found, started, environment.Output)
	if err := runner.run(ctx); err != nil {
		return nil, err
	}
	report := &Report{Scenario: scenario, Duration: time.Since(begun)}
	for _, name := range scenario.Checks {
		report.Results = append(report.Results, history.Checks[name](&runner.record))
	}
	return report, nil
}

func newRunner(scenario *Scenario, deployment workload.Deployment, started *cluster.Cluster, output io.Writer) *runner {
	runner := &runner{
		scenario:   scenario,
		deployment: deployment,
		cluster:    started,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerGateway}},
		output:     output,
		startedAt:  time.Now(),
		restarts:   make(map[string]int),
	}
	runner.record.Budgets = make(map[string]uint64)
	for _, tier := range started.Plan().Configuration(deployment).GetTiers() {
		runner.record.Budgets[tier.GetName()] = tier.GetBudgetMicros()
	}
	return runner
}

// elapsed returns the time since the load started.
func (runner *runner) elapsed() time.Duration { return time.Since(runner.startedAt) }

// addError records an error that prevents the scenario from running as specified.
func (runner *runner) addError(err error) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.runErrors = append(runner.runErrors, err)
}

func (runner *runner) run(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, runner.scenario.Duration+completionTimeout)
	defer cancel()
	if err := runner.awaitLeaders(bounded); err != nil {
		return err
	}
	runner.startedAt = time.Now()
	watching, stopWatching := context.WithCancel(bounded)
	defer stopWatching()
	var watchers, load sync.WaitGroup
	runner.background(&watchers, func() { runner.sampleVersions(watching) })
	runner.background(&load, func() { runner.runFaults(bounded) })
	runner.background(&load, func() { runner.runPublishers(bounded) })
	runner.background(&load, func() { runner.runClients(bounded) })
	load.Wait()
	runner.logf("load and faults ended")
	sleep(bounded, settleDelay)
	runner.closeOpenPrograms(bounded)
	if last := runner.lastPublishReturn(); last > 0 {
		sleep(bounded, last+history.ActivationTimeout+2*sampleInterval-runner.elapsed())
	}
	stopWatching()
	watchers.Wait()
	runner.awaitMemoryRelease(bounded)
	if err := runner.collectRuns(bounded); err != nil {
		return err
	}
	if len(runner.runErrors) > 0 {
		return runner.runErrors[0]
	}
	return eris.Wrap(bounded.Err(), "scenario did not complete in time")
}

func (runner *runner) background(group *sync.WaitGroup, work func()) {
	group.Add(1)
	go func() {
		defer group.Done()
		work()
	}()
}

// sleep waits for a duration. It returns false if ctx is done first.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
