package process

import (
	"slices"
	"sync"

	"github.com/magpielug/magpielug/internal/membership"
	"github.com/magpielug/magpielug/internal/outside"
)

// memberPlacement tells a gateway where shards should be, by the same rule as
// the schedulers use.
type memberPlacement struct {
	shards uint32

	mutex     sync.Mutex
	processes []membership.Process
	chosen    *membership.Placement
}

// ShardOf returns the shard of a program and its sub-agents.
func (placement *memberPlacement) ShardOf(program string) uint32 {
	return membership.ShardOf(program, placement.shards)
}

// Order returns the addresses of the shard's home first, then those of the
// others: any scheduler may know the leader.
func (placement *memberPlacement) Order(shard uint32, schedulers []outside.Machine) []string {
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
	if !slices.Equal(processes, placement.processes) || placement.chosen == nil {
		placement.processes = processes
		placement.chosen = membership.NewPlacement(membership.CopysetCount(len(processes)), processes, nil)
	}
	var order []string
	for _, process := range placement.chosen.GroupOf(shard) {
		order = append(order, addresses[process.ID])
		delete(addresses, process.ID)
	}
	for _, machine := range schedulers {
		if address, left := addresses[machine.ID]; left {
			order = append(order, address)
		}
	}
	return order
}
