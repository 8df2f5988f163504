package scheduler

import (
	"slices"

	"github.com/magpielug/magpielug/internal/membership"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/shard"
)

// layout is what follows from the machine list alone: where shards belong and
// how engines form pools. It is worked out once for each new list.
type layout struct {
	placement *membership.Placement
	pools     []membership.Pool
	// engines are the machines of each pool, by the pool's name.
	engines map[string][]outside.Machine
}

// newLayout works the layout out.
func newLayout(directory *directory) *layout {
	processes := liveProcesses(directory)
	made := &layout{
		placement: membership.NewPlacement(membership.CopysetCount(len(processes)), processes, nil),
		engines:   make(map[string][]outside.Machine),
	}
	var engines []membership.Engine
	for _, machine := range sorted(directory.engines) {
		engines = append(engines, membership.Engine{ID: machine.ID, Model: machine.Service, Region: machine.Region})
	}
	made.pools = membership.AssignPools(engines)
	for _, pool := range made.pools {
		for _, engine := range pool.Engines {
			made.engines[pool.Name] = append(made.engines[pool.Name], directory.engines[engine])
		}
	}
	return made
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

// members lists the processes that should hold the shard, best first.
func (layout *layout) members(number uint32) []string {
	var members []string
	for _, process := range layout.placement.GroupOf(number) {
		members = append(members, process.ID)
	}
	return members
}

// poolsFor lists the pools that a program's calls of a model may go to, the
// preferred one first.
func (core *Core) poolsFor(model, programID string) []string {
	return membership.PoolsFor(core.layout.pools, model, core.config.Region, programID)
}

// poolOfEngine names the pool that an engine belongs to, empty where it is not
// listed any more.
func (core *Core) poolOfEngine(engine string) string {
	for _, pool := range core.layout.pools {
		if slices.Contains(pool.Engines, engine) {
			return pool.Name
		}
	}
	return ""
}

// poolsUsed names the pools that may hold cache of the program.
func (core *Core) poolsUsed(program *shard.Program) []string {
	var used []string
	for _, model := range program.Models() {
		used = append(used, core.poolsFor(model, program.ID())...)
	}
	slices.Sort(used)
	return slices.Compact(used)
}

// shardOf returns the shard of a program and its whole family.
func (core *Core) shardOf(programID string) uint32 {
	return membership.ShardOf(programID, core.config.Shards)
}

// shardOfPool returns the shard whose leader keeps the pool.
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

// leaderProcess names another process to ask for what a shard's leader does:
// the leader where it is known, else a member that should know it.
func (core *Core) leaderProcess(shardNumber uint32) string {
	process := core.directory.leaders[shardNumber]
	if process == "" || process == core.config.Process {
		return core.otherHomeMember(shardNumber)
	}
	return process
}

// leadingHost returns the host of the program's shard if this process may
// answer for it now.
func (core *Core) leadingHost(programID string) *host {
	host := core.hosts[core.shardOf(programID)]
	if host == nil || !host.leads() {
		return nil
	}
	return host
}
