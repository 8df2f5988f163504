package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

// StagedOptions is a run of generated programs with a few faults at set times.
type StagedOptions struct {
	Options
	// Deployment gives the zones, the engines, the kinds of programs and, by its tiers, the
	// tenants.
	Deployment workload.Deployment
	// Programs arrive evenly over a time; one that loops without end comes besides them.
	Programs int
	Over     time.Duration
	// TimeScale is a factor on the programs' pauses.
	TimeScale float64
	// LoopBudget is how many tokens the endless program may use.
	LoopBudget int64
	// Aims is the longest that a program of a tenant should take.
	Aims map[string]time.Duration
}

const (
	// killAt, freezeAt and configureAt are when the faults begin and a configuration is
	// published, as shares of the time over which programs arrive.
	killAt      = 0.25
	freezeAt    = 0.5
	configureAt = 0.7
	// killedFor is how long the killed node stays away.
	killedFor = 1500 * time.Millisecond
	// frozenFor is longer than other nodes wait for an owner before they replace it.
	frozenFor = 2500 * time.Millisecond
	// longestPause and longestChain bound a program's pauses and turns, so that one which
	// arrives last ends within stagedBound.
	longestPause = 500 * time.Millisecond
	longestChain = 40
	// stagedBound is how long programs may go on after the last one has arrived.
	stagedBound = 15 * time.Second
	// progressPause separates two lines of progress.
	progressPause = 2 * time.Second
	// toolEvery makes every so many turns call tools before the next one.
	toolEvery = 2
	// stagedBudget is more than the longest program spends.
	stagedBudget = 400 * most
	// endlessNumber sets the endless program's number apart.
	endlessNumber = 900_000
	// allowanceShare of a budget and a turn count as spent once an owner was lost without a
	// planned stop, aheadShare and a turn with the next one (docs/design/allowances.md).
	allowanceShare = 1.0 / 3
	aheadShare     = 1.0 / 16
	// loopPause bounds the pauses of the endless program.
	loopPause = 100 * time.Millisecond
	// faultStream is the stream of random numbers that faults are drawn from.
	faultStream = 1000
	// bytesPerToken is how prompts' tokens are counted.
	bytesPerToken = 4
)

// ProgramRecord is what the caller of one program saw.
type ProgramRecord struct {
	Name      string
	Tenant    string
	Turns     int
	SubAgents int
	Latency   time.Duration
	// Completed is false for a program that was stopped by its budget or that failed.
	Completed bool
	Stopped   bool
}

// StagedOutcome is what a staged run came to.
type StagedOutcome struct {
	Records []ProgramRecord
	Prompts PromptUse
	// Refusals counts attempts without an engine's answer, by cause.
	Refusals   map[string]int
	Violations []Violation
}

// staged is a staged run under way.
type staged struct {
	*run
	options StagedOptions
	ended   atomic.Int64
	// lost is how many nodes were killed or frozen, each of which may own a program.
	lost    atomic.Int64
	mutex   sync.Mutex
	records []ProgramRecord
}

// complete takes the deployment's numbers into the options of the world.
func (options StagedOptions) complete() StagedOptions {
	deployment := options.Deployment
	options.Zones = len(deployment.Zones)
	options.Engines = deployment.ModelEngines
	options.Tools = deployment.ApplicationBackEnds
	options.OwnSettings = true
	options.Tenants = nil
	for rank, tier := range deployment.Tiers {
		priority := len(deployment.Tiers) - rank
		options.Tenants = append(options.Tenants, records.Tenant{Name: tier.Name, Priority: &priority})
	}
	return options
}

// RunStaged runs generated programs against nodes, kills one node and freezes an owner
// midway, and judges what callers and engines saw. An error says that the run could not be
// made.
func RunStaged(ctx context.Context, options StagedOptions) (*StagedOutcome, error) {
	options = options.complete()
	world, err := startWorld(ctx, options.withDefaults())
	if err != nil {
		return nil, err
	}
	defer world.close()
	made := &staged{run: newRun(world, world.options), options: options}
	made.play(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	made.finish()
	return &StagedOutcome{
		Records:    made.records,
		Prompts:    made.ledger.promptUse(world.all()),
		Refusals:   made.ledger.refusals,
		Violations: made.ledger.violations,
	}, nil
}

// Serve starts the same nodes, engines and tools and keeps them serving until ctx ends; told
// gets where callers find the nodes, and the key of each tenant.
func Serve(ctx context.Context, options StagedOptions, told func(addresses []string, keys map[string]string)) error {
	world, err := startWorld(ctx, options.complete().withDefaults())
	if err != nil {
		return err
	}
	defer world.close()
	var addresses []string
	for _, each := range world.nodes {
		addresses = append(addresses, each.front)
	}
	keys := map[string]string{}
	for _, tenant := range world.options.Tenants {
		keys[tenant.Name] = keyOf(tenant.Name)
	}
	told(addresses, keys)
	<-ctx.Done()
	return nil
}

// play runs all programs to their ends while the faults are thrown.
func (staged *staged) play(ctx context.Context) {
	working, stop := context.WithCancel(ctx)
	staged.stop = stop
	staged.working.Go(func() { staged.probe(working) })
	staged.working.Go(func() { staged.showProgress(working) })
	var all sync.WaitGroup
	all.Go(func() { staged.throwFaults(ctx) })
	bounded, cancel := context.WithTimeout(ctx, staged.options.Over+stagedBound)
	defer cancel()
	for _, plan := range staged.plans() {
		all.Go(func() { staged.runProgram(bounded, plan) })
	}
	all.Wait()
}

// plans are the programs, the endless one first.
func (staged *staged) plans() []*workload.Program {
	deployment := staged.options.Deployment
	generator := workload.NewGenerator(deployment, staged.options.Seed)
	plans := []*workload.Program{generator.EndlessProgram(endlessNumber, deployment.LowestKind())}
	gap := staged.options.Over / time.Duration(max(staged.options.Programs, 1))
	for number := range staged.options.Programs {
		plan := generator.Program(number)
		plan.Arrival = time.Duration(number) * gap
		plan.Turns = plan.Turns[:min(len(plan.Turns), longestChain)]
		plans = append(plans, plan)
	}
	return plans
}

// throwFaults kills a node, freezes an owner and publishes a configuration.
func (staged *staged) throwFaults(ctx context.Context) {
	over := staged.options.Over.Seconds()
	at := func(share float64) {
		wait.Sleep(ctx, time.Until(staged.began.Add(time.Duration(share*over*float64(time.Second)))))
	}
	at(killAt)
	killed := staged.world.nodes[staged.random(faultStream).IntN(len(staged.world.nodes))]
	staged.logf("%s is killed for %s", killed.name, killedFor)
	staged.lost.Add(1)
	killed.stop(syscall.SIGKILL, time.Second)
	wait.Sleep(ctx, killedFor)
	err := killed.start()
	if err != nil {
		staged.logf("%s does not start again: %v", killed.name, err)
	}
	at(freezeAt)
	owner, shards := staged.world.owner()
	staged.logf("%s, owner of %d shards, is frozen for %s", owner.name, shards, frozenFor)
	staged.lost.Add(1)
	owner.freeze()
	wait.Sleep(ctx, frozenFor)
	owner.wake()
	at(configureAt)
	staged.logf("version %d of the configuration is published", staged.world.configure())
}

func (staged *staged) showProgress(ctx context.Context) {
	for {
		wait.Sleep(ctx, progressPause)
		if ctx.Err() != nil {
			return
		}
		staged.logf("programs ended %d of %d, turns %d, attempts refused or lost %d",
			staged.ended.Load(), staged.options.Programs+1, staged.callers.turns.Load(), staged.ledger.refused())
	}
}

// runProgram runs one program from its arrival to its end, and judges the end.
func (staged *staged) runProgram(ctx context.Context, plan *workload.Program) {
	wait.Sleep(ctx, time.Until(staged.began.Add(plan.Arrival)))
	begun := time.Now()
	shared := &program{name: plan.ID, tenant: plan.Tier, budget: stagedBudget}
	if aim := staged.options.Aims[plan.Tier]; aim > 0 {
		shared.due = begun.Add(aim)
	}
	if plan.Endless {
		shared.budget = staged.options.LoopBudget
	}
	shared.doubt = func() int64 { return doubtOf(shared.budget, staged.lost.Load()) }
	record := ProgramRecord{Name: plan.ID, Tenant: plan.Tier}
	end := staged.runLine(ctx, shared, plan, &record)
	record.Latency = time.Since(begun)
	record.Completed = end == turnWhole
	record.Stopped = end == turnSpent
	switch {
	case plan.Endless && !record.Stopped:
		staged.ledger.violated(promiseStop, "%s went on for %d turns", plan.ID, record.Turns)
	case !plan.Endless && !record.Completed:
		staged.ledger.violated(promiseEnd, "%s of %s ended after %d turns, %s", plan.ID, plan.Tier, record.Turns, record.Latency)
	}
	staged.ended.Add(1)
	staged.mutex.Lock()
	defer staged.mutex.Unlock()
	staged.records = append(staged.records, record)
}

// doubtOf is what lost owners may take of a budget: one is killed, then one frozen.
func doubtOf(budget, lost int64) int64 {
	switch lost {
	case 0:
		return 0
	case 1:
		return int64(allowanceShare*float64(budget)) + most
	}
	return int64((allowanceShare+aheadShare)*float64(budget)) + 2*most
}

// runLine runs the turns of a program or of a sub-agent, with what follows each. It adds
// what it did to record.
func (staged *staged) runLine(ctx context.Context, shared *program, plan *workload.Program, record *ProgramRecord) turnEnd {
	running := &line{program: shared, session: plan.ID, random: rand.New(rand.NewPCG(staged.options.Seed, plan.Turns[0].NewPrompt.Seed)), path: turnPath}
	for index := 0; ; index++ {
		turn, more := plan.TurnAt(index)
		if !more {
			return turnWhole
		}
		end := staged.callers.turn(ctx, running, inputOf(plan, index, turn))
		if end != turnWhole {
			return end
		}
		record.Turns++
		if end := staged.runSubAgents(ctx, shared, turn.SubAgents, record); end != turnWhole {
			return end
		}
		if index%toolEvery == toolEvery-1 {
			staged.callers.tool(ctx, running)
		}
		wait.Sleep(ctx, staged.pause(plan, turn))
	}
}

// pause is what follows a turn.
func (staged *staged) pause(plan *workload.Program, turn workload.Turn) time.Duration {
	scaled := time.Duration(float64(turn.Pause) * staged.options.TimeScale)
	if plan.Endless {
		return min(scaled, loopPause)
	}
	return min(scaled, longestPause)
}

// runSubAgents runs a turn's sub-agents side by side. All of them end before the next turn;
// it returns the end of one that was not whole, if any.
func (staged *staged) runSubAgents(ctx context.Context, shared *program, plans []*workload.Program, record *ProgramRecord) turnEnd {
	records := make([]ProgramRecord, len(plans))
	ends := make([]turnEnd, len(plans))
	var group sync.WaitGroup
	for number, plan := range plans {
		group.Go(func() { ends[number] = staged.runLine(ctx, shared, plan, &records[number]) })
	}
	group.Wait()
	result := turnWhole
	for number, end := range ends {
		record.Turns += records[number].Turns
		record.SubAgents += 1 + records[number].SubAgents
		if end != turnWhole {
			result = end
		}
	}
	return result
}

// inputOf spells out what a turn adds to the prompt; a line's first turn begins with what
// all programs of the kind share.
func inputOf(plan *workload.Program, index int, turn workload.Turn) string {
	input := fmt.Sprintf("turn %d of %s: %s;", index, plan.ID, turn.NewPrompt.Text(bytesPerToken))
	if index == 0 {
		return plan.SystemPrompt.Text(bytesPerToken) + "\n" + input
	}
	return input
}
