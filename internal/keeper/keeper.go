// Package keeper grants slots on a pool of engines. A pool holds the engines
// of one model that are near one another; one scheduler process at a time keeps
// it, under a fenced lease. The keeper is a pure state: Step takes the time and
// one event and returns effects. It has no clock, socket, lock or random source
// of its own, so the same code runs in the scheduler process and, on a virtual
// clock, in the experiment tool.
package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/placement"
	"github.com/magpielug/magpielug/internal/queue"
)

// Keeper is the control state of one pool. It is not safe for concurrent use:
// one goroutine owns it.
//
// Invariants: a call is in waiting or in running, never in both; an engine's
// calls are exactly the running calls granted on it; no decision depends on the
// iteration order of a map, so equal events give equal effects.
type Keeper struct {
	config   Config
	policies Policies

	now     time.Duration
	effects []Effect

	waiting map[CallKey]*waitingCall
	running map[CallKey]*runningCall
	// pool holds waiting calls not bound to an engine; with a placement that
	// binds on arrival the rest stand in their engine's queue. Those whose adapter
	// no ready engine has stand in the adapter's.
	pool *queue.Queue[*waitingCall]

	// engines and adapters are sorted by name.
	engines  []*engineState
	adapters []*adapterState
	drained  map[string]bool
	// lastReady is when an engine was last seen ready, at first the first step.
	lastReady time.Duration
	started   bool

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
	// slotTotal is the number of slots of the ready engines, as of the last
	// dispatch.
	slotTotal int
	aside     []*queue.Item[*waitingCall]
}

// New makes a keeper that knows no engines and no calls.
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
		decisions: newDecisionRing(config.DecisionMemory),
	}
}

// Step advances the keeper to now, which must not go back, by one event. The
// returned slice is reused: it is valid until the next Step.
func (keeper *Keeper) Step(now time.Duration, event Event) []Effect {
	if !keeper.started {
		keeper.started = true
		keeper.lastReady = now
		keeper.now = now
	}
	if gap := now - keeper.now; gap > frozenAfter {
		keeper.passOverFreeze(gap)
	}
	keeper.now = max(keeper.now, now)
	clear(keeper.effects)
	keeper.effects = keeper.effects[:0]
	keeper.followSilence()
	keeper.handle(event)
	keeper.runTimers()
	keeper.refuseWithoutEngine()
	keeper.unparkServed()
	keeper.dispatch()
	keeper.expireLoads()
	keeper.orderLoads()
	keeper.preempt()
	return keeper.effects
}

// handle applies one event to the state.
func (keeper *Keeper) handle(event Event) {
	switch event := event.(type) {
	case CallQueued:
		keeper.queueCall(event.Request)
	case CallCancelled:
		keeper.cancelCall(event.Call)
	case CallFinished:
		keeper.finishCall(event)
	case FirstToken:
		keeper.noteFirstToken(event.Call)
	case ProgramPaused:
		keeper.pauseProgram(event)
	case ProgramEnded:
		keeper.endProgram(event.Program, "program ended")
	case EngineReported:
		keeper.applyReport(event)
	case EngineCacheChanged:
		keeper.applyCacheEvent(event)
	case EngineLost:
		keeper.loseEngine(event.Engine)
	case EngineDraining:
		keeper.drainEngine(event.Engine)
	case EngineResumed:
		keeper.resumeEngine(event.Engine)
	case LoadFailed:
		keeper.loadFailed(event)
	case LeaderLost:
		keeper.loseLeader(event.Leader, event.Shard)
	case ProgramsLive:
		keeper.applyLivePrograms(event)
	case GrantsHeld:
		keeper.applyHeldGrants(event)
	case Tick:
		keeper.noteIdleBands()
		keeper.programs.forgetEnded(keeper.now - keeper.config.EndedMemory)
		keeper.forgetAdapters()
	}
}

// emit adds an effect to the step's result.
func (keeper *Keeper) emit(effect Effect) {
	keeper.effects = append(keeper.effects, effect)
}
