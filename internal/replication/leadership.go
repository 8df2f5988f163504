package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// leadership is what a leader keeps for its epoch. It is dropped with the role.
type leadership struct {
	// startIndex is the entry that opened the epoch. Until it is committed the
	// leader doesn't know what is.
	startIndex uint64
	electedAt  time.Duration
	peers      []*progress
	// heartbeatSlot is the last multiple of the interval that was served.
	heartbeatSlot int64
	// transferTo and transferEnd describe a hand-over that waits for its target.
	transferTo  Incarnation
	transferEnd time.Duration
}

// progress is what a leader knows of a member or learner.
type progress struct {
	member  Member
	learner bool
	// match is the last entry known to agree, next the one to send.
	match uint64
	next  uint64
	// probing holds back further entries until the member has answered.
	probing bool
	// awaiting is set while an answer to a probe is due.
	awaiting bool
	lastSend time.Duration
	// acknowledged is the leader's own sending time of the latest message that
	// was answered; valid if heard.
	acknowledged time.Duration
	heard        bool
	admittedAt   time.Duration
	snapshot     *outgoingSnapshot
	wantSnapshot bool
	// byHost says that the host has asked for the admission.
	byHost bool
}

func (l *leadership) find(incarnation Incarnation) *progress {
	for _, peer := range l.peers {
		if peer.member.Incarnation == incarnation {
			return peer
		}
	}
	return nil
}

func (l *leadership) wantsSnapshot() bool {
	for _, peer := range l.peers {
		if peer.wantSnapshot {
			return true
		}
	}
	return false
}

func (l *leadership) remove(incarnation Incarnation) {
	kept := make([]*progress, 0, len(l.peers))
	for _, peer := range l.peers {
		if peer.member.Incarnation != incarnation {
			kept = append(kept, peer)
		}
	}
	l.peers = kept
}

// becomeLeader opens the epoch with an entry of its own.
func (r *Replica) becomeLeader(now time.Duration) {
	r.fire(charts.ReplicaEventElectionWon)
	r.leader = r.self.Incarnation
	r.votes = nil
	r.lead = &leadership{
		startIndex:    r.log.lastIndex() + 1,
		electedAt:     now,
		heartbeatSlot: int64(now / r.config.HeartbeatInterval),
	}
	r.syncPeers(now)
	r.appendOwn(&replicationv1.Entry{Kind: KindEpochStart})
}

// syncPeers makes the peers follow the group in force. Learners stay.
func (r *Replica) syncPeers(now time.Duration) {
	for _, member := range r.members {
		if member.Incarnation == r.self.Incarnation {
			continue
		}
		peer := r.lead.find(member.Incarnation)
		if peer == nil {
			peer = newProgress(now, member, r.log.lastIndex()+1)
			r.lead.peers = append(r.lead.peers, peer)
		}
		peer.learner = false
	}
	for _, peer := range r.lead.peers {
		isMember := findMember(r.members, peer.member.Incarnation) >= 0
		if !isMember && !peer.learner {
			r.lead.remove(peer.member.Incarnation)
		}
	}
}

func newProgress(now time.Duration, member Member, next uint64) *progress {
	return &progress{
		member:     member,
		next:       next,
		probing:    true,
		admittedAt: now,
	}
}

func (r *Replica) appendOwn(entry *replicationv1.Entry) uint64 {
	entry.Index = r.log.lastIndex() + 1
	entry.Epoch = uint64(r.epoch)
	r.log.append(entry)
	return entry.GetIndex()
}

// Propose appends data to the log, if the replica leads under a lease. The
// entry stands once it is committed under this epoch; if another epoch's entry
// commits at the index, it was not and never will be. The data must not be
// changed afterwards.
func (r *Replica) Propose(now time.Duration, data []byte) (uint64, error) {
	switch {
	case r.role != RoleLeader:
		return 0, ErrNotLeader
	case r.lead.transferTo != "":
		return 0, ErrTransferring
	case !r.HoldsLease(now):
		return 0, ErrNoLease
	case r.log.backlogBytes+len(data) > r.config.MaxBacklogBytes:
		return 0, ErrBacklogFull
	}
	return r.appendOwn(&replicationv1.Entry{Kind: KindCommand, Data: data}), nil
}

// tickLeader sends what is due, and steps down when no majority is heard.
func (r *Replica) tickLeader(now time.Duration) {
	heard, ok := r.majorityHeard(now)
	if !ok {
		heard = r.lead.electedAt
	}
	if now-max(heard, r.lead.electedAt) > r.config.ElectionTimeoutMax {
		r.becomeFollower(now, r.epoch, charts.ReplicaEventLeaseLost)
		return
	}
	slot := int64(now / r.config.HeartbeatInterval)
	if slot == r.lead.heartbeatSlot {
		return
	}
	r.lead.heartbeatSlot = slot
	r.dropSilentLearners(now)
	for _, peer := range r.lead.peers {
		r.sendHeartbeat(now, peer)
		r.resend(now, peer)
	}
}

// advanceCommit commits what a majority holds, if it is of this epoch; earlier
// epochs' entries are committed with it. It commits nothing without the lease: an
// answer can come so late that its sender has died since and the group has been
// rebuilt without the entry (see Config.RebuildDelay).
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
		if peer := r.lead.find(member.Incarnation); peer != nil {
			matches = append(matches, peer.match)
		}
	}
	missing := quorum(len(r.members))
	if len(matches) < missing {
		return
	}
	sortDescending(matches)
	agreed := matches[missing-1]
	if epoch, known := r.log.epochAt(agreed); known && epoch == r.epoch {
		r.commit = max(r.commit, agreed)
	}
}
