package scheduler

import (
	"google.golang.org/protobuf/proto"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/shard"
)

// maximumArchiveBytes bounds the entries of one archive record.
const maximumArchiveBytes = 1 << 20

// newCallShare is the part of a shard's backlog bound that new calls may fill.
// The rest is for the entries that calls under way still need: without it they
// could not end while the log is away.
const newCallShare = 0.75

// backlogFull tells whether so much waits for the log that no new call may be
// accepted.
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

// archiveEntries appends what is committed and not yet archived to the shard's
// stream, one append at a time. A record that was lost, or whose answer was
// lost, is appended again: readers pass over what they have.
func (core *Core) archiveEntries(host *host, home *home) {
	if home.appending {
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
	home.appending = true
	home.appendingBytes = len(data)
	core.emit(AppendStream{Shard: host.number, Data: data, UpTo: entries[len(entries)-1].Index})
}

func (core *Core) streamAppended(event StreamAppended) {
	home := core.homes[event.Shard]
	if home == nil {
		return
	}
	home.appending = false
	if event.UpTo == 0 || home.rebuild != nil {
		// A claim, or a tail: what stands in the stream decides.
		home.atEnd = false
		return
	}
	host := core.hosts[event.Shard]
	if host != nil && event.Stands && host.leads() {
		home.archivedBytes += home.appendingBytes
		home.logSlow = false
		host.replica.SetArchived(event.UpTo)
		host.touch()
		host.sendNowArchived(home)
	}
}

// applyArchived takes an entry of the stream into a state that no replica
// drives yet.
func applyArchived(state *shard.State, entry replication.Entry) {
	if entry.Kind != replication.KindCommand {
		return
	}
	change := &shardv1.Entry{}
	if proto.Unmarshal(entry.Data, change) == nil {
		state.Apply(change)
	}
}
