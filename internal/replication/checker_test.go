package replication_test

import (
	"bytes"
	"fmt"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/internal/replication"
)

// voteKey identifies one incarnation's vote in one epoch.
type voteKey struct {
	voter replication.Incarnation
	epoch replication.Epoch
}

// checker checks the invariants throughout a schedule and keeps the first violation.
type checker struct {
	failure          string
	leaders          map[replication.Epoch]replication.Incarnation
	votes            map[voteKey]replication.Incarnation
	entries          map[uint64]replication.Entry
	digests          map[uint64]uint64
	committedMembers []replication.Member
	lastIndex        uint64
	restarts         int
	elections        int
	changes          int
	snapshots        int
}

func newChecker() checker {
	return checker{
		leaders: map[replication.Epoch]replication.Incarnation{},
		votes:   map[voteKey]replication.Incarnation{},
		entries: map[uint64]replication.Entry{},
		digests: map[uint64]uint64{},
	}
}

func (c *checker) check(holds bool, format string, arguments ...any) {
	if !holds && c.failure == "" {
		c.failure = fmt.Sprintf(format, arguments...)
	}
}

// inspect checks that there is at most one leader per epoch and one lease at any time,
// and that the lease holder knows all committed entries.
func (c *checker) inspect(sim *simulation) {
	holder := ""
	for _, node := range sim.processes {
		if node.replica.Role() == replication.RoleLeader {
			c.inspectLeader(node)
		}
		if !node.replica.HoldsLease(node.clock(sim.now)) {
			continue
		}
		c.check(holder == "", "%s and %s both hold the lease at %s", holder, node.name, sim.now)
		holder = node.name
		c.check(node.replica.CommittedIndex() >= c.lastIndex,
			"lease holder %s has commit index %d, but %d is committed", node.name, node.replica.CommittedIndex(), c.lastIndex)
	}
}

func (c *checker) inspectLeader(node *process) {
	self := node.replica.Self().Incarnation
	epoch := node.replica.Epoch()
	other, known := c.leaders[epoch]
	c.check(!known || other == self, "%s and %s are both leader in epoch %s", other, self, epoch)
	if !known {
		c.leaders[epoch] = self
		c.elections++
	}
}

// inspectMessage checks that an incarnation votes for only one candidate per epoch,
// and that messages are sent by the process's current incarnation.
func (c *checker) inspectMessage(node *process, message *replicationv1.Message) {
	from := replication.Incarnation(message.GetFrom())
	c.check(from == node.replica.Self().Incarnation, "%s sent a message from incarnation %s, which is not its own", node.name, from)
	if request := message.GetVoteRequest(); request != nil && !request.GetPreVote() {
		c.inspectVote(from, replication.Epoch(request.GetCandidateEpoch()), from)
	}
	response := message.GetVoteResponse()
	if response != nil && response.GetGranted() && !response.GetPreVote() {
		c.inspectVote(from, replication.Epoch(response.GetCandidateEpoch()), replication.Incarnation(message.GetTo()))
	}
	if message.GetSnapshotChunk() != nil {
		c.snapshots++
	}
}

func (c *checker) inspectVote(voter replication.Incarnation, epoch replication.Epoch, candidate replication.Incarnation) {
	key := voteKey{voter: voter, epoch: epoch}
	other, known := c.votes[key]
	c.check(!known || other == candidate, "%s voted for both %s and %s in epoch %s", voter, other, candidate, epoch)
	c.votes[key] = candidate
}

// inspectEntry checks that only one entry is committed per index.
func (c *checker) inspectEntry(node *process, entry replication.Entry) {
	other, known := c.entries[entry.Index]
	if known {
		isSame := other.Epoch == entry.Epoch && bytes.Equal(other.Data, entry.Data)
		c.check(isSame, "%s committed a different entry at index %d", node.name, entry.Index)
		return
	}
	c.check(entry.Index == c.lastIndex+1, "%s committed index %d after %d", node.name, entry.Index, c.lastIndex)
	c.entries[entry.Index] = entry
	c.lastIndex = max(c.lastIndex, entry.Index)
	if entry.Kind == replication.KindMembers {
		c.committedMembers = entry.Members
		c.changes++
	}
}

// inspectState checks that all replicas have the same state at an index.
func (c *checker) inspectState(node *process) {
	if node.state.index == 0 {
		return
	}
	digest, known := c.digests[node.state.index]
	c.check(!known || digest == node.state.digest, "%s has a different state at index %d", node.name, node.state.index)
	c.digests[node.state.index] = node.state.digest
}
