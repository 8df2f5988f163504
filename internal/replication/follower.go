package replication

import (
	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

func appendResponse(success bool, index uint64, sentAt int64) *replicationv1.Message {
	response := &replicationv1.AppendResponse{
		Success: success,
		Index:   index,
		SentAt:  sentAt,
	}
	return &replicationv1.Message{
		Body: &replicationv1.Message_AppendResponse{AppendResponse: response},
	}
}

// receiveAppend appends the leader's entries if the logs match at the preceding
// entry. Committed entries always match.
func (r *Replica) receiveAppend(from Incarnation, request *replicationv1.AppendRequest) {
	previous := request.GetPreviousIndex()
	if !r.matchesLog(previous, Epoch(request.GetPreviousEpoch())) {
		r.send(from, appendResponse(false, r.retryIndex(previous), request.GetSentAt()))
		return
	}
	r.storeEntries(request.GetEntries())
	last := previous + uint64(len(request.GetEntries()))
	r.updateCommit(min(request.GetCommit(), last), request.GetArchived())
	r.send(from, appendResponse(true, max(last, r.commit), request.GetSentAt()))
}

func (r *Replica) matchesLog(index uint64, epoch Epoch) bool {
	if index <= r.commit {
		return true
	}
	held, known := r.log.epochAt(index)
	return known && held == epoch
}

// retryIndex returns the index from which the leader should retry after a mismatch.
// It skips all entries of the conflicting epoch.
func (r *Replica) retryIndex(previous uint64) uint64 {
	if previous > r.log.lastIndex() {
		return r.log.lastIndex() + 1
	}
	return r.log.firstIndexOfEpoch(previous, r.commit)
}

// storeEntries appends entries and truncates the log only at a conflict, since a
// delayed message must not remove entries acknowledged later.
func (r *Replica) storeEntries(entries []*replicationv1.Entry) {
	membersTouched := false
	for _, entry := range entries {
		index := entry.GetIndex()
		if index <= r.commit {
			continue
		}
		held, known := r.log.epochAt(index)
		if known && held == Epoch(entry.GetEpoch()) {
			continue
		}
		if known {
			r.log.truncateFrom(index)
			membersTouched = true
		}
		r.log.append(entry)
		membersTouched = membersTouched || entry.GetKind() == KindMembers
	}
	if membersTouched {
		r.refreshMembers()
	}
}

func (r *Replica) updateCommit(commit, archived uint64) {
	r.commit = max(r.commit, min(commit, r.log.lastIndex()))
	r.log.setArchived(min(archived, r.commit))
}

// receiveHeartbeat updates the commit index, which the leader limits to entries
// that this replica is known to hold.
func (r *Replica) receiveHeartbeat(from Incarnation, heartbeat *replicationv1.Heartbeat) {
	r.updateCommit(heartbeat.GetCommit(), heartbeat.GetArchived())
	response := &replicationv1.HeartbeatResponse{SentAt: heartbeat.GetSentAt()}
	r.send(from, &replicationv1.Message{
		Body: &replicationv1.Message_HeartbeatResponse{HeartbeatResponse: response},
	})
}
