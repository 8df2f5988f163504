package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// adapterState tracks an adapter that calls wait for, or that recently failed
// to load.
type adapterState struct {
	name  string
	model string
	// waiting holds the calls for which no ready engine has the adapter. They
	// are kept out of the pool's queue so that they do not block other calls.
	waiting *queue.Queue[*waitingCall]
	// waitingSince is when waiting last became non-empty.
	waitingSince time.Duration
	// underReplicated is true when, in the current step, a call has waited
	// longer than AdapterWaitTimeout for the engines that have the adapter
	// while another engine has a free slot.
	underReplicated bool
	// lastRequestedAt is when a load was last requested. The least recently
	// requested adapter is loaded first.
	lastRequestedAt time.Duration
	// failedAt is the time of the last failed load by engine name.
	failedAt map[string]time.Duration
}

// findAdapter returns the adapter's index in the sorted list and whether it is
// present.
func (keeper *Keeper) findAdapter(name string) (int, bool) {
	return slices.BinarySearchFunc(keeper.adapters, name, func(adapter *adapterState, name string) int {
		return cmp.Compare(adapter.name, name)
	})
}

// ensureAdapter returns the request's adapter, adding it if needed.
func (keeper *Keeper) ensureAdapter(request *Request) *adapterState {
	index, found := keeper.findAdapter(request.Adapter)
	if !found {
		adapter := &adapterState{
			name:     request.Adapter,
			waiting:  queue.New[*waitingCall](keeper.config.ReservedShare),
			failedAt: make(map[string]time.Duration),
		}
		keeper.adapters = slices.Insert(keeper.adapters, index, adapter)
	}
	adapter := keeper.adapters[index]
	adapter.model = request.Model
	return adapter
}

// removeIdleAdapters drops adapters without waiting calls and without a failed
// load within LoadRetry.
func (keeper *Keeper) removeIdleAdapters() {
	keeper.adapters = slices.DeleteFunc(keeper.adapters, func(adapter *adapterState) bool {
		for engine, failedAt := range adapter.failedAt {
			if keeper.now-failedAt > keeper.config.LoadRetry {
				delete(adapter.failedAt, engine)
			}
		}
		return adapter.waiting.Len() == 0 && len(adapter.failedAt) == 0
	})
}

// hasAdapter reports whether the engine has the adapter loaded; every engine
// has the empty adapter.
func (engine *engineState) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(engine.adapters, adapter)
}

// adapterAvailable reports whether a ready engine has the adapter.
func (keeper *Keeper) adapterAvailable(adapter string) bool {
	if adapter == "" {
		return true
	}
	return slices.ContainsFunc(keeper.engines, func(engine *engineState) bool {
		return engine.ready() && engine.hasAdapter(adapter)
	})
}

// popAvailable pops the next call whose adapter a ready engine has, and parks
// the calls it skips. It returns nil if there is none.
func (keeper *Keeper) popAvailable() *queue.Item[*waitingCall] {
	for {
		item := keeper.pool.Pop()
		if item == nil || keeper.adapterAvailable(item.Value.request.Adapter) {
			return item
		}
		keeper.park(item.Value)
	}
}

// park queues a call that is in no queue until a ready engine has its adapter.
func (keeper *Keeper) park(call *waitingCall) {
	adapter := keeper.ensureAdapter(&call.request)
	if adapter.waiting.Len() == 0 {
		adapter.waitingSince = keeper.now
	}
	call.adapter = adapter
	call.item = adapter.waiting.Push(call, call.rank)
	keeper.recordDecision(call.request.Call, "wait", "no ready engine has adapter "+adapter.name)
	if bound := keeper.waitBound(&call.request); bound > 0 {
		call.adapterTimer = &timer{call: call, position: notScheduled}
		keeper.timers.set(call.adapterTimer, call.queuedAt+bound)
	}
}

// unpark moves the calls that wait for an adapter to the pool's queue. They
// keep their ranks.
func (keeper *Keeper) unpark(adapter *adapterState) {
	for adapter.waiting.Len() > 0 {
		call := adapter.waiting.Pop().Value
		keeper.timers.stop(call.adapterTimer)
		call.adapter = nil
		call.adapterTimer = nil
		call.item = keeper.pool.Push(call, call.rank)
	}
}

// unparkAvailable unparks the calls whose adapter a ready engine now has.
func (keeper *Keeper) unparkAvailable() {
	for _, adapter := range keeper.adapters {
		if adapter.waiting.Len() > 0 && keeper.adapterAvailable(adapter.name) {
			keeper.unpark(adapter)
		}
	}
}

// unparkAll moves all parked calls to the pool's queue.
func (keeper *Keeper) unparkAll() {
	for _, adapter := range keeper.adapters {
		keeper.unpark(adapter)
	}
}

// refuseAdapterTimeout refuses a call that has waited for its adapter for the
// tier's wait bound.
func (keeper *Keeper) refuseAdapterTimeout(call *waitingCall) {
	after := retryAfter(keeper.predictLoadWait(call.request.Adapter))
	keeper.refuseWaiting(call, resultcode.NoBackEnd, after, "no ready engine has adapter "+call.request.Adapter)
}

// adapterHasFreeSlot reports whether an engine with the adapter has a free
// slot.
func (keeper *Keeper) adapterHasFreeSlot(adapter string) bool {
	if adapter == "" {
		return true
	}
	return slices.ContainsFunc(keeper.engines, func(engine *engineState) bool {
		return engine.hasAdapter(adapter) && keeper.freeSlots(engine) > 0
	})
}

// markUnderReplicated marks the call's adapter as under-replicated if the call
// has waited longer than AdapterWaitTimeout.
func (keeper *Keeper) markUnderReplicated(call *waitingCall) {
	if keeper.now-call.queuedAt > keeper.config.AdapterWaitTimeout {
		keeper.ensureAdapter(&call.request).underReplicated = true
	}
}
