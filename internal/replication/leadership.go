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

// HoldsLease tells whether the replica leads, knows all that was ever
// committed, and no other replica can lead at the time now. A host that was
// paused asks it again before it acts.
func (r *Replica) HoldsLease(now time.Duration) bool {
	return r.role == RoleLeader &&
		r.commit >= r.lead.startIndex &&
		now < r.leaseEnd(now)
}

// leaseEnd is a lease's duration after the latest time at which a majority was
// heard. Each of its members gives no vote for longer than that.
func (r *Replica) leaseEnd(now time.Duration) time.Duration {
	heard, ok := r.majorityHeard(now)
	if !ok {
		return 0
	}
	return heard + r.config.LeaseDuration
}

// majorityHeard returns the latest time such that a majority, the leader
// included, has answered a message sent then or later.
func (r *Replica) majorityHeard(now time.Duration) (time.Duration, bool) {
	missing := quorum(len(r.members))
	times := make([]time.Duration, 0, len(r.members))
	for _, member := range r.members {
		if member.Incarnation == r.self.Incarnation {
			times = append(times, now)
			continue
		}
		if peer := r.lead.find(member.Incarnation); peer != nil && peer.heard {
			times = append(times, peer.acknowledged)
		}
	}
	if len(times) < missing {
		return 0, false
	}
	sortDescending(times)
	return times[missing-1], true
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

// sendHeartbeat never tells a commit beyond what the member holds.
func (r *Replica) sendHeartbeat(now time.Duration, peer *progress) {
	heartbeat := &replicationv1.Heartbeat{
		Commit:   min(r.commit, peer.match),
		Archived: min(r.log.archived, peer.match),
		SentAt:   int64(now),
	}
	r.send(peer.member.Incarnation, &replicationv1.Message{
		Body: &replicationv1.Message_Heartbeat{Heartbeat: heartbeat},
	})
}

// resend starts again after the last entry known to agree, if no answer has
// come since the last message.
func (r *Replica) resend(now time.Duration, peer *progress) {
	if now-peer.lastSend < r.config.HeartbeatInterval {
		return
	}
	if peer.snapshot != nil {
		r.sendChunk(now, peer)
		return
	}
	if !peer.probing && peer.match < r.log.lastIndex() {
		peer.next = peer.match + 1
		peer.probing = true
	}
	peer.awaiting = false
}

// replicate sends new entries and advances the commit. Taking members in or
// out may add entries, which go out in the same step.
func (r *Replica) replicate(now time.Duration) {
	r.advanceCommit()
	r.advanceMembers(now)
	r.advanceCommit()
	r.advanceTransfer(now)
	if r.role != RoleLeader {
		return
	}
	for _, peer := range r.lead.peers {
		r.sendEntries(now, peer)
	}
}

// sendEntries sends a member all that its window allows.
func (r *Replica) sendEntries(now time.Duration, peer *progress) {
	for peer.snapshot == nil && !peer.wantSnapshot && !peer.awaiting {
		if peer.next <= r.log.previousIndex {
			peer.wantSnapshot = true
			return
		}
		last := r.log.lastIndex()
		window := peer.match + uint64(r.config.MaxInflightEntries)
		if !peer.probing && (peer.next > last || peer.next > window) {
			return
		}
		r.sendAppend(now, peer)
	}
}

func (r *Replica) sendAppend(now time.Duration, peer *progress) {
	previous := peer.next - 1
	previousEpoch, _ := r.log.epochAt(previous)
	entries := r.log.between(previous, r.log.lastIndex(), r.config.MaxAppendBytes)
	request := &replicationv1.AppendRequest{
		PreviousIndex: previous,
		PreviousEpoch: uint64(previousEpoch),
		Entries:       entries,
		Commit:        r.commit,
		Archived:      r.log.archived,
		SentAt:        int64(now),
	}
	r.send(peer.member.Incarnation, &replicationv1.Message{
		Body: &replicationv1.Message_AppendRequest{AppendRequest: request},
	})
	peer.lastSend = now
	if peer.probing {
		peer.awaiting = true
		return
	}
	peer.next += uint64(len(entries))
}

// receiveAcknowledgement handles a member's answers to its leader.
func (r *Replica) receiveAcknowledgement(now time.Duration, message *replicationv1.Message) {
	if r.role != RoleLeader {
		return
	}
	peer := r.lead.find(Incarnation(message.GetFrom()))
	if peer == nil {
		return
	}
	switch body := message.GetBody().(type) {
	case *replicationv1.Message_HeartbeatResponse:
		peer.hear(body.HeartbeatResponse.GetSentAt())
	case *replicationv1.Message_AppendResponse:
		peer.hear(body.AppendResponse.GetSentAt())
		r.receiveAppendResponse(peer, body.AppendResponse)
	case *replicationv1.Message_SnapshotAck:
		peer.hear(body.SnapshotAck.GetSentAt())
		r.receiveSnapshotAck(now, peer, body.SnapshotAck)
	}
}

// hear takes an answer as the member's promise from the time of the question.
func (p *progress) hear(sentAt int64) {
	if sentAt > 0 {
		p.heard = true
		p.acknowledged = max(p.acknowledged, time.Duration(sentAt))
	}
}

func (r *Replica) receiveAppendResponse(peer *progress, response *replicationv1.AppendResponse) {
	index := response.GetIndex()
	if !response.GetSuccess() {
		if index > peer.match && index < peer.next {
			peer.next = index
			peer.probing = true
			peer.awaiting = false
		}
		return
	}
	if index > r.log.lastIndex() {
		return
	}
	if index >= peer.match {
		peer.match = index
		peer.next = max(peer.next, index+1)
		peer.probing = false
		peer.awaiting = false
	}
	if peer.snapshot != nil && peer.match >= peer.snapshot.index {
		peer.snapshot = nil
		peer.next = peer.match + 1
	}
}

// advanceCommit commits what a majority holds, if it is of this epoch; earlier
// epochs' entries are committed with it.
func (r *Replica) advanceCommit() {
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
