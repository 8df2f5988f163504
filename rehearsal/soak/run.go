package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
	"github.com/rotisserie/eris"
)

// Options configures a run.
type Options struct {
	// Seed determines the faults and calls. The timing of the processes is not
	// reproducible.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	Nodes         int
	// Callers is the number of concurrent programs.
	Callers int
	// FaultWorkers is the number of concurrent faults.
	FaultWorkers int
	// LoadFaultWorkers is the number of concurrent load faults. If positive, there are two
	// zones by default and engines have unequal speeds.
	LoadFaultWorkers int
	// CrashWorkers is the number of concurrent callers of requests that end each engine that runs
	// them.
	CrashWorkers int
	// StreamWorkers is the number of concurrent faults of resumed streams. If positive, there are three
	// zones by default, and engines of several software versions.
	StreamWorkers int
	// RetentionWorkers is the number of concurrent faults that outlast the log's retention. If positive, the
	// log drops old records.
	RetentionWorkers int
	// TotalLossWorkers is the number of concurrent faults that lose all nodes, each beside a caller whose
	// requests end engines for as long.
	TotalLossWorkers int
	// EndWorkers is the number of concurrent callers of requests under which engines end in ways that something
	// else seems to explain: a drain, a record that went first, an answer, a caller that left.
	EndWorkers int
	// Magpielug is the path of the binary under test. Settings files and logs are
	// written to Directory.
	Magpielug string
	Directory string
	// Output receives a line for each fault.
	Output io.Writer

	// Zones, Engines and Tools are the numbers of zones, model engines and tool
	// services; 0 for the default.
	Zones, Engines, Tools int
	// Host is the value of requests' Host header; empty for the default.
	Host string
	// Tenants are the configured tenants without their keys; nil for the default.
	Tenants []records.Tenant
	// EventDelay is the delay between the events of a stream.
	EventDelay time.Duration
	// FirstPort is the first node's caller port, from which all ports are derived; 0 to
	// allocate free ports.
	FirstPort int
	// TOMLSettings starts nodes with TOML settings files instead of those of the users'
	// platform.
	TOMLSettings bool
}

// Defaults of Options.
const (
	defaultZones   = 1
	defaultEngines = 3
	defaultTools   = 2
	defaultHost    = "h"
)

// withDefaults returns the options with unset fields replaced by defaults.
func (options Options) withDefaults() Options {
	if options.LoadFaultWorkers > 0 {
		options.Zones = cmp.Or(options.Zones, defaultLoadFaultZones)
	}
	if options.StreamWorkers > 0 {
		options.Zones = cmp.Or(options.Zones, defaultStreamZones)
		options.Engines = cmp.Or(options.Engines, defaultStreamEngines)
		options.EventDelay = cmp.Or(options.EventDelay, streamEventDelay)
	}
	options.Zones = cmp.Or(options.Zones, defaultZones)
	options.Engines = cmp.Or(options.Engines, defaultEngines)
	options.Tools = cmp.Or(options.Tools, defaultTools)
	options.Host = cmp.Or(options.Host, defaultHost)
	if options.Tenants == nil {
		options.Tenants = defaultTenants()
	}
	return options
}

// zoneName returns the zone of the component with the given number. Zones are assigned
// round-robin.
func (options Options) zoneName(number int) string {
	return fmt.Sprintf("zone-%d", number%options.Zones+1)
}

// probeTenant returns the tenant whose keys are used by probes.
func (options Options) probeTenant() string { return options.Tenants[0].Name }

// Outcome is the result of a run.
type Outcome struct {
	Seed           uint64
	InjectedFaults int
	Turns          int64
	Statuses       map[int]int
	Violations     []Violation
	// ResumedStreams counts the streams that callers resumed, ContinuedStreams those that went on.
	ResumedStreams, ContinuedStreams int
}

const (
	// startTimeout is the time allowed for all nodes to become ready.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time after the last fault within which each caller must
	// complete a turn.
	recoveryTimeout = 12 * time.Second
	// lateRunWait is the time after the last call in which engines may still receive
	// requests.
	lateRunWait = 2500 * time.Millisecond
	// probeInterval is the pause between two probes of the active configuration.
	probeInterval     = 120 * time.Millisecond
	readyPollInterval = 20 * time.Millisecond
)

// Run injects faults into nodes under load and checks invariants over what callers and
// engines observe. It returns an error if the run could not be carried out.
func Run(ctx context.Context, options Options) (*Outcome, error) {
	cluster, err := startCluster(ctx, options.withDefaults())
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	run := newRun(cluster, cluster.options)
	run.startLoad(ctx)
	run.injectFaults(ctx)
	run.recover(ctx)
	run.finish()
	return run.outcome(), nil
}

// startCluster starts the cluster and waits until all nodes are ready.
func startCluster(ctx context.Context, options Options) (*cluster, error) {
	err := os.MkdirAll(options.Directory, 0o750)
	if err != nil {
		return nil, eris.Wrap(err, "create run directory")
	}
	created, err := newCluster(options)
	if err != nil {
		return nil, err
	}
	err = startNodes(ctx, created)
	if err != nil {
		created.close()
		return nil, err
	}
	return created, nil
}

func startNodes(ctx context.Context, cluster *cluster) error {
	for _, each := range cluster.nodes {
		err := each.start()
		if err != nil {
			return err
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, each := range cluster.nodes {
		for !each.isReady() {
			if each.hasExited() {
				return eris.Errorf("%s exited during startup; see %s", each.name, each.logPath)
			}
			if startCtx.Err() != nil {
				return eris.Errorf("%s is not ready after %s", each.name, startTimeout)
			}
			wait.Sleep(startCtx, readyPollInterval)
		}
	}
	return nil
}

// run is the state of a run in progress.
type run struct {
	options  Options
	cluster  *cluster
	recorder *recorder
	caller   *caller
	injector *injector
	// completedTurns holds each caller's number of completed turns.
	completedTurns []*atomic.Int64
	stopLoad       context.CancelFunc
	workers        sync.WaitGroup
	outputMutex    sync.Mutex
	startedAt      time.Time
}

func newRun(cluster *cluster, options Options) *run {
	created := &run{options: options, cluster: cluster, recorder: newRecorder(), startedAt: time.Now()}
	created.caller = &caller{cluster: cluster, recorder: created.recorder}
	created.injector = &injector{cluster: cluster, recorder: created.recorder, logf: created.logf, reserved: map[string]bool{}}
	return created
}

func (run *run) logf(format string, values ...any) {
	run.outputMutex.Lock()
	defer run.outputMutex.Unlock()
	_, _ = fmt.Fprintf(run.options.Output, "%7.3f %s\n", time.Since(run.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

func (run *run) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(run.options.Seed, stream))
}

// startLoad starts the callers and the configuration probe.
func (run *run) startLoad(ctx context.Context) {
	loadCtx, stop := context.WithCancel(ctx)
	run.stopLoad = stop
	for number := range run.options.Callers {
		own := &caller{cluster: run.cluster, recorder: run.recorder}
		own.requestNumber.Store(int64(number+1) * requestIDsPerCaller)
		run.completedTurns = append(run.completedTurns, &own.completedTurns)
		run.workers.Go(func() { own.run(loadCtx, number, run.random(uint64(number))) })
	}
	run.startStreamCallers(loadCtx)
	run.startRetentionCallers(loadCtx)
	run.workers.Go(func() { run.probe(loadCtx) })
}

// requestIDsPerCaller is the size of each caller's range of request IDs.
const requestIDsPerCaller = 1_000_000

// injectFaults runs the fault workers for the run's length.
func (run *run) injectFaults(ctx context.Context) {
	faultCtx, cancel := context.WithTimeout(ctx, run.options.FaultDuration)
	defer cancel()
	var workers sync.WaitGroup
	for worker := range run.options.FaultWorkers {
		workers.Go(func() { run.injector.run(faultCtx, run.random(uint64(1000+worker)), faults) })
	}
	for worker := range run.options.LoadFaultWorkers {
		workers.Go(func() { run.injector.run(faultCtx, run.random(uint64(2000+worker)), loadFaults) })
	}
	for worker := range run.options.CrashWorkers {
		workers.Go(func() { run.injector.run(faultCtx, run.random(uint64(3000+worker)), crashFaults) })
	}
	for worker := range run.options.StreamWorkers {
		workers.Go(func() { run.injector.run(faultCtx, run.random(uint64(4000+worker)), streamFaults) })
	}
	for worker := range run.options.RetentionWorkers {
		workers.Go(func() { run.injector.run(faultCtx, run.random(uint64(5000+worker)), retentionFaults) })
	}
	for worker := range run.options.TotalLossWorkers {
		workers.Go(func() { run.injector.run(faultCtx, run.random(uint64(7000+worker)), totalLossFaults) })
		workers.Go(func() { run.injector.run(faultCtx, run.random(uint64(8000+worker)), persistentCrashFaults) })
	}
	for worker := range run.options.EndWorkers {
		workers.Go(func() { run.injector.run(faultCtx, run.random(uint64(9000+worker)), explainedEndFaults) })
	}
	workers.Wait()
}

// recover checks that every caller completes a turn within recoveryTimeout after the
// faults.
func (run *run) recover(ctx context.Context) {
	run.logf("fault injection ended")
	before := make([]int64, len(run.completedTurns))
	for number, turns := range run.completedTurns {
		before[number] = turns.Load()
	}
	recoveryCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for number, turns := range run.completedTurns {
		for turns.Load() == before[number] && recoveryCtx.Err() == nil {
			wait.Sleep(recoveryCtx, readyPollInterval)
		}
		if turns.Load() == before[number] && ctx.Err() == nil {
			run.recorder.addViolation(invariantRecovery, "caller %d completed no turn within %s", number, recoveryTimeout)
		}
	}
}

func (run *run) finish() {
	run.stopLoad()
	run.workers.Wait()
	time.Sleep(lateRunWait)
	runs := run.cluster.engineRuns()
	run.recorder.checkRuns(runs)
	run.recorder.checkTenantLimit(runs)
	outages := run.injector.allOutages()
	run.recorder.checkStreams(run.cluster.allEngines(), run.startedAt, outages.nodes)
	run.recorder.checkEngineEnds(run.cluster.allEngines(), run.cluster.removedEngines(), outages)
}

func (run *run) outcome() *Outcome {
	outcome := &Outcome{Seed: run.options.Seed, InjectedFaults: run.injector.injected, Statuses: run.recorder.statuses, Violations: run.recorder.violations,
		ResumedStreams: run.recorder.resumedStreams, ContinuedStreams: run.recorder.continuedStreams}
	for _, turns := range run.completedTurns {
		outcome.Turns += turns.Load()
	}
	return outcome
}

// probe checks that a process that has activated a configuration version never serves
// an older one, nor accepts a key that only an older one has.
func (run *run) probe(ctx context.Context) {
	type process struct {
		node        *node
		incarnation int
	}
	seen := map[process]int{}
	for round := 0; ctx.Err() == nil; round++ {
		target := run.cluster.nodes[round%len(run.cluster.nodes)]
		current := process{node: target, incarnation: target.currentIncarnation()}
		run.cluster.mutex.Lock()
		newest := run.cluster.version
		run.cluster.mutex.Unlock()
		if run.serves(ctx, target, newest) {
			seen[current] = max(seen[current], newest)
		}
		older := seen[current] - 1
		if older > 0 && run.serves(ctx, target, older) && target.currentIncarnation() == current.incarnation {
			run.recorder.addViolation(invariantConfiguration, "%s served version %d after version %d", target.name, older, seen[current])
		}
		if older > 0 && run.acceptsKey(ctx, target, older) && target.currentIncarnation() == current.incarnation {
			run.recorder.addViolation(invariantKey, "%s accepted the key of version %d after serving version %d", target.name, older, seen[current])
		}
		wait.Sleep(ctx, probeInterval)
	}
}

// serves reports whether a configuration version is active on a node.
func (run *run) serves(ctx context.Context, target *node, version int) bool {
	attempt := &callAttempt{method: http.MethodGet, target: versionPath(version) + "x", repeatable: true, probe: true, tenant: run.cluster.options.probeTenant()}
	run.caller.sendTo(ctx, target, attempt, "", http.Header{})
	return attempt.status == http.StatusOK
}

// acceptsKey reports whether a node accepts a configuration version's key.
func (run *run) acceptsKey(ctx context.Context, target *node, version int) bool {
	attempt := &callAttempt{method: http.MethodGet, target: safeToolPath, repeatable: true, probe: true, tenant: run.cluster.options.probeTenant(), key: versionKey(version)}
	run.caller.sendTo(ctx, target, attempt, "", http.Header{})
	return attempt.status == http.StatusOK
}
