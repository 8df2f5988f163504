package experiment

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/magpielug/magpielug/internal/keeper"
)

// pool is a keeper with its engines and its queued and running calls.
type pool struct {
	simulation *simulation
	zone       string
	keeper     *keeper.Keeper
	engines    map[string]*engine
	calls      map[keeper.CallKey]*call
	// programs is the number of programs bound to the pool.
	programs    int
	engineCount int
}

// makePools distributes the engines over keepers according to the policy.
func (simulation *simulation) makePools() error {
	size := simulation.config.Policy.EnginesPerKeeper
	if size == 0 {
		size = len(simulation.engines)
	}
	for first := 0; first < len(simulation.engines); first += size {
		members := simulation.engines[first:min(first+size, len(simulation.engines))]
		policies, err := simulation.config.Policy.policies()
		if err != nil {
			return err
		}
		pool := &pool{
			simulation:  simulation,
			zone:        members[0].zone,
			keeper:      keeper.New(simulation.config.keeperConfig(), policies),
			engines:     map[string]*engine{},
			calls:       map[keeper.CallKey]*call{},
			engineCount: len(members),
		}
		for _, engine := range members {
			engine.pool = pool
			pool.engines[engine.name] = engine
		}
		simulation.pools = append(simulation.pools, pool)
	}
	return nil
}

// assignPool returns the pool for an arriving program.
func (simulation *simulation) assignPool(program string) *pool {
	if simulation.config.Policy.KeeperBinding == bindingHash {
		return simulation.pools[xxhash.Sum64String(program)%uint64(len(simulation.pools))]
	}
	return simulation.leastLoadedPool()
}

// leastLoadedPool returns the pool with the fewest programs per engine.
func (simulation *simulation) leastLoadedPool() *pool {
	chosen := simulation.pools[0]
	for _, candidate := range simulation.pools[1:] {
		if candidate.programs*chosen.engineCount < chosen.programs*candidate.engineCount {
			chosen = candidate
		}
	}
	return chosen
}

func (simulation *simulation) scheduleTicks() {
	for _, pool := range simulation.pools {
		simulation.after(tickInterval, pool.tick)
	}
}

func (pool *pool) tick() {
	pool.handle(keeper.Tick{})
	pool.simulation.after(tickInterval, pool.tick)
}

// enqueue adds a call to the keeper's queue.
func (pool *pool) enqueue(call *call) {
	pool.calls[call.key] = call
	pool.handle(keeper.CallQueued{Request: call.program.keeperRequest(call)})
}

// remove removes a call that has ended.
func (pool *pool) remove(call *call) {
	delete(pool.calls, call.key)
}

// dispatchedCalls returns the calls that have an engine, ordered by request ID.
func (pool *pool) dispatchedCalls() []*call {
	var granted []*call
	for _, call := range pool.calls {
		if call.engine != nil {
			granted = append(granted, call)
		}
	}
	sort.Slice(granted, func(left, right int) bool {
		return granted[left].request.ID < granted[right].request.ID
	})
	return granted
}

// handle passes an event to the keeper and applies the resulting effects.
func (pool *pool) handle(event keeper.Event) {
	for _, effect := range pool.keeper.Step(pool.simulation.now, event) {
		pool.applyEffect(effect)
	}
}

func (pool *pool) applyEffect(effect keeper.Effect) {
	switch effect := effect.(type) {
	case keeper.Grant:
		if call, found := pool.calls[effect.Request.Call]; found {
			call.dispatch(effect, pool.engines[effect.Engine])
		}
	case keeper.Refuse:
		pool.refuse(effect)
	case keeper.Preempt:
		pool.preempt(effect)
	case keeper.ReleaseCache:
		pool.releaseCache(effect.Engine, effect.Program)
	case keeper.ExportCache:
		// Exported blocks are freed and never imported, so they have to be
		// computed again.
		pool.releaseCache(effect.Engine, effect.Program)
	}
}

func (pool *pool) refuse(effect keeper.Refuse) {
	call, found := pool.calls[effect.Request.Call]
	if !found {
		return
	}
	pool.remove(call)
	run := call.program
	pool.simulation.after(run.keeperDelay(), func() { run.onRefused(effect.RetryAfter) })
}

// preempt cancels a running call through its leader, which submits it again.
func (pool *pool) preempt(effect keeper.Preempt) {
	call, found := pool.calls[effect.Request.Call]
	if !found || call.engine == nil {
		return
	}
	run := call.program
	delay := run.keeperDelay() + pool.simulation.delay(run.program.Zone, call.engine.zone)
	pool.simulation.after(delay, func() {
		if _, running := pool.calls[call.key]; !running || call.engine.lost {
			return
		}
		call.engine.cancel(call)
		pool.remove(call)
		run.notifyKeeper(keeper.CallFinished{Call: call.key, Failed: true})
		run.submitCall()
	})
}

// releaseCache frees the program's idle cache blocks on an engine.
func (pool *pool) releaseCache(engineName, program string) {
	engine := pool.engines[engineName]
	delay := pool.simulation.delay(pool.zone, engine.zone)
	pool.simulation.after(delay, func() {
		if engine.lost {
			return
		}
		engine.model.Release(pool.simulation.now, program)
		engine.publishCacheEvent(program, 0)
	})
}

// keeperConfig returns the default keeper configuration.
func (config runConfig) keeperConfig() keeper.Config {
	return keeper.Config{}
}
