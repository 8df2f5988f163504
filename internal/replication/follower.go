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

// receiveAppend adds the leader's entries if the log agrees with the leader's
// up to the entry before them. Committed entries agree in any case.
func (r *Replica) receiveAppend(from Incarnation, request *replicationv1.AppendRequest) {
	previous := request.GetPreviousIndex()
	if !r.agreesAt(previous, Epoch(request.GetPreviousEpoch())) {
		r.send(from, appendResponse(false, r.retryIndex(previous), request.GetSentAt()))
		return
	}
	r.store(request.GetEntries())
	last := previous + uint64(len(request.GetEntries()))
	r.learnCommit(min(request.GetCommit(), last), request.GetArchived())
	r.send(from, appendResponse(true, max(last, r.commit), request.GetSentAt()))
}

func (r *Replica) agreesAt(index uint64, epoch Epoch) bool {
	if index <= r.commit {
		return true
	}
	held, known := r.log.epochAt(index)
	return known && held == epoch
}

// retryIndex is where a leader should try whose entry before does not agree: it
// skips the whole run of entries of the epoch that differs.
func (r *Replica) retryIndex(previous uint64) uint64 {
	if previous > r.log.lastIndex() {
		return r.log.lastIndex() + 1
	}
	return r.log.firstIndexOfEpoch(previous, r.commit)
}

// store appends entries, and drops own ones only where they differ: a delayed
// message must not cut off what was acknowledged since.
func (r *Replica) store(entries []*replicationv1.Entry) {
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

func (r *Replica) learnCommit(commit, archived uint64) {
	r.commit = max(r.commit, min(commit, r.log.lastIndex()))
	r.log.setArchived(min(archived, r.commit))
}

// receiveHeartbeat learns the commit, which the leader has kept within what it
// knows this replica to hold.
func (r *Replica) receiveHeartbeat(from Incarnation, heartbeat *replicationv1.Heartbeat) {
	r.learnCommit(heartbeat.GetCommit(), heartbeat.GetArchived())
	response := &replicationv1.HeartbeatResponse{SentAt: heartbeat.GetSentAt()}
	r.send(from, &replicationv1.Message{
		Body: &replicationv1.Message_HeartbeatResponse{HeartbeatResponse: response},
	})
}
