package scheduler

import (
	"slices"

	"github.com/magpielug/magpielug/internal/replication"
)

// touch notes that the replica may have output. Every change of a replica is
// followed by it. The tick touches all, so that one left out would only be late.
func (host *host) touch() {
	if host.touched {
		return
	}
	host.touched = true
	host.core.touched = append(host.core.touched, host)
}

// settleReplicas closes the step of every replica that may have output, in the
// order of the shards. Applying an entry may propose further ones, so it goes on
// until all are quiet.
func (core *Core) settleReplicas() {
	for len(core.touched) > 0 {
		round := core.touched
		core.touched = core.settled[:0]
		slices.SortFunc(round, func(left, right *host) int { return int(left.number) - int(right.number) })
		for _, host := range round {
			host.touched = false
			if core.hosts[host.number] == host {
				host.settle()
			}
		}
		clear(round)
		core.settled = round
	}
}

// settle carries out the replica's output.
func (host *host) settle() {
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
	if output.SnapshotWanted {
		host.provideSnapshot()
	}
	if host.replica.Role() == replication.RoleRetired {
		host.core.dropHost(host)
	}
}
