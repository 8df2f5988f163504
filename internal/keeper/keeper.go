// Package keeper grants slots on a pool of engines. A pool is a group of nearby
// engines that serve one model; one scheduler process at a time runs its
// keeper, under a fenced lease. A Keeper is a deterministic state machine: Step
// takes the time and one event and returns effects. It has no clock, I/O, locks
// or randomness, so the same code runs in the scheduler and in simulations on a
// virtual clock.
package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/placement"
	"github.com/magpielug/magpielug/internal/queue"
)

// Keeper is the control state of one pool. It is not safe for concurrent use.
//
// Invariants: a call is in waiting or in running, never in both; an engine's
// running list holds exactly the calls granted on it; no decision depends on map
// iteration order, so equal events give equal effects.
type Keeper struct {
	config   Config
	policies Policies

	now     time.Duration
	effects []Effect

	waiting map[CallKey]*waitingCall
	running map[CallKey]*runningCall
	// pool holds the waiting calls that are not bound to an engine. Bound calls
	// are in their engine's queue, and calls whose adapter no ready engine has
	// are in the adapter's queue.
	pool *queue.Queue[*waitingCall]

	// engines and adapters are sorted by name.
	engines  []*engineState
	adapters []*adapterState
	drained  map[string]bool
	// lastReadyAt is when an engine was last seen ready, initially the time of
	// the first step.
	lastReadyAt time.Duration
	started     bool

	programs  programTable
	kinds     kindTable
	tiers     tierTable
	timers    timerHeap
	estimates estimates
	decisions decisionRing

	// sequence counts grants.
	sequence uint64

	// Buffers reused between steps.
	candidates []placement.Candidate
	slots      []slotState
	// slotTotal is the number of slots on ready engines at the last dispatch.
	slotTotal int
	deferred  []*queue.Item[*waitingCall]
}

// New returns a keeper without engines or calls.
func New(config Config, policies Policies) *Keeper {
	config = config.withDefaults()
	return &Keeper{
		config:    config,
		policies:  policies,
		waiting:   make(map[CallKey]*waitingCall),
		running:   make(map[CallKey]*runningCall),
		pool:      queue.New[*waitingCall](config.ReservedShare),
		drained:   make(map[string]bool),
		programs:  newProgramTable(config.MaxPrograms),
		kinds:     newKindTable(),
		tiers:     newTierTable(),
		decisions: newDecisionRing(config.DecisionHistory),
	}
}

// Step applies one event at time now and returns the effects. Time never goes
// backwards: an earlier now is treated as the time of the last step. The
// returned slice is reused by the next Step.
func (keeper *Keeper) Step(now time.Duration, event Event) []Effect {
	if !keeper.started {
		keeper.started = true
		keeper.lastReadyAt = now
		keeper.now = now
	}
	if gap := now - keeper.now; gap > freezeThreshold {
		keeper.excludeFreeze(gap)
	}
	keeper.now = max(keeper.now, now)
	clear(keeper.effects)
	keeper.effects = keeper.effects[:0]
	keeper.detectSilentEngines()
	keeper.handle(event)
	keeper.runTimers()
	keeper.refuseIfNoEngine()
	keeper.unparkAvailable()
	keeper.dispatch()
	keeper.expireLoads()
	keeper.requestLoads()
	keeper.preempt()
	return keeper.effects
}

// handle applies one event.
func (keeper *Keeper) handle(event Event) {
	switch event := event.(type) {
	case CallQueued:
		keeper.queueCall(event.Request)
	case CallCancelled:
		keeper.cancelCall(event.Call)
	case CallFinished:
		keeper.finishCall(event)
	case FirstToken:
		keeper.recordFirstToken(event.Call)
	case ProgramPaused:
		keeper.pauseProgram(event)
	case ProgramEnded:
		keeper.endProgram(event.Program, "program ended")
	case EngineReported:
		keeper.applyReport(event)
	case EngineCacheChanged:
		keeper.applyCacheEvent(event)
	case EngineLost:
		keeper.removeEngine(event.Engine)
	case EngineDraining:
		keeper.drainEngine(event.Engine)
	case EngineResumed:
		keeper.resumeEngine(event.Engine)
	case LoadFailed:
		keeper.handleLoadFailed(event)
	case LeaderLost:
		keeper.removeLeader(event.Leader, event.Shard)
	case ProgramsLive:
		keeper.applyLivePrograms(event)
	case GrantsHeld:
		keeper.applyHeldGrants(event)
	case Tick:
		keeper.recordIdleBands()
		keeper.programs.removeEnded(keeper.now - keeper.config.EndedRetention)
		keeper.removeIdleAdapters()
	}
}

// emit adds an effect to the result of the step.
func (keeper *Keeper) emit(effect Effect) {
	keeper.effects = append(keeper.effects, effect)
}
