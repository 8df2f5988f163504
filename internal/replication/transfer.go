package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// TransferLeadership transfers the leadership to a member, or to the most up-to-date
// one if to is empty. Proposals are rejected until the transfer ends. It is aborted
// after ElectionTimeoutMax if the target has not caught up.
func (r *Replica) TransferLeadership(now time.Duration, to Incarnation) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if to == "" {
		to = r.bestTransferTarget()
	}
	peer := r.leaderState.find(to)
	if peer == nil || peer.learner {
		return ErrUnknownMember
	}
	r.leaderState.transferTo = to
	r.leaderState.transferDeadline = now + r.config.ElectionTimeoutMax
	return nil
}

func (r *Replica) bestTransferTarget() Incarnation {
	var best *progress
	for _, peer := range r.leaderState.peers {
		if peer.learner {
			continue
		}
		isBetter := best == nil ||
			peer.matchIndex > best.matchIndex ||
			(peer.matchIndex == best.matchIndex && peer.lastAckedSendTime > best.lastAckedSendTime)
		if isBetter {
			best = peer
		}
	}
	if best == nil {
		return ""
	}
	return best.member.Incarnation
}

// advanceTransfer steps down before it sends the transfer order: the order lets the
// target bypass the voters' lease check, so the lease must be given up first.
func (r *Replica) advanceTransfer(now time.Duration) {
	target := r.leaderState.transferTo
	if target == "" {
		return
	}
	peer := r.leaderState.find(target)
	if peer == nil || now >= r.leaderState.transferDeadline {
		r.leaderState.transferTo = ""
		return
	}
	if peer.matchIndex < r.log.lastIndex() {
		return
	}
	r.becomeFollower(now, r.epoch, charts.ReplicaEventLeaseLost)
	r.electionDeadline = now + r.config.ElectionTimeoutMax
	r.send(target, &replicationv1.Message{
		Body: &replicationv1.Message_TransferOrder{TransferOrder: &replicationv1.TransferOrder{}},
	})
}
