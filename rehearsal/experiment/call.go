package experiment

import (
	"time"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
)

// call is one attempt of one model call.
type call struct {
	program *programRun
	key     keeper.CallKey
	request enginemodel.Request
	engine  *engine
	// sentAt is when the caller sent the turn, over all its attempts.
	sentAt time.Duration
	// offeredAt is when the keeper got this attempt.
	offeredAt time.Duration
	// lastToken is when the caller got the last token so far; 0 before any.
	lastToken time.Duration
	// delivered counts the tokens that the caller has, over all attempts.
	delivered int
	cancelled bool
}

// granted sends the call to its engine by way of the leader.
func (call *call) granted(grant keeper.Grant, engine *engine) {
	run := call.program
	simulation := run.simulation
	wait := simulation.now - call.offeredAt
	simulation.metrics.callGranted(run.tier.Name, wait, simulation.measuring(run.root.startsAt))
	call.engine = engine
	if simulation.config.Policy.knowsTiers() {
		call.request.Priority = grant.Priority
	}
	delay := run.toKeeper() + simulation.delay(run.program.Zone, engine.zone)
	simulation.after(delay, func() { engine.submit(call) })
}

// produced hands one engine output to the caller, the leader and the keeper.
func (call *call) produced(output enginemodel.Output) {
	run := call.program
	simulation := run.simulation
	toLeader := simulation.delay(call.engine.zone, run.program.Zone)
	call.measure(output, simulation.now+toLeader+simulation.config.Deployment.ClientDelay)
	if output.First {
		key := call.key
		simulation.after(toLeader, func() { run.tell(keeper.FirstToken{Call: key}) })
	}
	if output.Finished {
		run.pool.forget(call)
		simulation.after(toLeader, func() { run.finished(call, output) })
	}
}

// measure records when the caller gets the output. A call that runs again after
// a loss or a preemption sends no token twice.
func (call *call) measure(output enginemodel.Output, arrives time.Duration) {
	if output.OutputTokens <= call.delivered {
		return
	}
	run := call.program
	measuring := run.simulation.measuring(run.root.startsAt)
	if call.delivered == 0 {
		run.simulation.metrics.firstToken(run.tier.Name, arrives-call.sentAt, measuring)
	} else {
		run.simulation.metrics.tokenGap(run.tier.Name, arrives-call.lastToken, measuring)
	}
	call.delivered = output.OutputTokens
	call.lastToken = arrives
}
