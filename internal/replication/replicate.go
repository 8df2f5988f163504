package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// replicate sends new entries and advances the commit. Taking members in or
// out may add entries, which go out in the same step.
func (r *Replica) replicate(now time.Duration) {
	r.advanceCommit(now)
	r.advanceMembers(now)
	r.advanceCommit(now)
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

// sendHeartbeat never tells a commit beyond what the member holds. It is spare
// where an answer to a message sent within half an interval has come: then the
// time between two answered messages stays within one and a half intervals and
// an exchange.
func (r *Replica) sendHeartbeat(now time.Duration, peer *progress) {
	heartbeat := &replicationv1.Heartbeat{
		Commit:   min(r.commit, peer.match),
		Archived: min(r.log.archived, peer.match),
		SentAt:   int64(now),
	}
	r.send(peer.member.Incarnation, &replicationv1.Message{
		Body: &replicationv1.Message_Heartbeat{Heartbeat: heartbeat},
	})
	sent := &r.outbox[len(r.outbox)-1]
	sent.Spare = peer.heard && now-peer.acknowledged < r.config.HeartbeatInterval/2
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
