package scheduler

import (
	"slices"

	"github.com/magpielug/magpielug/internal/membership"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/shard"
)

// layout is derived from the machine list: the placement of shards and the assignment of engines
// to pools. It is computed once per list.
type layout struct {
	placement *membership.Placement
	pools     []membership.Pool
	// engines holds each pool's machines by pool name.
	engines map[string][]outside.Machine
}

func newLayout(directory *directory) *layout {
	processes := liveProcesses(directory)
	created := &layout{
		placement: membership.NewPlacement(membership.CopysetCount(len(processes)), processes, nil),
		engines:   make(map[string][]outside.Machine),
	}
	var engines []membership.Engine
	for _, machine := range sorted(directory.engines) {
		engines = append(engines, membership.Engine{ID: machine.ID, Model: machine.Service, Region: machine.Region})
	}
	created.pools = membership.AssignPools(engines)
	for _, pool := range created.pools {
		for _, engine := range pool.Engines {
			created.engines[pool.Name] = append(created.engines[pool.Name], directory.engines[engine])
		}
	}
	return created
}

func liveProcesses(directory *directory) []membership.Process {
	var processes []membership.Process
	for _, machine := range sorted(directory.schedulers) {
		if machine.State == outside.MachineLive {
			processes = append(processes, membership.Process{ID: machine.ID, Region: machine.Region, Zone: machine.Zone})
		}
	}
	return processes
}

// members lists the processes that should host the shard, in order of preference.
func (layout *layout) members(number uint32) []string {
	var members []string
	for _, process := range layout.placement.GroupOf(number) {
		members = append(members, process.ID)
	}
	return members
}

// poolsFor lists the pools that a program's calls to a model may use, in order of preference.
func (core *Core) poolsFor(model, programID string) []string {
	return membership.PoolsByPreference(core.layout.pools, model, core.config.Region, programID)
}

// poolOfEngine returns the pool of an engine, or "" if the engine is no longer listed.
func (core *Core) poolOfEngine(engine string) string {
	for _, pool := range core.layout.pools {
		if slices.Contains(pool.Engines, engine) {
			return pool.Name
		}
	}
	return ""
}

// poolsUsed lists the pools that may hold cache of the program.
func (core *Core) poolsUsed(program *shard.Program) []string {
	var used []string
	for _, model := range program.Models() {
		used = append(used, core.poolsFor(model, program.ID())...)
	}
	slices.Sort(used)
	return slices.Compact(used)
}

// shardOf returns the shard of a program and its sub-agents.
func (core *Core) shardOf(programID string) uint32 {
	return membership.ShardOf(programID, core.config.Shards)
}

// shardOfPool returns the shard whose leader runs the pool's keeper.
func (core *Core) shardOfPool(name string) uint32 {
	return membership.ShardOf(poolPrefix+name, core.config.Shards)
}

// shardOfAccount returns the shard that holds a tier's account.
func (core *Core) shardOfAccount(key shard.TierKey) uint32 {
	return membership.ShardOf(accountPrefix+key.Tenant+"/"+key.Tier, core.config.Shards)
}

const (
	poolPrefix    = "pool/"
	accountPrefix = "account/"
)

// leaderProcess returns the process to send requests for a shard's leader to: the last known
// leader, or another member if that is unknown.
func (core *Core) leaderProcess(shardNumber uint32) string {
	process := core.directory.leaders[shardNumber]
	if process == "" || process == core.config.Process {
		return core.otherAssignedMember(shardNumber)
	}
	return process
}

// leadingHost returns the host of the program's shard if this process leads it, otherwise nil.
func (core *Core) leadingHost(programID string) *host {
	host := core.hosts[core.shardOf(programID)]
	if host == nil || !host.leads() {
		return nil
	}
	return host
}
