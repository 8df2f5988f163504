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

// Options is one run of the soak.
type Options struct {
	// Seed draws faults and calls; the processes' own timing is not drawn.
	Seed uint64
	// Length is how long faults are thrown.
	Length time.Duration
	Nodes  int
	// Callers is how many programs run at once, Lanes how many faults.
	Callers int
	Lanes   int
	// LoadLanes is how many disturbances of the load there are at once. With them, nodes and
	// engines stand in two zones, and engines are of unequal speed.
	LoadLanes int
	// Magpielug is the program to start; Directory takes settings and logs.
	Magpielug string
	Directory string
	// Output takes one line a fault.
	Output io.Writer

	// Zones, Engines and Tools are the numbers of zones, of model engines and of tool
	// services; 0 takes the default.
	Zones, Engines, Tools int
	// Host is the host that callers name; empty takes the default.
	Host string
	// Tenants are those of the configuration, without their keys; nil takes the default.
	Tenants []records.Tenant
	// EventPause is the time between the events of a stream.
	EventPause time.Duration
	// FirstPort is that of the first node's callers; 0 draws all ports.
	FirstPort int
	// OwnSettings starts nodes with settings files of the product's own, and not with those
	// of the users' platform.
	OwnSettings bool
}

// Defaults of Options.
const (
	defaultZones   = 1
	defaultEngines = 3
	defaultTools   = 2
	defaultHost    = "h"
)

// withDefaults fills in what is not set.
func (options Options) withDefaults() Options {
	if options.LoadLanes > 0 {
		options.Zones = cmp.Or(options.Zones, zonesUnderLoad)
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

// zone is that of the machine with a number; they are spread in turn.
func (options Options) zone(number int) string { return fmt.Sprintf("zone-%d", number%options.Zones+1) }

// prober is the tenant that asks which configuration is in force.
func (options Options) prober() string { return options.Tenants[0].Name }

// Outcome is what a run came to.
type Outcome struct {
	Seed       uint64
	Thrown     int
	Turns      int64
	Statuses   map[int]int
	Violations []Violation
}

const (
	// startTimeout bounds the start of all nodes.
	startTimeout = 20 * time.Second
	// recoveryBound is how long after the faults each caller may wait for a turn.
	recoveryBound = 12 * time.Second
	// lateRuns is how long after the last call an engine may still get one.
	lateRuns = 2500 * time.Millisecond
	// probePause separates two questions which configuration is in force.
	probePause = 120 * time.Millisecond
	readyPause = 20 * time.Millisecond
)

// Run throws faults at nodes under load and judges what callers and engines saw.
// An error says that the run could not be made.
func Run(ctx context.Context, options Options) (*Outcome, error) {
	world, err := startWorld(ctx, options.withDefaults())
	if err != nil {
		return nil, err
	}
	defer world.close()
	run := newRun(world, world.options)
	run.load(ctx)
	run.throw(ctx)
	run.recover(ctx)
	run.finish()
	return run.outcome(), nil
}

// startWorld starts everything around the callers and waits until the nodes take calls.
func startWorld(ctx context.Context, options Options) (*world, error) {
	err := os.MkdirAll(options.Directory, 0o750)
	if err != nil {
		return nil, eris.Wrap(err, "make the directory of the run")
	}
	built, err := newWorld(options)
	if err != nil {
		return nil, err
	}
	err = startAll(ctx, built)
	if err != nil {
		built.close()
		return nil, err
	}
	return built, nil
}

func startAll(ctx context.Context, world *world) error {
	for _, each := range world.nodes {
		err := each.start()
		if err != nil {
			return err
		}
	}
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, each := range world.nodes {
		for !each.isReady() {
			if each.hasEnded() {
				return eris.Errorf("%s ended at its start; see %s", each.name, each.log)
			}
			if bounded.Err() != nil {
				return eris.Errorf("%s is not ready after %s", each.name, startTimeout)
			}
			wait.Sleep(bounded, readyPause)
		}
	}
	return nil
}

// run is a run under way.
type run struct {
	options Options
	world   *world
	ledger  *ledger
	callers *callers
	thrower *thrower
	// progress holds each caller's number of whole turns.
	progress []*atomic.Int64
	stop     context.CancelFunc
	working  sync.WaitGroup
	printing sync.Mutex
	began    time.Time
}

func newRun(world *world, options Options) *run {
	made := &run{options: options, world: world, ledger: newLedger(), began: time.Now()}
	made.callers = &callers{world: world, ledger: made.ledger}
	made.thrower = &thrower{world: world, ledger: made.ledger, logf: made.logf, busy: map[string]bool{}}
	return made
}

func (run *run) logf(format string, values ...any) {
	run.printing.Lock()
	defer run.printing.Unlock()
	_, _ = fmt.Fprintf(run.options.Output, "%7.3f %s\n", time.Since(run.began).Seconds(), fmt.Sprintf(format, values...))
}

func (run *run) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(run.options.Seed, stream))
}

// load starts the callers and the probe.
func (run *run) load(ctx context.Context) {
	working, stop := context.WithCancel(ctx)
	run.stop = stop
	for number := range run.options.Callers {
		own := &callers{world: run.world, ledger: run.ledger}
		own.ids.Store(int64(number+1) * idsPerCaller)
		run.progress = append(run.progress, &own.turns)
		run.working.Go(func() { own.run(working, number, run.random(uint64(number))) })
	}
	run.working.Go(func() { run.probe(working) })
}

// idsPerCaller keeps the callers' request ids apart.
const idsPerCaller = 1_000_000

// throw runs the lanes of faults for the run's length.
func (run *run) throw(ctx context.Context) {
	throwing, cancel := context.WithTimeout(ctx, run.options.Length)
	defer cancel()
	var lanes sync.WaitGroup
	for lane := range run.options.Lanes {
		lanes.Go(func() { run.thrower.run(throwing, run.random(uint64(1000+lane)), faults) })
	}
	for lane := range run.options.LoadLanes {
		lanes.Go(func() { run.thrower.run(throwing, run.random(uint64(2000+lane)), loadFaults) })
	}
	lanes.Wait()
}

// recover checks that every caller gets on once nothing is disturbed any more.
func (run *run) recover(ctx context.Context) {
	run.logf("faults are over")
	before := make([]int64, len(run.progress))
	for number, turns := range run.progress {
		before[number] = turns.Load()
	}
	bounded, cancel := context.WithTimeout(ctx, recoveryBound)
	defer cancel()
	for number, turns := range run.progress {
		for turns.Load() == before[number] && bounded.Err() == nil {
			wait.Sleep(bounded, readyPause)
		}
		if turns.Load() == before[number] && ctx.Err() == nil {
			run.ledger.violated(promiseRecovery, "caller %d had no turn in %s", number, recoveryBound)
		}
	}
}

func (run *run) finish() {
	run.stop()
	run.working.Wait()
	time.Sleep(lateRuns)
	runs := run.world.runs()
	run.ledger.checkRuns(runs)
	run.ledger.checkLimit(runs)
}

func (run *run) outcome() *Outcome {
	outcome := &Outcome{Seed: run.options.Seed, Thrown: run.thrower.thrown, Statuses: run.ledger.statuses, Violations: run.ledger.violations}
	for _, turns := range run.progress {
		outcome.Turns += turns.Load()
	}
	return outcome
}

// probe asks one node after another which configuration is in force, and checks
// that within one life it is never older than one seen.
func (run *run) probe(ctx context.Context) {
	type life struct {
		node   *node
		number int
	}
	seen := map[life]int{}
	for round := 0; ctx.Err() == nil; round++ {
		target := run.world.nodes[round%len(run.world.nodes)]
		present := life{node: target, number: target.lives()}
		run.world.mutex.Lock()
		newest := run.world.version
		run.world.mutex.Unlock()
		if run.serves(ctx, target, newest) {
			seen[present] = max(seen[present], newest)
		}
		older := seen[present] - 1
		if older > 0 && run.serves(ctx, target, older) && target.lives() == present.number {
			run.ledger.violated(promiseVersion, "%s served version %d after %d", target.name, older, seen[present])
		}
		if older > 0 && run.takesKey(ctx, target, older) && target.lives() == present.number {
			run.ledger.violated(promiseKey, "%s took the key of version %d after %d", target.name, older, seen[present])
		}
		wait.Sleep(ctx, probePause)
	}
}

// serves tells whether a node has a version in force.
func (run *run) serves(ctx context.Context, target *node, version int) bool {
	attempt := &sent{method: http.MethodGet, target: versionPath(version) + "x", repeatable: true, probe: true, tenant: run.world.options.prober()}
	run.callers.sendTo(ctx, target, attempt, "", http.Header{})
	return attempt.status == http.StatusOK
}

// takesKey tells whether a node takes the key of a version.
func (run *run) takesKey(ctx context.Context, target *node, version int) bool {
	attempt := &sent{method: http.MethodGet, target: safePath, repeatable: true, probe: true, tenant: run.world.options.prober(), key: versionKey(version)}
	run.callers.sendTo(ctx, target, attempt, "", http.Header{})
	return attempt.status == http.StatusOK
}
