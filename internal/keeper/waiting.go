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
	// parent is the program whose prefix may be shared; nil if none is known.
	parent *programState
	tier   *tierState
	rank   queue.Rank
	item   *queue.Item[*waitingCall]
	// engine is where the call was bound on arrival; nil while it is in the
	// pool's queue.
	engine *engineState
	// adapter is the one whose queue the call stands in; nil while it stands in
	// another. patience ends that wait; nil where it has no bound.
	adapter  *adapterState
	patience *timer
	deadline *timer
	queuedAt time.Duration
	// need is the KV memory expected at the call's end, tokens.
	need int
	// skips counts grants to calls ranked after this one; heldSince is when it
	// was first passed over.
	skips     int
	held      bool
	heldSince time.Duration
}

// queueCall takes an offered call in, or refuses it at once.
func (keeper *Keeper) queueCall(request Request) {
	if waiting := keeper.waiting[request.Call]; waiting != nil {
		waiting.request.Leader = request.Leader
		waiting.request.Shard = request.Shard
		return
	}
	if running := keeper.running[request.Call]; running != nil {
		running.request.Leader = request.Leader
		running.request.Shard = request.Shard
		keeper.emit(running.grant("offered again"))
		return
	}
	if request.Deadline > 0 && request.Deadline <= keeper.now {
		keeper.refuse(&request, resultcode.DeadlineNotRun, 0, "deadline passed before the offer")
		return
	}
	rank := keeper.policies.Order.Rank(keeper.describe(&request))
	if !keeper.admit(&request, rank) {
		return
	}
	keeper.enqueue(request, rank)
}

// describe is what an order may know of a request.
func (keeper *Keeper) describe(request *Request) queue.Call {
	return queue.Call{
		Weight:           request.Weight,
		QueuedAt:         keeper.now,
		ProgramAge:       request.ProgramAge,
		AttainedService:  request.AttainedService,
		RemainingService: request.RemainingService,
	}
}

// enqueue adds an admitted call.
func (keeper *Keeper) enqueue(request Request, rank queue.Rank) {
	call := &waitingCall{request: request, rank: rank, queuedAt: keeper.now}
	call.program = keeper.seeProgram(&request)
	call.need = keeper.needTokens(&request, call.program)
	call.program.rank = rank
	call.program.changeClaims()
	if request.Parent != "" {
		call.parent = keeper.programs.byName[request.Parent]
	}
	call.tier = keeper.tiers.of(&request, rank.Band)
	call.tier.waiting++
	keeper.waiting[request.Call] = call
	keeper.setDeadline(call)
	if !keeper.served(request.Adapter) {
		keeper.park(call)
		return
	}
	call.item = keeper.pool.Push(call, rank)
}

// seeProgram notes that a program goes on.
func (keeper *Keeper) seeProgram(request *Request) *programState {
	program := keeper.programs.see(request.Call.Program, keeper.now)
	keeper.programs.placeInShard(program, request.Shard)
	program.kind = keeper.kinds.of(request.Tenant, request.Kind)
	program.calls++
	keeper.resumeProgram(program)
	return program
}

func (keeper *Keeper) setDeadline(call *waitingCall) {
	if call.request.Deadline == 0 {
		return
	}
	call.deadline = &timer{call: call, position: notSet}
	keeper.timers.set(call.deadline, call.request.Deadline)
}

// queueOf returns the queue that a waiting call stands in.
func (keeper *Keeper) queueOf(call *waitingCall) *queue.Queue[*waitingCall] {
	switch {
	case call.engine != nil:
		return call.engine.bound
	case call.adapter != nil:
		return call.adapter.waiting
	}
	return keeper.pool
}

// leaveQueue takes a waiting call out of everything that counts it as waiting.
// The caller then grants, refuses or drops it.
func (keeper *Keeper) leaveQueue(call *waitingCall) {
	keeper.queueOf(call).Remove(call.item)
	keeper.timers.stop(call.deadline)
	keeper.timers.stop(call.patience)
	delete(keeper.waiting, call.request.Call)
	call.tier.waiting--
}

// dropCall ends a waiting call without an effect.
func (keeper *Keeper) dropCall(call *waitingCall) {
	keeper.leaveQueue(call)
	call.program.calls--
	call.program.changeClaims()
	keeper.tiers.forgetIdle(call.tier)
}

// refuseWaiting ends a waiting call with a refusal.
func (keeper *Keeper) refuseWaiting(call *waitingCall, code resultcode.Code, retryAfter time.Duration, why string) {
	keeper.dropCall(call)
	keeper.refuse(&call.request, code, retryAfter, why)
}

// refuseLate refuses a call whose deadline passed while it waited.
func (keeper *Keeper) refuseLate(call *waitingCall) {
	keeper.refuseWaiting(call, resultcode.DeadlineNotRun, 0, "deadline passed while waiting")
}

// cancelCall withdraws a waiting call. A running one keeps its slot until its
// leader tells that it has finished.
func (keeper *Keeper) cancelCall(key CallKey) {
	if call := keeper.waiting[key]; call != nil {
		keeper.dropCall(call)
		keeper.decide(key, "cancel", "withdrawn while waiting")
		return
	}
	if call := keeper.running[key]; call != nil {
		call.cancelling = true
	}
}

// bindArrivals chooses the engine of each call in the pool's queue, for a
// placement that binds on arrival.
func (keeper *Keeper) bindArrivals() {
	for keeper.pool.Len() > 0 {
		item := keeper.takeServed()
		if item == nil {
			return
		}
		call := item.Value
		keeper.fillCandidates()
		keeper.fitCandidates(call)
		placed := call.placed()
		chosen := keeper.policies.Placement.Place(&placed, keeper.candidates)
		if chosen == placement.None {
			keeper.pool.Restore(item)
			return
		}
		call.engine = keeper.engines[chosen]
		call.item = call.engine.bound.Push(call, call.rank)
	}
}

// placed is what a placement may know of the call.
func (call *waitingCall) placed() placement.Call {
	return placement.Call{
		Model:        call.request.Model,
		Adapter:      call.request.Adapter,
		Zone:         call.request.Zone,
		PromptTokens: call.request.PromptTokens,
		KVTokens:     call.need,
	}
}
