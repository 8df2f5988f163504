package experiment

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

// outcome is how a program ended.
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
	// refusalAttempts is how often a caller offers one call before it gives the
	// program up.
	refusalAttempts = 4
	// minimumRetry is the least wait of a caller that was told none.
	minimumRetry = 500 * time.Millisecond
	// retryJitter is the share by which callers spread their return.
	retryJitter = 0.2
	// promptFactor weighs an uncached prompt token against a generated one.
	promptFactor = 0.02
)

// programRun is a program under way: the caller's loop and the leader's view of
// it.
type programRun struct {
	simulation *simulation
	program    *workload.Program
	tier       workload.Tier
	pool       *pool
	// root is the outermost program; it accounts for all its sub-agents.
	root   *programRun
	parent *programRun
	// attained is the service the program has used, and tokens all its prompt
	// and output tokens, for its cap; both are kept at the root.
	attained float64
	tokens   int

	history *workload.History
	// turn is the number of the turn that is under way or comes next.
	turn    int
	current *call
	// attempt numbers the offers of calls; refusals counts those of the current
	// turn that were refused.
	attempt  uint32
	refusals int
	startsAt time.Duration
	// paused sums the time that the caller's tools took, sub-agents excluded.
	paused time.Duration
	// children and toolDone are what the program waits for between two turns.
	children int
	toolDone bool
	outcome  outcome
	// childOutcome is how a sub-agent ended that did not complete; the program
	// ends the same way.
	childOutcome outcome
}

// startRoot starts a program that arrives from outside.
func (simulation *simulation) startRoot(program *workload.Program) {
	run := simulation.newProgram(program)
	run.root = run
	run.send()
}

func (simulation *simulation) newProgram(program *workload.Program) *programRun {
	run := &programRun{
		simulation: simulation,
		program:    program,
		tier:       simulation.config.Deployment.TierByName(program.Tier),
		pool:       simulation.choosePool(program.ID),
		history:    workload.NewHistory(simulation.config.Engine.BlockTokens),
		startsAt:   simulation.now,
	}
	run.pool.programs++
	run.history.Append(program.SystemPrompt)
	return run
}

// send makes the caller send its next turn, or ends the program.
func (run *programRun) send() {
	turn, more := run.program.TurnAt(run.turn)
	if !more {
		run.end(outcomeCompleted)
		return
	}
	if run.overCap(turn) {
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
	run.simulation.after(run.simulation.config.Deployment.ClientDelay, run.offer)
}

// overCap tells whether the turn could pass the token cap of the program.
func (run *programRun) overCap(turn workload.Turn) bool {
	limit := run.root.program.TokenCap
	if limit == 0 {
		return false
	}
	need := run.history.Tokens() + turn.NewPrompt.Tokens + turn.Output.Tokens
	return run.root.tokens+need > limit
}

// offer hands the current call to the keeper as a new attempt.
func (run *programRun) offer() {
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
	run.simulation.after(run.toKeeper(), func() {
		current.offeredAt = run.simulation.now
		run.pool.offer(&current)
	})
}

// keeperRequest describes the call to the keeper.
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
		MaxTokens:        run.simulation.config.Deployment.OutputBound(run.program.Kind),
		AttainedService:  run.root.attained,
		ProgramAge:       run.simulation.now - run.root.startsAt,
		WaitBound:        run.tier.WaitBound,
		RemainingService: run.remainingService(),
	}
}

// remainingService is what the whole program still needs. Only the oracle
// baseline gets it.
func (run *programRun) remainingService() float64 {
	if run.simulation.config.Policy.Queue != queue.Oracle {
		return 0
	}
	total := 0.0
	for current := run; current != nil; current = current.parent {
		total += current.program.RemainingService(current.turn, promptFactor)
	}
	return total
}

// parentID is the spawning program's id, empty for a root.
func (run *programRun) parentID() string {
	if run.parent == nil {
		return ""
	}
	return run.parent.program.ID
}

// refused makes the caller come back later, or give the program up.
func (run *programRun) refused(retryAfter time.Duration) {
	run.simulation.metrics.callRefused(run.tier.Name, run.simulation.measuring(run.root.startsAt))
	run.refusals++
	if run.refusals >= refusalAttempts {
		run.end(outcomeRefused)
		return
	}
	wait := max(retryAfter, minimumRetry)
	wait += time.Duration(run.simulation.random.Float64() * retryJitter * float64(wait))
	run.simulation.after(wait+2*run.simulation.config.Deployment.ClientDelay, run.offer)
}

// finished takes the whole answer of a call in.
func (run *programRun) finished(call *call, output enginemodel.Output) {
	run.root.attained += promptFactor*float64(output.PromptTokens-output.CachedTokens) + float64(output.OutputTokens)
	run.root.tokens += output.PromptTokens + output.OutputTokens
	run.tell(keeper.CallFinished{
		Call:         call.key,
		PromptTokens: output.PromptTokens,
		CachedTokens: output.CachedTokens,
		OutputTokens: output.OutputTokens,
	})
	call.engine.publishCacheEvent(run.program.ID, output.PromptTokens+output.OutputTokens)
	turn, _ := run.program.TurnAt(run.turn)
	run.turn++
	if _, more := run.program.TurnAt(run.turn); more {
		run.tell(keeper.ProgramPaused{Program: run.program.ID})
	}
	run.simulation.after(run.simulation.config.Deployment.ClientDelay, func() { run.pause(turn) })
}

// pause runs the caller's tool and the sub-agents that the turn spawned.
func (run *programRun) pause(turn workload.Turn) {
	if _, more := run.program.TurnAt(run.turn); !more && len(turn.SubAgents) == 0 {
		run.end(outcomeCompleted)
		return
	}
	run.toolDone = false
	run.children = len(turn.SubAgents)
	for _, subAgent := range turn.SubAgents {
		child := run.simulation.newProgram(subAgent)
		child.root = run.root
		child.parent = run
		child.send()
	}
	ends := run.simulation.tools.call(run.simulation.now, turn.Pause)
	run.paused += ends - run.simulation.now
	run.simulation.at(ends, func() {
		run.toolDone = true
		run.resume()
	})
}

// resume goes on once the tool and all sub-agents are done.
func (run *programRun) resume() {
	if !run.toolDone || run.children > 0 {
		return
	}
	if run.childOutcome != outcomeOpen {
		run.end(run.childOutcome)
		return
	}
	run.send()
}

// end closes the program and tells the keeper.
func (run *programRun) end(result outcome) {
	run.outcome = result
	run.pool.programs--
	run.tell(keeper.ProgramEnded{Program: run.program.ID})
	if run.parent == nil {
		run.simulation.rootEnded(run)
		return
	}
	if result != outcomeCompleted {
		run.parent.childOutcome = result
	}
	run.parent.children--
	run.parent.resume()
}

// failed ends a program whose call no engine can run.
func (run *programRun) failed(call *call) {
	run.tell(keeper.CallFinished{Call: call.key, Failed: true})
	run.pool.forget(call)
	run.end(outcomeFailed)
}

// lostEngine offers a call again whose engine is gone.
func (run *programRun) lostEngine(call *call) {
	call.cancelled = true
	run.pool.forget(call)
	run.tell(keeper.CallFinished{Call: call.key, Failed: true})
	run.offer()
}

// tell sends an event to the program's keeper.
func (run *programRun) tell(event keeper.Event) {
	run.simulation.after(run.toKeeper(), func() { run.pool.handle(event) })
}

func (run *programRun) toKeeper() time.Duration {
	return run.simulation.delay(run.program.Zone, run.pool.zone)
}
