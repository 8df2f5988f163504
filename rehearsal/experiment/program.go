package experiment

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

// outcome is the result of a program.
type outcome int

// Outcomes of a program.
const (
	outcomeOpen outcome = iota
	outcomeCompleted
	outcomeRefused
	outcomeCapped
	outcomeFailed
)

// Client behaviour.
const (
	// maxSubmissions is the number of refused submissions of a call after which
	// the caller abandons the program.
	maxSubmissions = 4
	// minRetryDelay is the minimum delay before a refused call is submitted
	// again.
	minRetryDelay = 500 * time.Millisecond
	// retryJitter is the maximum random fraction added to the retry delay.
	retryJitter = 0.2
	// uncachedPromptWeight is the service cost of an uncached prompt token relative
	// to a generated token.
	uncachedPromptWeight = 0.02
)

// programRun is a running program: the caller's loop and the leader's state.
type programRun struct {
	simulation *simulation
	program    *workload.Program
	tier       workload.Tier
	pool       *pool
	// root is the outermost program, which accounts for all its sub-agents.
	root   *programRun
	parent *programRun
	// attainedService is the service, and usedTokens the number of prompt and
	// output tokens, that the program and its sub-agents have used. Both are set
	// on the root only.
	attainedService float64
	usedTokens      int

	history *workload.History
	// turn is the index of the current turn, or of the next one between turns.
	turn    int
	current *call
	// attempt is the number of the latest submission of a call; refusals is the
	// number of refused submissions in the current turn.
	attempt  uint32
	refusals int
	startsAt time.Duration
	// toolTime is the total time in the caller's tools, sub-agents excluded.
	toolTime time.Duration
	// openSubAgents and toolsDone are what the program waits for between turns.
	openSubAgents int
	toolsDone     bool
	outcome       outcome
	// subAgentOutcome is the outcome of a sub-agent that did not complete. The
	// program ends with the same outcome.
	subAgentOutcome outcome
}

// startRoot starts a root program.
func (simulation *simulation) startRoot(program *workload.Program) {
	run := simulation.newProgramRun(program)
	run.root = run
	run.sendTurn()
}

func (simulation *simulation) newProgramRun(program *workload.Program) *programRun {
	run := &programRun{
		simulation: simulation,
		program:    program,
		tier:       simulation.config.Deployment.TierByName(program.Tier),
		pool:       simulation.assignPool(program.ID),
		history:    workload.NewHistory(simulation.config.Engine.BlockTokens),
		startsAt:   simulation.now,
	}
	run.pool.programs++
	run.history.Append(program.SystemPrompt)
	return run
}

// sendTurn sends the caller's next turn, or ends the program if no turn is left
// or the turn could exceed the token cap.
func (run *programRun) sendTurn() {
	turn, more := run.program.TurnAt(run.turn)
	if !more {
		run.end(outcomeCompleted)
		return
	}
	if run.exceedsTokenCap(turn) {
		run.end(outcomeCapped)
		return
	}
	run.history.Append(turn.NewPrompt)
	prompt := run.history.Tokens()
	prefix := run.history.Blocks()
	run.history.Append(turn.Output)
	run.refusals = 0
	run.current = &call{
		program: run,
		sentAt:  run.simulation.now,
		request: enginemodel.Request{
			Program:      run.program.ID,
			Prefix:       prefix,
			PromptTokens: prompt,
			OutputTokens: turn.Output.Tokens,
			OutputBlocks: run.history.Blocks()[len(prefix):],
		},
	}
	run.simulation.after(run.simulation.config.Deployment.ClientDelay, run.submitCall)
}

// exceedsTokenCap reports whether the turn would exceed the program's token cap.
func (run *programRun) exceedsTokenCap(turn workload.Turn) bool {
	limit := run.root.program.TokenCap
	if limit == 0 {
		return false
	}
	need := run.history.Tokens() + turn.NewPrompt.Tokens + turn.Output.Tokens
	return run.root.usedTokens+need > limit
}

// submitCall submits the current call to the keeper as a new attempt.
func (run *programRun) submitCall() {
	run.attempt++
	current := *run.current
	current.cancelled = false
	current.engine = nil
	current.key = keeper.CallKey{
		Program:   run.program.ID,
		RequestID: fmt.Sprintf("%s-%d", run.program.ID, run.turn),
		Attempt:   run.attempt,
	}
	current.request.ID = fmt.Sprintf("%s#%d", current.key.RequestID, run.attempt)
	run.current = &current
	run.simulation.after(run.keeperDelay(), func() {
		current.queuedAt = run.simulation.now
		run.pool.enqueue(&current)
	})
}

// keeperRequest returns the keeper's description of the call.
func (run *programRun) keeperRequest(call *call) keeper.Request {
	return keeper.Request{
		Call:             call.key,
		Leader:           "leader-" + run.program.Zone,
		Tenant:           run.simulation.config.Deployment.Name,
		Kind:             run.program.Kind,
		Parent:           run.parentID(),
		Repeatable:       true,
		Tier:             run.tier.Name,
		Weight:           run.tier.Weight,
		Model:            modelName,
		Zone:             run.program.Zone,
		PromptTokens:     call.request.PromptTokens,
		MaxTokens:        run.simulation.config.Deployment.MaxOutputTokens(run.program.Kind),
		AttainedService:  run.root.attainedService,
		ProgramAge:       run.simulation.now - run.root.startsAt,
		WaitBound:        run.tier.WaitBound,
		RemainingService: run.remainingService(),
	}
}

// remainingService returns the service that the program and its ancestors still
// need, and 0 under all queue policies except the oracle.
func (run *programRun) remainingService() float64 {
	if run.simulation.config.Policy.Queue != queue.Oracle {
		return 0
	}
	total := 0.0
	for current := run; current != nil; current = current.parent {
		total += current.program.RemainingService(current.turn, uncachedPromptWeight)
	}
	return total
}

// parentID returns the ID of the parent program, empty for a root.
func (run *programRun) parentID() string {
	if run.parent == nil {
		return ""
	}
	return run.parent.program.ID
}

// onRefused submits the call again after a delay, or ends the program after
// maxSubmissions refusals.
func (run *programRun) onRefused(retryAfter time.Duration) {
	run.simulation.metrics.countCallRefusal(run.tier.Name, run.simulation.inMeasuredPeriod(run.root.startsAt))
	run.refusals++
	if run.refusals >= maxSubmissions {
		run.end(outcomeRefused)
		return
	}
	wait := max(retryAfter, minRetryDelay)
	wait += time.Duration(run.simulation.random.Float64() * retryJitter * float64(wait))
	run.simulation.after(wait+2*run.simulation.config.Deployment.ClientDelay, run.submitCall)
}

// onFinished accounts for a finished call, notifies the keeper and starts the
// turn's tools.
func (run *programRun) onFinished(call *call, output enginemodel.Output) {
	run.root.attainedService += uncachedPromptWeight*float64(output.PromptTokens-output.CachedTokens) + float64(output.OutputTokens)
	run.root.usedTokens += output.PromptTokens + output.OutputTokens
	run.notifyKeeper(keeper.CallFinished{
		Call:         call.key,
		PromptTokens: output.PromptTokens,
		CachedTokens: output.CachedTokens,
		OutputTokens: output.OutputTokens,
	})
	call.engine.publishCacheEvent(run.program.ID, output.PromptTokens+output.OutputTokens)
	turn, _ := run.program.TurnAt(run.turn)
	run.turn++
	if _, more := run.program.TurnAt(run.turn); more {
		run.notifyKeeper(keeper.ProgramPaused{Program: run.program.ID})
	}
	run.simulation.after(run.simulation.config.Deployment.ClientDelay, func() { run.runTools(turn) })
}

// runTools runs the turn's tool and sub-agents, or ends the program after its
// last turn.
func (run *programRun) runTools(turn workload.Turn) {
	if _, more := run.program.TurnAt(run.turn); !more && len(turn.SubAgents) == 0 {
		run.end(outcomeCompleted)
		return
	}
	run.toolsDone = false
	run.openSubAgents = len(turn.SubAgents)
	for _, subAgent := range turn.SubAgents {
		child := run.simulation.newProgramRun(subAgent)
		child.root = run.root
		child.parent = run
		child.sendTurn()
	}
	ends := run.simulation.tools.schedule(run.simulation.now, turn.Pause)
	run.toolTime += ends - run.simulation.now
	run.simulation.at(ends, func() {
		run.toolsDone = true
		run.continueIfReady()
	})
}

// continueIfReady sends the next turn once the tool and all sub-agents are done.
func (run *programRun) continueIfReady() {
	if !run.toolsDone || run.openSubAgents > 0 {
		return
	}
	if run.subAgentOutcome != outcomeOpen {
		run.end(run.subAgentOutcome)
		return
	}
	run.sendTurn()
}

// end ends the program and notifies the keeper and the parent program.
func (run *programRun) end(result outcome) {
	run.outcome = result
	run.pool.programs--
	run.notifyKeeper(keeper.ProgramEnded{Program: run.program.ID})
	if run.parent == nil {
		run.simulation.onRootEnd(run)
		return
	}
	if result != outcomeCompleted {
		run.parent.subAgentOutcome = result
	}
	run.parent.openSubAgents--
	run.parent.continueIfReady()
}

// onRejected ends the program after an engine rejected its call as invalid or
// too large.
func (run *programRun) onRejected(call *call) {
	run.notifyKeeper(keeper.CallFinished{Call: call.key, Failed: true})
	run.pool.remove(call)
	run.end(outcomeFailed)
}

// onEngineLost submits a call again whose engine was lost.
func (run *programRun) onEngineLost(call *call) {
	call.cancelled = true
	run.pool.remove(call)
	run.notifyKeeper(keeper.CallFinished{Call: call.key, Failed: true})
	run.submitCall()
}

// notifyKeeper sends an event to the program's keeper, after the zone delay.
func (run *programRun) notifyKeeper(event keeper.Event) {
	run.simulation.after(run.keeperDelay(), func() { run.pool.handle(event) })
}

func (run *programRun) keeperDelay() time.Duration {
	return run.simulation.delay(run.program.Zone, run.pool.zone)
}
