package experiment

import (
	"time"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
)

// call is one attempt at a model call.
type call struct {
	program *programRun
	key     keeper.CallKey
	request enginemodel.Request
	engine  *engine
	// sentAt is when the caller sent the turn, before its first attempt.
	sentAt time.Duration
	// queuedAt is when the keeper received this attempt.
	queuedAt time.Duration
	// lastTokenAt is when the caller received its latest token, 0 before the
	// first.
	lastTokenAt time.Duration
	// deliveredTokens is the number of tokens that the caller has received in
	// all attempts.
	deliveredTokens int
	cancelled       bool
}

// dispatch sends a granted call to its engine through the leader.
func (call *call) dispatch(grant keeper.Grant, engine *engine) {
	run := call.program
	simulation := run.simulation
	wait := simulation.now - call.queuedAt
	simulation.metrics.recordQueueWait(run.tier.Name, wait, simulation.inMeasuredPeriod(run.root.startsAt))
	call.engine = engine
	if simulation.config.Policy.usesPriorities() {
		call.request.Priority = grant.Priority
	}
	delay := run.keeperDelay() + simulation.delay(run.program.Zone, engine.zone)
	simulation.after(delay, func() { engine.submit(call) })
}

// deliver passes one engine output to the caller, the leader and the keeper.
func (call *call) deliver(output enginemodel.Output) {
	run := call.program
	simulation := run.simulation
	toLeader := simulation.delay(call.engine.zone, run.program.Zone)
	call.recordLatency(output, simulation.now+toLeader+simulation.config.Deployment.ClientDelay)
	if output.First {
		key := call.key
		simulation.after(toLeader, func() { run.notifyKeeper(keeper.FirstToken{Call: key}) })
	}
	if output.Finished {
		run.pool.remove(call)
		simulation.after(toLeader, func() { run.onFinished(call, output) })
	}
}

// recordLatency records the first-token latency or the token gap of the output.
// It skips tokens that an earlier attempt has delivered.
func (call *call) recordLatency(output enginemodel.Output, arrives time.Duration) {
	if output.OutputTokens <= call.deliveredTokens {
		return
	}
	run := call.program
	measuring := run.simulation.inMeasuredPeriod(run.root.startsAt)
	if call.deliveredTokens == 0 {
		run.simulation.metrics.recordFirstToken(run.tier.Name, arrives-call.sentAt, measuring)
	} else {
		run.simulation.metrics.recordTokenGap(run.tier.Name, arrives-call.lastTokenAt, measuring)
	}
	call.deliveredTokens = output.OutputTokens
	call.lastTokenAt = arrives
}
