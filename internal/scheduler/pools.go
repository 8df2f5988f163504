package scheduler

import (
	"math"
	"strings"

	"github.com/magpielug/magpielug/internal/membership"
	"github.com/magpielug/magpielug/internal/platform"
	"github.com/magpielug/magpielug/internal/shard"
)

// poolSeparator stands between model and region in a pool's name.
const poolSeparator = "@"

// enginePools sorts the listed engines into pools.
func (core *Core) enginePools() map[string][]platform.Machine {
	pools := make(map[string][]platform.Machine)
	for _, engine := range sorted(core.directory.engines) {
		name := engine.Service + poolSeparator + engine.Region
		pools[name] = append(pools[name], engine)
	}
	return pools
}

// poolOf names the pool that a model's calls go to: the one in this region
// where there is one. It is empty where no engine serves the model.
func (core *Core) poolOf(model string) string {
	found := ""
	for name := range core.enginePools() {
		served, region, _ := strings.Cut(name, poolSeparator)
		if served != model {
			continue
		}
		if region == core.config.Region {
			return name
		}
		if found == "" || name < found {
			found = name
		}
	}
	return found
}

// poolsUsed names the pools that may hold cache of the program.
func (core *Core) poolsUsed(program *shard.Program) []string {
	used := make(map[string]bool)
	for _, model := range program.Models() {
		if name := core.poolOf(model); name != "" {
			used[name] = true
		}
	}
	return sortedKeys(used)
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

// pickTool returns the live back end of a tool service on which this process
// has the fewest calls under way.
func (core *Core) pickTool(service string) (platform.Machine, bool) {
	busy := core.toolLoad()
	fewest := math.MaxInt
	var picked platform.Machine
	for _, machine := range core.directory.toolsOf(service) {
		if core.configuration != nil && core.configuration.Drained(machine.ID) {
			continue
		}
		if busy[machine.ID] < fewest {
			fewest = busy[machine.ID]
			picked = machine
		}
	}
	return picked, fewest < math.MaxInt
}

// toolLoad counts this process's tool calls under way by back end.
func (core *Core) toolLoad() map[string]int {
	busy := make(map[string]int)
	for _, host := range core.hosts {
		for _, live := range host.calls {
			if live.isTool() && live.call.Intent() != nil {
				busy[live.call.Intent().BackEnd]++
			}
		}
	}
	return busy
}
