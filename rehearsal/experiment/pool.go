package experiment

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/magpielug/magpielug/internal/keeper"
)

// pool is one keeper with its engines and the calls it knows.
type pool struct {
	simulation *simulation
	zone       string
	keeper     *keeper.Keeper
	engines    map[string]*engine
	calls      map[keeper.CallKey]*call
	// programs counts the programs bound to the pool.
	programs int
	// capacity is the number of engines.
	capacity int
}

// makePools splits the engines over keepers as the policy says.
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
			simulation: simulation,
			zone:       members[0].zone,
			keeper:     keeper.New(simulation.config.keeperConfig(), policies),
			engines:    map[string]*engine{},
			calls:      map[keeper.CallKey]*call{},
			capacity:   len(members),
		}
		for _, engine := range members {
			engine.pool = pool
			pool.engines[engine.name] = engine
		}
		simulation.pools = append(simulation.pools, pool)
	}
	return nil
}

// choosePool binds a program that arrives to a pool.
func (simulation *simulation) choosePool(program string) *pool {
	if simulation.config.Policy.KeeperBinding == bindingHash {
		return simulation.pools[xxhash.Sum64String(program)%uint64(len(simulation.pools))]
	}
	return simulation.emptiestPool()
}

// emptiestPool returns the pool with the fewest programs an engine.
func (simulation *simulation) emptiestPool() *pool {
	chosen := simulation.pools[0]
	for _, candidate := range simulation.pools[1:] {
		if candidate.programs*chosen.capacity < chosen.programs*candidate.capacity {
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

// offer queues a call.
func (pool *pool) offer(call *call) {
	pool.calls[call.key] = call
	pool.handle(keeper.CallQueued{Request: call.program.keeperRequest(call)})
}

// forget drops a call that is over.
func (pool *pool) forget(call *call) {
	delete(pool.calls, call.key)
}

// granted lists the calls that have an engine, in the order of their keys.
func (pool *pool) granted() []*call {
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

// handle steps the keeper and carries its effects out.
func (pool *pool) handle(event keeper.Event) {
	for _, effect := range pool.keeper.Step(pool.simulation.now, event) {
		pool.apply(effect)
	}
}

func (pool *pool) apply(effect keeper.Effect) {
	switch order := effect.(type) {
	case keeper.Grant:
		if call, found := pool.calls[order.Request.Call]; found {
			call.granted(order, pool.engines[order.Engine])
		}
	case keeper.Refuse:
		pool.refuse(order)
	case keeper.Preempt:
		pool.preempt(order)
	case keeper.ReleaseCache:
		pool.release(order.Engine, order.Program)
	case keeper.ExportCache:
		// Exported blocks are freed; nothing takes them in again here, so an
		// export costs a recomputation.
		pool.release(order.Engine, order.Program)
	}
}

func (pool *pool) refuse(order keeper.Refuse) {
	call, found := pool.calls[order.Request.Call]
	if !found {
		return
	}
	pool.forget(call)
	run := call.program
	pool.simulation.after(run.toKeeper(), func() { run.refused(order.RetryAfter) })
}

// preempt cancels a running call by way of its leader, which offers it again.
func (pool *pool) preempt(order keeper.Preempt) {
	call, found := pool.calls[order.Request.Call]
	if !found || call.engine == nil {
		return
	}
	run := call.program
	delay := run.toKeeper() + pool.simulation.delay(run.program.Zone, call.engine.zone)
	pool.simulation.after(delay, func() {
		if _, running := pool.calls[call.key]; !running || call.engine.lost {
			return
		}
		call.engine.cancel(call)
		pool.forget(call)
		run.tell(keeper.CallFinished{Call: call.key, Failed: true})
		run.offer()
	})
}

// release frees a program's cache on an engine.
func (pool *pool) release(engineName, program string) {
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

// keeperConfig is the configuration of a keeper in a run: the defaults.
func (config runConfig) keeperConfig() keeper.Config {
	return keeper.Config{}
}
