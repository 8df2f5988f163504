package process

import (
	"slices"
	"sync"

	"github.com/magpielug/magpielug/internal/membership"
	"github.com/magpielug/magpielug/internal/outside"
)

// shardPlacement computes for a gateway which schedulers host a shard, by the
// same rule as the schedulers.
type shardPlacement struct {
	shards uint32

	mutex     sync.Mutex
	processes []membership.Process
	computed  *membership.Placement
}

// ShardOf returns the shard of a program, which is also that of its sub-agents.
func (placement *shardPlacement) ShardOf(program string) uint32 {
	return membership.ShardOf(program, placement.shards)
}

// Order returns the addresses of all schedulers, those in the shard's replica
// group first. The others follow because any scheduler may know the leader.
func (placement *shardPlacement) Order(shard uint32, schedulers []outside.Machine) []string {
	addresses := make(map[string]string, len(schedulers))
	var processes []membership.Process
	for _, machine := range schedulers {
		addresses[machine.ID] = machine.Address
		if machine.State == outside.MachineLive {
			processes = append(processes, membership.Process{ID: machine.ID, Region: machine.Region, Zone: machine.Zone})
		}
	}
	placement.mutex.Lock()
	defer placement.mutex.Unlock()
	if !slices.Equal(processes, placement.processes) || placement.computed == nil {
		placement.processes = processes
		placement.computed = membership.NewPlacement(membership.CopysetCount(len(processes)), processes, nil)
	}
	var order []string
	for _, process := range placement.computed.GroupOf(shard) {
		order = append(order, addresses[process.ID])
		delete(addresses, process.ID)
	}
	for _, machine := range schedulers {
		if address, remaining := addresses[machine.ID]; remaining {
			order = append(order, address)
		}
	}
	return order
}
