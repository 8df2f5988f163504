package replication

import "time"

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
