package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// leaderState is a leader's volatile state, discarded when it steps down.
type leaderState struct {
	// epochStartIndex is the index of the epoch's first entry. The leader knows the
	// commit index only after this entry is committed.
	epochStartIndex uint64
	electedAt       time.Duration
	peers           []*progress
	// lastHeartbeatSlot is the number of the last heartbeat interval handled.
	lastHeartbeatSlot int64
	// transferTo and transferDeadline describe a pending leadership transfer.
	transferTo       Incarnation
	transferDeadline time.Duration
}

// progress is the leader's view of a member or learner.
type progress struct {
	member  Member
	learner bool
	// matchIndex is the last entry known to match, nextIndex the next one to send.
	matchIndex uint64
	nextIndex  uint64
	// probing limits sending to one append until the member responds.
	probing bool
	// probeInFlight means that a probe is awaiting its response.
	probeInFlight bool
	lastSentAt    time.Duration
	// lastAckedSendTime is the leader's send time of the latest acknowledged message.
	// It is valid if hasAcked is set.
	lastAckedSendTime time.Duration
	hasAcked          bool
	admittedAt        time.Duration
	snapshot          *outgoingSnapshot
	needsSnapshot     bool
	// requestedByHost means that the host requested the admission with Admit.
	requestedByHost bool
}

func (l *leaderState) find(incarnation Incarnation) *progress {
	for _, peer := range l.peers {
		if peer.member.Incarnation == incarnation {
			return peer
		}
	}
	return nil
}

func (l *leaderState) needsSnapshot() bool {
	for _, peer := range l.peers {
		if peer.needsSnapshot {
			return true
		}
	}
	return false
}

func (l *leaderState) remove(incarnation Incarnation) {
	kept := make([]*progress, 0, len(l.peers))
	for _, peer := range l.peers {
		if peer.member.Incarnation != incarnation {
			kept = append(kept, peer)
		}
	}
	l.peers = kept
}

// becomeLeader takes the leader role and appends the first entry of the epoch.
func (r *Replica) becomeLeader(now time.Duration) {
	r.applyEvent(charts.ReplicaEventElectionWon)
	r.leader = r.self.Incarnation
	r.votes = nil
	r.leaderState = &leaderState{
		epochStartIndex:   r.log.lastIndex() + 1,
		electedAt:         now,
		lastHeartbeatSlot: int64(now / r.config.HeartbeatInterval),
	}
	r.syncPeers(now)
	r.appendEntry(&replicationv1.Entry{Kind: KindEpochStart})
}

// syncPeers updates the peers to the current group. Learners are kept.
func (r *Replica) syncPeers(now time.Duration) {
	for _, member := range r.members {
		if member.Incarnation == r.self.Incarnation {
			continue
		}
		peer := r.leaderState.find(member.Incarnation)
		if peer == nil {
			peer = newProgress(now, member, r.log.lastIndex()+1)
			r.leaderState.peers = append(r.leaderState.peers, peer)
		}
		peer.learner = false
	}
	for _, peer := range r.leaderState.peers {
		isMember := findMember(r.members, peer.member.Incarnation) >= 0
		if !isMember && !peer.learner {
			r.leaderState.remove(peer.member.Incarnation)
		}
	}
}

func newProgress(now time.Duration, member Member, next uint64) *progress {
	return &progress{
		member:     member,
		nextIndex:  next,
		probing:    true,
		admittedAt: now,
	}
}

func (r *Replica) appendEntry(entry *replicationv1.Entry) uint64 {
	entry.Index = r.log.lastIndex() + 1
	entry.Epoch = uint64(r.epoch)
	r.log.append(entry)
	return entry.GetIndex()
}

// Propose appends data to the log if the replica leads with a valid lease. The
// proposal succeeds when the entry commits with this epoch. If an entry of another
// epoch commits at the index, the proposal has failed for good. The caller must not
// modify data afterwards.
func (r *Replica) Propose(now time.Duration, data []byte) (uint64, error) {
	switch {
	case r.role != RoleLeader:
		return 0, ErrNotLeader
	case r.leaderState.transferTo != "":
		return 0, ErrTransferring
	case !r.HoldsLease(now):
		return 0, ErrNoLease
	case r.log.backlogBytes+len(data) > r.config.MaxBacklogBytes:
		return 0, ErrBacklogFull
	}
	return r.appendEntry(&replicationv1.Entry{Kind: KindCommand, Data: data}), nil
}

// tickLeader sends due heartbeats and retransmissions, and steps down without
// recent contact to a majority.
func (r *Replica) tickLeader(now time.Duration) {
	lastContact, ok := r.majorityAckTime(now)
	if !ok {
		lastContact = r.leaderState.electedAt
	}
	if now-max(lastContact, r.leaderState.electedAt) > r.config.ElectionTimeoutMax {
		r.becomeFollower(now, r.epoch, charts.ReplicaEventLeaseLost)
		return
	}
	slot := int64(now / r.config.HeartbeatInterval)
	if slot == r.leaderState.lastHeartbeatSlot {
		return
	}
	r.leaderState.lastHeartbeatSlot = slot
	r.removeUnresponsiveLearners(now)
	for _, peer := range r.leaderState.peers {
		r.sendHeartbeat(now, peer)
		r.resend(now, peer)
	}
}

// advanceCommit commits entries replicated to a majority, if the last of them is of
// the current epoch. It requires a valid lease: a response may arrive after its
// sender has died and the group has been rebuilt without the entry (see
// Config.RebuildDelay).
func (r *Replica) advanceCommit(now time.Duration) {
	if now >= r.leaseEnd(now) {
		return
	}
	matches := make([]uint64, 0, len(r.members))
	for _, member := range r.members {
		if member.Incarnation == r.self.Incarnation {
			matches = append(matches, r.log.lastIndex())
			continue
		}
		if peer := r.leaderState.find(member.Incarnation); peer != nil {
			matches = append(matches, peer.matchIndex)
		}
	}
	majority := quorum(len(r.members))
	if len(matches) < majority {
		return
	}
	sortDescending(matches)
	agreed := matches[majority-1]
	if epoch, known := r.log.epochAt(agreed); known && epoch == r.epoch {
		r.commit = max(r.commit, agreed)
	}
}
