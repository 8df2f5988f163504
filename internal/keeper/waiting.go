package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/placement"
	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// waitingCall is a call that waits for a slot.
type waitingCall struct {
	request Request
	program *programState
	// parent is the program whose prefix may be shared; nil if unknown.
	parent *programState
	tier   *tierState
	rank   queue.Rank
	item   *queue.Item[*waitingCall]
	// engine is the engine that the call is bound to, or nil.
	engine *engineState
	// adapter is set while the call is parked in that adapter's queue.
	// adapterTimer limits that wait; nil if the wait is unlimited.
	adapter       *adapterState
	adapterTimer  *timer
	deadlineTimer *timer
	queuedAt      time.Duration
	// kvTokens is the predicted KV memory at the call's end, in tokens.
	kvTokens int
	// skipped counts the grants to later calls while this one was deferred;
	// deferredSince is when it was first deferred.
	skipped       int
	deferred      bool
	deferredSince time.Duration
}

// queueCall queues an offered call or refuses it.
func (keeper *Keeper) queueCall(request Request) {
	if waiting := keeper.waiting[request.Call]; waiting != nil {
		waiting.request.Leader = request.Leader
		waiting.request.Shard = request.Shard
		return
	}
	if running := keeper.running[request.Call]; running != nil {
		running.request.Leader = request.Leader
		running.request.Shard = request.Shard
		keeper.emit(running.grantEffect("already granted; the call was offered again"))
		return
	}
	if request.Deadline > 0 && request.Deadline <= keeper.now {
		keeper.refuse(&request, resultcode.DeadlineNotRun, 0, "deadline passed before the call was queued")
		return
	}
	rank := keeper.policies.Order.Rank(keeper.orderCall(&request))
	if !keeper.admit(&request, rank) {
		return
	}
	keeper.enqueue(request, rank)
}

// orderCall returns the order's input for a request.
func (keeper *Keeper) orderCall(request *Request) queue.Call {
	return queue.Call{
		Weight:           request.Weight,
		QueuedAt:         keeper.now,
		ProgramAge:       request.ProgramAge,
		AttainedService:  request.AttainedService,
		RemainingService: request.RemainingService,
	}
}

// enqueue queues an admitted call.
func (keeper *Keeper) enqueue(request Request, rank queue.Rank) {
	call := &waitingCall{request: request, rank: rank, queuedAt: keeper.now}
	call.program = keeper.registerCall(&request)
	call.kvTokens = keeper.predictKVTokens(&request, call.program)
	call.program.rank = rank
	call.program.invalidateClaims()
	if request.Parent != "" {
		call.parent = keeper.programs.byName[request.Parent]
	}
	call.tier = keeper.tiers.ensure(&request, rank.Band)
	call.tier.waiting++
	keeper.waiting[request.Call] = call
	keeper.setDeadlineTimer(call)
	if !keeper.adapterAvailable(request.Adapter) {
		keeper.park(call)
		return
	}
	call.item = keeper.pool.Push(call, rank)
}

// registerCall counts a call of a program and ends the program's pause.
func (keeper *Keeper) registerCall(request *Request) *programState {
	program := keeper.programs.touch(request.Call.Program, keeper.now)
	keeper.programs.assignShard(program, request.Shard)
	program.kind = keeper.kinds.ensure(request.Tenant, request.Kind)
	program.calls++
	keeper.resumeProgram(program)
	return program
}

func (keeper *Keeper) setDeadlineTimer(call *waitingCall) {
	if call.request.Deadline == 0 {
		return
	}
	call.deadlineTimer = &timer{call: call, position: notScheduled}
	keeper.timers.set(call.deadlineTimer, call.request.Deadline)
}

// queueOf returns the queue that contains a waiting call.
func (keeper *Keeper) queueOf(call *waitingCall) *queue.Queue[*waitingCall] {
	switch {
	case call.engine != nil:
		return call.engine.bound
	case call.adapter != nil:
		return call.adapter.waiting
	}
	return keeper.pool
}

// dequeue removes a waiting call from its queue, timers and counts. The caller
// then grants, refuses or drops it.
func (keeper *Keeper) dequeue(call *waitingCall) {
	keeper.queueOf(call).Remove(call.item)
	keeper.timers.stop(call.deadlineTimer)
	keeper.timers.stop(call.adapterTimer)
	delete(keeper.waiting, call.request.Call)
	call.tier.waiting--
}

// dropCall removes a waiting call without an effect.
func (keeper *Keeper) dropCall(call *waitingCall) {
	keeper.dequeue(call)
	call.program.calls--
	call.program.invalidateClaims()
	keeper.tiers.removeIfIdle(call.tier)
}

// refuseWaiting removes a waiting call and refuses it.
func (keeper *Keeper) refuseWaiting(call *waitingCall, code resultcode.Code, retryAfter time.Duration, why string) {
	keeper.dropCall(call)
	keeper.refuse(&call.request, code, retryAfter, why)
}

// refuseExpired refuses a call whose deadline passed while it waited.
func (keeper *Keeper) refuseExpired(call *waitingCall) {
	keeper.refuseWaiting(call, resultcode.DeadlineNotRun, 0, "deadline passed while waiting")
}

// cancelCall removes a waiting call. A running call keeps its slot until its
// leader reports that it has finished.
func (keeper *Keeper) cancelCall(key CallKey) {
	if call := keeper.waiting[key]; call != nil {
		keeper.dropCall(call)
		keeper.recordDecision(key, "cancel", "cancelled while waiting")
		return
	}
	if call := keeper.running[key]; call != nil {
		call.cancelling = true
	}
}

// bindArrivals binds the calls in the pool's queue to engines, for a placement
// policy that binds on arrival.
func (keeper *Keeper) bindArrivals() {
	for keeper.pool.Len() > 0 {
		item := keeper.popAvailable()
		if item == nil {
			return
		}
		call := item.Value
		keeper.fillCandidates()
		keeper.updateCandidates(call)
		placementCall := call.placementCall()
		chosen := keeper.policies.Placement.Place(&placementCall, keeper.candidates)
		if chosen == placement.None {
			keeper.pool.Restore(item)
			return
		}
		call.engine = keeper.engines[chosen]
		call.item = call.engine.bound.Push(call, call.rank)
	}
}

// placementCall returns the placement policy's input for the call.
func (call *waitingCall) placementCall() placement.Call {
	return placement.Call{
		Model:        call.request.Model,
		Adapter:      call.request.Adapter,
		Zone:         call.request.Zone,
		PromptTokens: call.request.PromptTokens,
		KVTokens:     call.kvTokens,
	}
}
