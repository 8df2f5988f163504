package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	testLoadTime   = 500 * time.Millisecond
	testCallBlocks = 4
)

// testEngine is what an engine of a testCluster holds beside its generations.
type testEngine struct {
	cluster  *testCluster
	name     string
	fence    uint64
	adapters []string
	loading  bool
	leaving  bool
	role     string
	// held counts the blocks of each program.
	held map[string]int
	// loads counts the orders to load that were taken, stale the orders and new
	// calls refused for their fence.
	loads    int
	stale    int
	loadTime time.Duration
	// loseOrders has orders to release get lost, and refuseLoads orders to load
	// refused.
	loseOrders  bool
	refuseLoads bool
	lastCall    time.Duration
}

func newTestEngine(cluster *testCluster, name string) *testEngine {
	return &testEngine{cluster: cluster, name: name, held: make(map[string]int), loadTime: testLoadTime}
}

// restart forgets everything.
func (engine *testEngine) restart() {
	engine.fence = 0
	engine.adapters = nil
	engine.loading = false
	clear(engine.held)
}

func (engine *testEngine) report() outside.LoadReport {
	used := 0
	for _, blocks := range engine.held {
		used += blocks
	}
	return outside.LoadReport{
		Engine: engine.name, Model: testModel, Version: "1", RunningLimit: 8, BlocksTotal: 4096, BlocksUsed: used,
		BlockTokens: 16, StepDuration: 3 * time.Millisecond, ProgramBlocks: maps.Clone(engine.held),
		Adapters: slices.Clone(engine.adapters), Loading: engine.loading, Leaving: engine.leaving, Role: engine.role, FenceEpoch: engine.fence,
	}
}

// obeys tells whether an order under the fence is taken, and remembers it.
func (engine *testEngine) obeys(fence outside.Fence) bool {
	if fence.Epoch < engine.fence {
		engine.stale++
		return false
	}
	engine.fence = fence.Epoch
	return true
}

// admit tells why a new call is refused, empty where it is not.
func (engine *testEngine) admit(request outside.GenerateRequest) string {
	if !engine.obeys(request.Fence) {
		return "stale fence"
	}
	if request.Adapter != "" && !slices.Contains(engine.adapters, request.Adapter) {
		return "the adapter is not loaded"
	}
	engine.held[request.Program] += testCallBlocks
	engine.lastCall = engine.cluster.now
	return ""
}

func (engine *testEngine) release(order ReleaseCache) {
	if !engine.loseOrders && engine.obeys(order.Fence) {
		delete(engine.held, order.Program)
	}
}

func (engine *testEngine) setRole(order SetRole) {
	if engine.obeys(order.Fence) {
		engine.role = order.Role
	}
}

func (engine *testEngine) load(from *testNode, order LoadAdapter) {
	if engine.refuseLoads || !engine.obeys(order.Fence) {
		from.step(LoadRefused{Engine: order.Engine, Adapter: order.Adapter})
		return
	}
	engine.loads++
	engine.loading = true
	engine.cluster.after(engine.loadTime, func() {
		if engine.loading {
			engine.loading = false
			engine.adapters = append(engine.adapters, order.Adapter)
		}
	})
}

// holders lists the engines that hold blocks of a program.
func (cluster *testCluster) holders(program string) []string {
	var found []string
	for _, name := range sortedKeys(cluster.engines) {
		if cluster.engines[name].held[program] > 0 {
			found = append(found, name)
		}
	}
	return found
}
