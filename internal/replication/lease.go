package replication

import "time"

// HoldsLease reports whether the replica is the leader, knows all committed entries,
// and no other replica can be leader at the time now. A host must check it again
// after a pause.
func (r *Replica) HoldsLease(now time.Duration) bool {
	return r.role == RoleLeader &&
		r.commit >= r.leaderState.epochStartIndex &&
		now < r.leaseEnd(now)
}

// leaseEnd returns the end of the lease: LeaseDuration after majorityAckTime. The
// members of that majority grant no vote for longer than that.
func (r *Replica) leaseEnd(now time.Duration) time.Duration {
	ackTime, ok := r.majorityAckTime(now)
	if !ok {
		return 0
	}
	return ackTime + r.config.LeaseDuration
}

// majorityAckTime returns the latest time such that a majority, including the leader,
// has acknowledged a message sent at that time or later.
func (r *Replica) majorityAckTime(now time.Duration) (time.Duration, bool) {
	majority := quorum(len(r.members))
	times := make([]time.Duration, 0, len(r.members))
	for _, member := range r.members {
		if member.Incarnation == r.self.Incarnation {
			times = append(times, now)
			continue
		}
		if peer := r.leaderState.find(member.Incarnation); peer != nil && peer.hasAcked {
			times = append(times, peer.lastAckedSendTime)
		}
	}
	if len(times) < majority {
		return 0, false
	}
	sortDescending(times)
	return times[majority-1], true
}
