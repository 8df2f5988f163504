package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// TransferLeadership hands the leadership to a member, or to the one that has
// caught up most if to is empty. Proposals are refused meanwhile. The transfer
// is given up after ElectionTimeoutMax if the target doesn't catch up.
func (r *Replica) TransferLeadership(now time.Duration, to Incarnation) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if to == "" {
		to = r.bestTransferTarget()
	}
	peer := r.lead.find(to)
	if peer == nil || peer.learner {
		return ErrUnknownMember
	}
	r.lead.transferTo = to
	r.lead.transferEnd = now + r.config.ElectionTimeoutMax
	return nil
}

func (r *Replica) bestTransferTarget() Incarnation {
	var best *progress
	for _, peer := range r.lead.peers {
		if peer.learner {
			continue
		}
		isBetter := best == nil ||
			peer.match > best.match ||
			(peer.match == best.match && peer.acknowledged > best.acknowledged)
		if isBetter {
			best = peer
		}
	}
	if best == nil {
		return ""
	}
	return best.member.Incarnation
}

// advanceTransfer steps down before it sends the order: the order makes voters
// pass by their promise, so no lease may rest on it any more.
func (r *Replica) advanceTransfer(now time.Duration) {
	target := r.lead.transferTo
	if target == "" {
		return
	}
	peer := r.lead.find(target)
	if peer == nil || now >= r.lead.transferEnd {
		r.lead.transferTo = ""
		return
	}
	if peer.match < r.log.lastIndex() {
		return
	}
	r.becomeFollower(now, r.epoch, charts.ReplicaEventLeaseLost)
	r.electionDeadline = now + r.config.ElectionTimeoutMax
	r.send(target, &replicationv1.Message{
		Body: &replicationv1.Message_TransferOrder{TransferOrder: &replicationv1.TransferOrder{}},
	})
}
