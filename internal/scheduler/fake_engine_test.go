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

// testEngine simulates the state of an engine, except for its generations.
type testEngine struct {
	cluster  *testCluster
	name     string
	fence    uint64
	adapters []string
	loading  bool
	leaving  bool
	role     string
	// heldBlocks counts the cache blocks of each program.
	heldBlocks map[string]int
	// loads counts the accepted load commands, staleCommands the commands and calls rejected for
	// a stale fence.
	loads         int
	staleCommands int
	loadTime      time.Duration
	// loseReleases drops release commands, refuseLoads rejects load commands.
	loseReleases bool
	refuseLoads  bool
	lastCall     time.Duration
}

func newTestEngine(cluster *testCluster, name string) *testEngine {
	return &testEngine{cluster: cluster, name: name, heldBlocks: make(map[string]int), loadTime: testLoadTime}
}

// restart clears the engine's state.
func (engine *testEngine) restart() {
	engine.fence = 0
	engine.adapters = nil
	engine.loading = false
	clear(engine.heldBlocks)
}

func (engine *testEngine) report() outside.LoadReport {
	used := 0
	for _, blocks := range engine.heldBlocks {
		used += blocks
	}
	return outside.LoadReport{
		Engine: engine.name, Model: testModel, Version: "1", RunningLimit: 8, BlocksTotal: 4096, BlocksUsed: used,
		BlockTokens: 16, StepDuration: 3 * time.Millisecond, ProgramBlocks: maps.Clone(engine.heldBlocks),
		Adapters: slices.Clone(engine.adapters), Loading: engine.loading, Leaving: engine.leaving, Role: engine.role, FenceEpoch: engine.fence,
	}
}

// acceptsFence reports whether a command with this fence is accepted, and records the fence if
// so.
func (engine *testEngine) acceptsFence(fence outside.Fence) bool {
	if fence.Epoch < engine.fence {
		engine.staleCommands++
		return false
	}
	engine.fence = fence.Epoch
	return true
}

// admit returns the reason to refuse a new call, or "" if it is admitted.
func (engine *testEngine) admit(request outside.GenerateRequest) string {
	if !engine.acceptsFence(request.Fence) {
		return "stale fence"
	}
	if request.Adapter != "" && !slices.Contains(engine.adapters, request.Adapter) {
		return "the adapter is not loaded"
	}
	engine.heldBlocks[request.Program] += testCallBlocks
	engine.lastCall = engine.cluster.now
	return ""
}

func (engine *testEngine) release(command ReleaseCache) {
	if !engine.loseReleases && engine.acceptsFence(command.Fence) {
		delete(engine.heldBlocks, command.Program)
	}
}

func (engine *testEngine) setRole(command SetRole) {
	if engine.acceptsFence(command.Fence) {
		engine.role = command.Role
	}
}

func (engine *testEngine) load(from *testNode, command LoadAdapter) {
	if engine.refuseLoads || !engine.acceptsFence(command.Fence) {
		from.step(LoadRefused{Engine: command.Engine, Adapter: command.Adapter})
		return
	}
	engine.loads++
	engine.loading = true
	engine.cluster.after(engine.loadTime, func() {
		if engine.loading {
			engine.loading = false
			engine.adapters = append(engine.adapters, command.Adapter)
		}
	})
}

// holders lists the engines that hold blocks of a program.
func (cluster *testCluster) holders(program string) []string {
	var found []string
	for _, name := range sortedKeys(cluster.engines) {
		if cluster.engines[name].heldBlocks[program] > 0 {
			found = append(found, name)
		}
	}
	return found
}
