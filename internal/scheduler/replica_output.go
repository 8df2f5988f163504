package scheduler

import (
	"slices"

	"github.com/magpielug/magpielug/internal/replication"
)

// markDirty records that the replica may have output. It is called after every change of a
// replica. The tick marks all replicas, so that a missing call only causes a delay.
func (host *host) markDirty() {
	if host.dirty {
		return
	}
	host.dirty = true
	host.core.dirty = append(host.core.dirty, host)
}

// processDirtyReplicas processes the output of all dirty replicas in order of their shards.
// Applying an entry may propose others, so it repeats until none is dirty.
func (core *Core) processDirtyReplicas() {
	for len(core.dirty) > 0 {
		batch := core.dirty
		core.dirty = core.dirtySpare[:0]
		slices.SortFunc(batch, func(left, right *host) int { return int(left.number) - int(right.number) })
		for _, host := range batch {
			host.dirty = false
			if core.hosts[host.number] == host {
				host.processOutput()
			}
		}
		clear(batch)
		core.dirtySpare = batch
	}
}

func (host *host) processOutput() {
	output := host.replica.Ready(host.core.now)
	for _, envelope := range output.Messages {
		host.core.batcher.Add(envelope)
	}
	host.restore(output.Restore)
	if output.RoleChanged {
		host.roleChanged()
	}
	for _, entry := range output.Committed {
		host.apply(entry)
	}
	if output.SnapshotNeeded {
		host.provideSnapshot()
	}
	if host.replica.Role() == replication.RoleRetired {
		host.core.dropHost(host)
	}
}
