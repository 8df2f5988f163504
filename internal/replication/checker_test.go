package replication_test

import (
	"bytes"
	"fmt"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/internal/replication"
)

// ballot is one incarnation's vote in one epoch.
type ballot struct {
	voter replication.Incarnation
	epoch replication.Epoch
}

// checker holds what must be true of a whole schedule. The first thing that
// isn't is kept as its failure.
type checker struct {
	failure          string
	leaders          map[replication.Epoch]replication.Incarnation
	ballots          map[ballot]replication.Incarnation
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
		ballots: map[ballot]replication.Incarnation{},
		entries: map[uint64]replication.Entry{},
		digests: map[uint64]uint64{},
	}
}

func (c *checker) check(holds bool, format string, arguments ...any) {
	if !holds && c.failure == "" {
		c.failure = fmt.Sprintf(format, arguments...)
	}
}

// inspect checks the leaders: one an epoch, one lease at any moment, and each
// lease holder with all that was ever committed.
func (c *checker) inspect(w *world) {
	holder := ""
	for _, node := range w.processes {
		if node.replica.Role() == replication.RoleLeader {
			c.inspectLeader(node)
		}
		if !node.replica.HoldsLease(node.clock(w.now)) {
			continue
		}
		c.check(holder == "", "%s and %s hold the lease at %s", holder, node.name, w.now)
		holder = node.name
		c.check(node.replica.CommittedIndex() >= c.lastIndex,
			"lease holder %s is at %d, %d is committed", node.name, node.replica.CommittedIndex(), c.lastIndex)
	}
}

func (c *checker) inspectLeader(node *process) {
	self := node.replica.Self().Incarnation
	epoch := node.replica.Epoch()
	other, known := c.leaders[epoch]
	c.check(!known || other == self, "%s and %s lead in epoch %s", other, self, epoch)
	if !known {
		c.leaders[epoch] = self
		c.elections++
	}
}

// inspectMessage checks votes: one candidate an incarnation and epoch, given
// by the incarnation that the process has now.
func (c *checker) inspectMessage(node *process, message *replicationv1.Message) {
	from := replication.Incarnation(message.GetFrom())
	c.check(from == node.replica.Self().Incarnation, "%s speaks as %s", node.name, from)
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
	key := ballot{voter: voter, epoch: epoch}
	other, known := c.ballots[key]
	c.check(!known || other == candidate, "%s votes for %s and %s in epoch %s", voter, other, candidate, epoch)
	c.ballots[key] = candidate
}

// inspectEntry checks that an index commits with one content only.
func (c *checker) inspectEntry(node *process, entry replication.Entry) {
	other, known := c.entries[entry.Index]
	if known {
		isSame := other.Epoch == entry.Epoch && bytes.Equal(other.Data, entry.Data)
		c.check(isSame, "%s commits another entry %d", node.name, entry.Index)
		return
	}
	c.check(entry.Index == c.lastIndex+1, "%s commits %d after %d", node.name, entry.Index, c.lastIndex)
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
	c.check(!known || digest == node.state.digest, "%s has another state at %d", node.name, node.state.index)
	c.digests[node.state.index] = node.state.digest
}
