package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// adapterState is one adapter that calls wait for or have waited for lately.
type adapterState struct {
	name  string
	model string
	// waiting are the calls that no ready engine can take, since none has the
	// adapter. They stand outside the pool's queue, so that they hold up nothing.
	waiting *queue.Queue[*waitingCall]
	// since is when the first of them came.
	since time.Duration
	// scarce is true when, in this step, a call has waited long for the engines
	// that have the adapter while another has a free slot.
	scarce bool
	// orderedAt is when a load was last ordered, so that adapters take turns.
	orderedAt time.Duration
	// failedAt tells when a load last failed, by engine.
	failedAt map[string]time.Duration
}

// findAdapter returns the adapter's place in the sorted list.
func (keeper *Keeper) findAdapter(name string) (int, bool) {
	return slices.BinarySearchFunc(keeper.adapters, name, func(adapter *adapterState, name string) int {
		return cmp.Compare(adapter.name, name)
	})
}

// ensureAdapter returns the adapter that a request names.
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

// forgetAdapters drops adapters that nothing waits for and no load of which has
// failed lately.
func (keeper *Keeper) forgetAdapters() {
	keeper.adapters = slices.DeleteFunc(keeper.adapters, func(adapter *adapterState) bool {
		for engine, failedAt := range adapter.failedAt {
			if keeper.now-failedAt > keeper.config.LoadRetry {
				delete(adapter.failedAt, engine)
			}
		}
		return adapter.waiting.Len() == 0 && len(adapter.failedAt) == 0
	})
}

// has tells whether the engine has the adapter loaded; each has the empty one.
func (engine *engineState) has(adapter string) bool {
	return adapter == "" || slices.Contains(engine.adapters, adapter)
}

// served tells whether a ready engine has the adapter.
func (keeper *Keeper) served(adapter string) bool {
	if adapter == "" {
		return true
	}
	return slices.ContainsFunc(keeper.engines, func(engine *engineState) bool {
		return engine.ready() && engine.has(adapter)
	})
}

// takeServed takes the next waiting call whose adapter a ready engine has, and
// parks those before it.
func (keeper *Keeper) takeServed() *queue.Item[*waitingCall] {
	for {
		item := keeper.pool.Pop()
		if item == nil || keeper.served(item.Value.request.Adapter) {
			return item
		}
		keeper.park(item.Value)
	}
}

// park puts a call that stands in no queue to those that wait for its adapter.
func (keeper *Keeper) park(call *waitingCall) {
	adapter := keeper.ensureAdapter(&call.request)
	if adapter.waiting.Len() == 0 {
		adapter.since = keeper.now
	}
	call.adapter = adapter
	call.item = adapter.waiting.Push(call, call.rank)
	keeper.decide(call.request.Call, "wait", "no ready engine has adapter "+adapter.name)
	if bound := keeper.waitBound(&call.request); bound > 0 {
		call.patience = &timer{call: call, position: notSet}
		keeper.timers.set(call.patience, call.queuedAt+bound)
	}
}

// unpark moves the calls that wait for an adapter to the pool's queue, where
// their ranks give them their place.
func (keeper *Keeper) unpark(adapter *adapterState) {
	for adapter.waiting.Len() > 0 {
		call := adapter.waiting.Pop().Value
		keeper.timers.stop(call.patience)
		call.adapter = nil
		call.patience = nil
		call.item = keeper.pool.Push(call, call.rank)
	}
}

// unparkServed moves calls on whose adapter a ready engine has by now.
func (keeper *Keeper) unparkServed() {
	for _, adapter := range keeper.adapters {
		if adapter.waiting.Len() > 0 && keeper.served(adapter.name) {
			keeper.unpark(adapter)
		}
	}
}

// unparkAll moves all calls to the pool's queue.
func (keeper *Keeper) unparkAll() {
	for _, adapter := range keeper.adapters {
		keeper.unpark(adapter)
	}
}

// refuseUnserved refuses a call that has waited for its adapter as long as its
// tier allows.
func (keeper *Keeper) refuseUnserved(call *waitingCall) {
	after := retryAfter(keeper.predictLoad(call.request.Adapter))
	keeper.refuseWaiting(call, resultcode.NoBackEnd, after, "no ready engine has adapter "+call.request.Adapter)
}

// adapterHasSlot tells whether an engine with the adapter has a free slot.
func (keeper *Keeper) adapterHasSlot(adapter string) bool {
	if adapter == "" {
		return true
	}
	return slices.ContainsFunc(keeper.engines, func(engine *engineState) bool {
		return engine.has(adapter) && keeper.freeSlots(engine) > 0
	})
}

// noteScarce marks the adapter of a call as scarce, if the call has waited long
// for the engines that have it while another has a free slot.
func (keeper *Keeper) noteScarce(call *waitingCall) {
	if keeper.now-call.queuedAt > keeper.config.AdapterPatience {
		keeper.ensureAdapter(&call.request).scarce = true
	}
}
