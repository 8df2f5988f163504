package scheduler

import (
	"google.golang.org/protobuf/proto"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/shard"
)

// maximumArchiveBytes bounds the entries in one archive record.
const maximumArchiveBytes = 1 << 20

// newCallShare is the fraction of a shard's backlog limit that new calls may fill. The remainder
// is reserved for the entries that open calls need to complete during a log outage.
const newCallShare = 0.75

// backlogFull reports whether the unarchived backlog is too large to accept new calls.
func (host *host) backlogFull() bool {
	core := host.core
	bound := float64(core.config.Replication.MaxBacklogBytes) * newCallShare
	if float64(host.replica.BacklogBytes()) >= bound {
		return true
	}
	if core.config.BacklogBytes == 0 {
		return false
	}
	total := 0
	for _, other := range core.hosts {
		total += other.replica.BacklogBytes()
	}
	return total >= core.config.BacklogBytes
}

// archiveEntries appends committed but unarchived entries to the shard's stream, one append at a
// time. An append that fails or is not acknowledged is repeated; readers skip duplicates.
func (core *Core) archiveEntries(host *host, assignment *assignment) {
	if assignment.appending {
		return
	}
	entries := host.replica.CommittedEntries(host.replica.ArchivedIndex(), maximumArchiveBytes)
	if len(entries) == 0 {
		return
	}
	data, err := replication.EncodeEntries(host.number, host.epoch.Generation(), entries)
	if err != nil {
		core.log("archive_unencodable", host.number, "", "", err.Error())
		return
	}
	assignment.appending = true
	assignment.appendingBytes = len(data)
	core.emit(AppendStream{Shard: host.number, Data: data, UpTo: entries[len(entries)-1].Index})
}

func (core *Core) streamAppended(event StreamAppended) {
	assignment := core.assignments[event.Shard]
	if assignment == nil {
		return
	}
	assignment.appending = false
	if event.UpTo == 0 || assignment.rebuild != nil {
		// For a claim or a tail, the result is read back from the stream.
		assignment.atEnd = false
		return
	}
	host := core.hosts[event.Shard]
	if host != nil && event.Acknowledged && host.leads() {
		assignment.archivedBytes += assignment.appendingBytes
		assignment.logSlow = false
		host.replica.SetArchived(event.UpTo)
		host.markDirty()
		host.sendArchivedIntents(assignment)
	}
}

// applyArchived applies an archived entry to a state that no replica updates yet.
func applyArchived(state *shard.State, entry replication.Entry) {
	if entry.Kind != replication.KindCommand {
		return
	}
	change := &shardv1.Entry{}
	if proto.Unmarshal(entry.Data, change) == nil {
		state.Apply(change)
	}
}
