package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// replicate sends new entries and advances the commit index. Membership changes may
// append entries, which are sent in the same step.
func (r *Replica) replicate(now time.Duration) {
	r.advanceCommit(now)
	r.advanceMembers(now)
	r.advanceCommit(now)
	r.advanceTransfer(now)
	if r.role != RoleLeader {
		return
	}
	for _, peer := range r.leaderState.peers {
		r.sendEntries(now, peer)
	}
}

// sendEntries sends a member as many entries as its window allows.
func (r *Replica) sendEntries(now time.Duration, peer *progress) {
	for peer.snapshot == nil && !peer.needsSnapshot && !peer.probeInFlight {
		if peer.nextIndex <= r.log.previousIndex {
			peer.needsSnapshot = true
			return
		}
		last := r.log.lastIndex()
		window := peer.matchIndex + uint64(r.config.MaxInflightEntries)
		if !peer.probing && (peer.nextIndex > last || peer.nextIndex > window) {
			return
		}
		r.sendAppend(now, peer)
	}
}

func (r *Replica) sendAppend(now time.Duration, peer *progress) {
	previous := peer.nextIndex - 1
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
	peer.lastSentAt = now
	if peer.probing {
		peer.probeInFlight = true
		return
	}
	peer.nextIndex += uint64(len(entries))
}

// sendHeartbeat limits the commit index to what the member is known to hold. The
// heartbeat is optional if the member has acknowledged a message sent within the
// last half interval. The time between two acknowledged messages is then at most 1.5
// intervals plus a round trip.
func (r *Replica) sendHeartbeat(now time.Duration, peer *progress) {
	heartbeat := &replicationv1.Heartbeat{
		Commit:   min(r.commit, peer.matchIndex),
		Archived: min(r.log.archived, peer.matchIndex),
		SentAt:   int64(now),
	}
	r.send(peer.member.Incarnation, &replicationv1.Message{
		Body: &replicationv1.Message_Heartbeat{Heartbeat: heartbeat},
	})
	sent := &r.outbox[len(r.outbox)-1]
	sent.Optional = peer.hasAcked && now-peer.lastAckedSendTime < r.config.HeartbeatInterval/2
}

// resend restarts transmission after the last matching entry if the member has not
// responded since the last message.
func (r *Replica) resend(now time.Duration, peer *progress) {
	if now-peer.lastSentAt < r.config.HeartbeatInterval {
		return
	}
	if peer.snapshot != nil {
		r.sendChunk(now, peer)
		return
	}
	if !peer.probing && peer.matchIndex < r.log.lastIndex() {
		peer.nextIndex = peer.matchIndex + 1
		peer.probing = true
	}
	peer.probeInFlight = false
}

// receiveResponse handles a member's response to its leader.
func (r *Replica) receiveResponse(now time.Duration, message *replicationv1.Message) {
	if r.role != RoleLeader {
		return
	}
	peer := r.leaderState.find(Incarnation(message.GetFrom()))
	if peer == nil {
		return
	}
	switch body := message.GetBody().(type) {
	case *replicationv1.Message_HeartbeatResponse:
		peer.recordAck(body.HeartbeatResponse.GetSentAt())
	case *replicationv1.Message_AppendResponse:
		peer.recordAck(body.AppendResponse.GetSentAt())
		r.receiveAppendResponse(peer, body.AppendResponse)
	case *replicationv1.Message_SnapshotAck:
		peer.recordAck(body.SnapshotAck.GetSentAt())
		r.receiveSnapshotAck(now, peer, body.SnapshotAck)
	}
}

// recordAck records the send time of an acknowledged message. The lease is counted
// from it, since the member withholds votes for longer after receiving the message.
func (p *progress) recordAck(sentAt int64) {
	if sentAt > 0 {
		p.hasAcked = true
		p.lastAckedSendTime = max(p.lastAckedSendTime, time.Duration(sentAt))
	}
}

func (r *Replica) receiveAppendResponse(peer *progress, response *replicationv1.AppendResponse) {
	index := response.GetIndex()
	if !response.GetSuccess() {
		if index > peer.matchIndex && index < peer.nextIndex {
			peer.nextIndex = index
			peer.probing = true
			peer.probeInFlight = false
		}
		return
	}
	if index > r.log.lastIndex() {
		return
	}
	if index >= peer.matchIndex {
		peer.matchIndex = index
		peer.nextIndex = max(peer.nextIndex, index+1)
		peer.probing = false
		peer.probeInFlight = false
	}
	if peer.snapshot != nil && peer.matchIndex >= peer.snapshot.index {
		peer.snapshot = nil
		peer.nextIndex = peer.matchIndex + 1
	}
}
