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

// ScriptedOptions configures a run of generated programs with faults at fixed times.
type ScriptedOptions struct {
	Options
	// Deployment determines the zones, the engines, the kinds of programs and, from its
	// tiers, the tenants.
	Deployment workload.Deployment
	// Programs is the number of programs, to which an endless one is added.
	Programs int
	// ArrivalPeriod is the period over which the programs arrive at a constant rate.
	ArrivalPeriod time.Duration
	// TimeScale is a factor applied to the programs' pauses.
	TimeScale float64
	// EndlessBudget is the token budget of the endless program.
	EndlessBudget int64
	// SoftDeadlines are the soft deadlines of programs by tenant, relative to their arrival.
	SoftDeadlines map[string]time.Duration
}

const (
	// killAt, freezeAt and configureAt are the times of the faults and of a
	// configuration change, as fractions of the arrival period.
	killAt      = 0.25
	freezeAt    = 0.5
	configureAt = 0.7
	// downtime is the time between a node's kill and its restart.
	downtime = 1500 * time.Millisecond
	// freezeDuration exceeds the time after which other nodes replace an unresponsive
	// owner.
	freezeDuration = 2500 * time.Millisecond
	// maxPause and maxTurns limit programs so that the last one to arrive ends within
	// completionTimeout.
	maxPause = 500 * time.Millisecond
	maxTurns = 40
	// completionTimeout is the time allowed for programs to end after the last arrival.
	completionTimeout = 15 * time.Second
	// progressInterval is the interval between progress lines.
	progressInterval = 2 * time.Second
	// Every toolCallInterval turns, a session calls tools.
	toolCallInterval = 2
	// defaultBudget exceeds what the longest program spends.
	defaultBudget = 400 * maxTurnTokens
	// endlessProgramNumber is above the numbers of the other programs.
	endlessProgramNumber = 900_000
	// After an owner was lost without a planned stop, allowanceShare of a program's
	// budget and one turn may count as spent; after a second loss, also aheadShare and
	// another turn. See docs/design/allowances.md.
	allowanceShare = 1.0 / 3
	aheadShare     = 1.0 / 16
	// maxEndlessPause limits the pauses of the endless program.
	maxEndlessPause = 100 * time.Millisecond
	// faultStream is the random stream of the faults.
	faultStream = 1000
	// bytesPerToken is the size of a prompt token.
	bytesPerToken = 4
)

// ProgramRecord is the record of a program as its caller saw it.
type ProgramRecord struct {
	Name      string
	Tenant    string
	Turns     int
	SubAgents int
	Latency   time.Duration
	// Completed is false for a program that failed or exhausted its budget.
	Completed       bool
	BudgetExhausted bool
}

// ScriptedOutcome is the result of a scripted run.
type ScriptedOutcome struct {
	Records      []ProgramRecord
	PromptTokens PromptTokens
	// FailedAttempts counts attempts without an engine's response by cause.
	FailedAttempts map[string]int
	Violations     []Violation
}

// scriptedRun is the state of a scripted run in progress.
type scriptedRun struct {
	*run
	options       ScriptedOptions
	endedPrograms atomic.Int64
	// lostOwners is the number of nodes killed or frozen so far, each of which may own
	// programs.
	lostOwners atomic.Int64
	mutex      sync.Mutex
	records    []ProgramRecord
}

// applyDeployment returns the options with zones, engines, tools and tenants set from
// the deployment.
func (options ScriptedOptions) applyDeployment() ScriptedOptions {
	deployment := options.Deployment
	options.Zones = len(deployment.Zones)
	options.Engines = deployment.ModelEngines
	options.Tools = deployment.ApplicationBackEnds
	options.TOMLSettings = true
	options.Tenants = nil
	for rank, tier := range deployment.Tiers {
		priority := len(deployment.Tiers) - rank
		options.Tenants = append(options.Tenants, records.Tenant{Name: tier.Name, Priority: &priority})
	}
	return options
}

// RunScripted runs generated programs against nodes, kills one node, freezes a shard
// owner, and checks invariants over what callers and engines observe. It returns an
// error if the run could not be carried out.
func RunScripted(ctx context.Context, options ScriptedOptions) (*ScriptedOutcome, error) {
	options = options.applyDeployment()
	cluster, err := startCluster(ctx, options.withDefaults())
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	created := &scriptedRun{run: newRun(cluster, cluster.options), options: options}
	created.runPrograms(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	created.finish()
	return &ScriptedOutcome{
		Records:        created.records,
		PromptTokens:   created.recorder.promptTokens(cluster.allEngines()),
		FailedAttempts: created.recorder.failedAttempts,
		Violations:     created.recorder.violations,
	}, nil
}

// Serve starts the cluster of a scripted run without its load and faults, and serves
// until ctx ends. It calls onReady with the nodes' addresses for callers and the
// tenants' keys.
func Serve(ctx context.Context, options ScriptedOptions, onReady func(addresses []string, keys map[string]string)) error {
	cluster, err := startCluster(ctx, options.applyDeployment().withDefaults())
	if err != nil {
		return err
	}
	defer cluster.close()
	var addresses []string
	for _, each := range cluster.nodes {
		addresses = append(addresses, each.callerAddress)
	}
	keys := map[string]string{}
	for _, tenant := range cluster.options.Tenants {
		keys[tenant.Name] = tenantKey(tenant.Name)
	}
	onReady(addresses, keys)
	<-ctx.Done()
	return nil
}

// runPrograms runs all programs to their ends while the faults are injected.
func (scripted *scriptedRun) runPrograms(ctx context.Context) {
	loadCtx, stop := context.WithCancel(ctx)
	scripted.stopLoad = stop
	scripted.workers.Go(func() { scripted.probe(loadCtx) })
	scripted.workers.Go(func() { scripted.logProgress(loadCtx) })
	var workers sync.WaitGroup
	workers.Go(func() { scripted.injectScriptedFaults(ctx) })
	programCtx, cancel := context.WithTimeout(ctx, scripted.options.ArrivalPeriod+completionTimeout)
	defer cancel()
	for _, plan := range scripted.generatePrograms() {
		workers.Go(func() { scripted.runProgram(programCtx, plan) })
	}
	workers.Wait()
}

// generatePrograms returns the programs, the endless one first.
func (scripted *scriptedRun) generatePrograms() []*workload.Program {
	deployment := scripted.options.Deployment
	generator := workload.NewGenerator(deployment, scripted.options.Seed)
	plans := []*workload.Program{generator.EndlessProgram(endlessProgramNumber, deployment.LowestTierKind())}
	gap := scripted.options.ArrivalPeriod / time.Duration(max(scripted.options.Programs, 1))
	for number := range scripted.options.Programs {
		plan := generator.Program(number)
		plan.Arrival = time.Duration(number) * gap
		plan.Turns = plan.Turns[:min(len(plan.Turns), maxTurns)]
		plans = append(plans, plan)
	}
	return plans
}

// injectScriptedFaults kills a node, freezes an owner and publishes a configuration.
func (scripted *scriptedRun) injectScriptedFaults(ctx context.Context) {
	over := scripted.options.ArrivalPeriod.Seconds()
	at := func(share float64) {
		wait.Sleep(ctx, time.Until(scripted.startedAt.Add(time.Duration(share*over*float64(time.Second)))))
	}
	at(killAt)
	killed := scripted.cluster.nodes[scripted.random(faultStream).IntN(len(scripted.cluster.nodes))]
	scripted.logf("killing %s for %s", killed.name, downtime)
	scripted.lostOwners.Add(1)
	killed.stop(syscall.SIGKILL, time.Second)
	wait.Sleep(ctx, downtime)
	err := killed.start()
	if err != nil {
		scripted.logf("%s failed to restart: %v", killed.name, err)
	}
	at(freezeAt)
	owner, shards := scripted.cluster.topOwner()
	scripted.logf("freezing %s, owner of %d shards, for %s", owner.name, shards, freezeDuration)
	scripted.lostOwners.Add(1)
	owner.freeze()
	wait.Sleep(ctx, freezeDuration)
	owner.resume()
	at(configureAt)
	scripted.logf("published configuration version %d", scripted.cluster.publishConfiguration())
}

func (scripted *scriptedRun) logProgress(ctx context.Context) {
	for {
		wait.Sleep(ctx, progressInterval)
		if ctx.Err() != nil {
			return
		}
		scripted.logf("programs ended: %d of %d, turns: %d, failed attempts: %d",
			scripted.endedPrograms.Load(), scripted.options.Programs+1, scripted.caller.completedTurns.Load(), scripted.recorder.failedAttemptCount())
	}
}

// runProgram runs a program from its arrival to its end, and checks its result.
func (scripted *scriptedRun) runProgram(ctx context.Context, plan *workload.Program) {
	wait.Sleep(ctx, time.Until(scripted.startedAt.Add(plan.Arrival)))
	started := time.Now()
	program := &program{name: plan.ID, tenant: plan.Tier, budget: defaultBudget}
	if softDeadline := scripted.options.SoftDeadlines[plan.Tier]; softDeadline > 0 {
		program.softDeadline = started.Add(softDeadline)
	}
	if plan.Endless {
		program.budget = scripted.options.EndlessBudget
	}
	program.uncertainSpend = func() int64 { return maxUncertainSpend(program.budget, scripted.lostOwners.Load()) }
	record := ProgramRecord{Name: plan.ID, Tenant: plan.Tier}
	result := scripted.runSession(ctx, program, plan, &record)
	record.Latency = time.Since(started)
	record.Completed = result == turnCompleted
	record.BudgetExhausted = result == turnBudgetExhausted
	switch {
	case plan.Endless && !record.BudgetExhausted:
		scripted.recorder.addViolation(invariantEndless, "%s was not stopped after %d turns", plan.ID, record.Turns)
	case !plan.Endless && !record.Completed:
		scripted.recorder.addViolation(invariantCompletion, "%s of %s failed after %d turns, %s", plan.ID, plan.Tier, record.Turns, record.Latency)
	}
	scripted.endedPrograms.Add(1)
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	scripted.records = append(scripted.records, record)
}

// maxUncertainSpend returns the maximum part of a budget that may count as spent after
// the given number of lost owners.
func maxUncertainSpend(budget, lost int64) int64 {
	switch lost {
	case 0:
		return 0
	case 1:
		return int64(allowanceShare*float64(budget)) + maxTurnTokens
	}
	return int64((allowanceShare+aheadShare)*float64(budget)) + 2*maxTurnTokens
}

// runSession runs the turns of a program or sub-agent with their sub-agents, tool calls
// and pauses. It adds their counts to record.
func (scripted *scriptedRun) runSession(ctx context.Context, program *program, plan *workload.Program, record *ProgramRecord) turnResult {
	current := &session{program: program, id: plan.ID, random: rand.New(rand.NewPCG(scripted.options.Seed, plan.Turns[0].NewPrompt.Seed)), path: retainedTurnPath}
	for index := 0; ; index++ {
		turn, more := plan.TurnAt(index)
		if !more {
			return turnCompleted
		}
		end := scripted.caller.runTurn(ctx, current, turnInput(plan, index, turn))
		if end != turnCompleted {
			return end
		}
		record.Turns++
		if end := scripted.runSubAgents(ctx, program, turn.SubAgents, record); end != turnCompleted {
			return end
		}
		if index%toolCallInterval == toolCallInterval-1 {
			scripted.caller.callTools(ctx, current)
		}
		wait.Sleep(ctx, scripted.turnPause(plan, turn))
	}
}

// turnPause returns the pause after a turn.
func (scripted *scriptedRun) turnPause(plan *workload.Program, turn workload.Turn) time.Duration {
	scaled := time.Duration(float64(turn.Pause) * scripted.options.TimeScale)
	if plan.Endless {
		return min(scaled, maxEndlessPause)
	}
	return min(scaled, maxPause)
}

// runSubAgents runs a turn's sub-agents concurrently and waits for all of them. It
// returns turnCompleted, or the result of a sub-agent that did not complete.
func (scripted *scriptedRun) runSubAgents(ctx context.Context, program *program, plans []*workload.Program, record *ProgramRecord) turnResult {
	records := make([]ProgramRecord, len(plans))
	ends := make([]turnResult, len(plans))
	var group sync.WaitGroup
	for number, plan := range plans {
		group.Go(func() { ends[number] = scripted.runSession(ctx, program, plan, &records[number]) })
	}
	group.Wait()
	result := turnCompleted
	for number, end := range ends {
		record.Turns += records[number].Turns
		record.SubAgents += 1 + records[number].SubAgents
		if end != turnCompleted {
			result = end
		}
	}
	return result
}

// turnInput returns what a turn adds to the prompt. A session's first turn begins with
// the kind's system prompt.
func turnInput(plan *workload.Program, index int, turn workload.Turn) string {
	input := fmt.Sprintf("turn %d of %s: %s;", index, plan.ID, turn.NewPrompt.Text(bytesPerToken))
	if index == 0 {
		return plan.SystemPrompt.Text(bytesPerToken) + "\n" + input
	}
	return input
}
