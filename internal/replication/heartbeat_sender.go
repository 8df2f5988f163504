package replication

import (
	"cmp"
	"slices"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// sentHeartbeat is the latest heartbeat of a shard sent to one peer.
type sentHeartbeat struct {
	heartbeat *replicationv1.ShardHeartbeat
	// changedIn is the sequence number of the batch that first carried the current
	// values, leadershipSince that of the batch that first carried the current leader,
	// member and epoch.
	changedIn       uint64
	leadershipSince uint64
	// pending means that the replica has sent a heartbeat since the last batch.
	pending bool
}

// removedShard is a shard that this process no longer leads.
type removedShard struct {
	shard     uint32
	removedIn uint64
}

// heartbeatSender tracks the heartbeats sent to one peer process and the batches
// acknowledged by it, so that only changes are sent.
type heartbeatSender struct {
	sequence     uint64
	acknowledged uint64
	sentAt       int64
	// required means that the next batch contains a heartbeat that is not optional.
	required bool
	shards   []*sentHeartbeat
	removed  []removedShard
}

func (s *heartbeatSender) find(shard uint32) (int, bool) {
	return slices.BinarySearchFunc(s.shards, shard, func(sent *sentHeartbeat, wanted uint32) int {
		return cmp.Compare(sent.heartbeat.GetShard(), wanted)
	})
}

// add records a replica's heartbeat for the next batch. If only optional heartbeats
// were added in a round, they are discarded when the next round begins.
func (s *heartbeatSender) add(message *replicationv1.Message, heartbeat *replicationv1.Heartbeat, optional bool) {
	if !s.required && heartbeat.GetSentAt() != s.sentAt {
		s.beginRound(heartbeat.GetSentAt())
	}
	s.sentAt = min(s.sentAt, heartbeat.GetSentAt())
	s.required = s.required || !optional
	next := s.sequence + 1
	position, found := s.find(message.GetShard())
	if !found {
		s.shards = slices.Insert(s.shards, position, &sentHeartbeat{})
	}
	sent := s.shards[position]
	sent.pending = true
	old := sent.heartbeat
	isSameLeadership := found &&
		old.GetEpoch() == message.GetEpoch() &&
		old.GetFrom() == message.GetFrom() &&
		old.GetTo() == message.GetTo()
	if !isSameLeadership {
		sent.leadershipSince = next
	}
	isSame := isSameLeadership &&
		old.GetCommit() == heartbeat.GetCommit() &&
		old.GetArchived() == heartbeat.GetArchived()
	if isSame {
		return
	}
	sent.changedIn = next
	sent.heartbeat = &replicationv1.ShardHeartbeat{
		Shard:    message.GetShard(),
		Epoch:    message.GetEpoch(),
		From:     message.GetFrom(),
		To:       message.GetTo(),
		Commit:   heartbeat.GetCommit(),
		Archived: heartbeat.GetArchived(),
	}
}

func (s *heartbeatSender) beginRound(sentAt int64) {
	s.sentAt = sentAt
	for _, sent := range s.shards {
		sent.pending = false
	}
}

func (s *heartbeatSender) isDue() bool { return s.required }

// take returns the next batch. Shards without a heartbeat since the last batch are
// no longer led by this process and are removed from the list.
func (s *heartbeatSender) take() *replicationv1.HeartbeatBatch {
	if !s.isDue() {
		return nil
	}
	s.required = false
	s.sequence++
	s.removeInactive()
	batch := &replicationv1.HeartbeatBatch{
		Sequence:     s.sequence,
		BaseSequence: s.acknowledged,
		SentAt:       s.sentAt,
	}
	for _, sent := range s.shards {
		sent.pending = false
		if sent.changedIn > s.acknowledged {
			batch.Changed = append(batch.Changed, sent.heartbeat)
		}
	}
	if s.acknowledged == 0 {
		return batch
	}
	for _, removed := range s.removed {
		batch.RemovedShards = append(batch.RemovedShards, removed.shard)
	}
	return batch
}

func (s *heartbeatSender) removeInactive() {
	kept := s.shards[:0]
	for _, sent := range s.shards {
		if sent.pending {
			kept = append(kept, sent)
			continue
		}
		s.removed = append(s.removed, removedShard{
			shard:     sent.heartbeat.GetShard(),
			removedIn: s.sequence,
		})
	}
	clear(s.shards[len(kept):])
	s.shards = kept
}

// unpackAck converts a batch acknowledgement into the responses of individual
// replicas. It covers the shards that were in the acknowledged batch under the same
// leadership as now.
func (s *heartbeatSender) unpackAck(ack *replicationv1.HeartbeatBatchAck) []*replicationv1.Message {
	sequence := ack.GetSequence()
	if sequence > s.sequence {
		return nil
	}
	if ack.GetResynchronise() {
		s.acknowledged = 0
		return nil
	}
	s.acknowledged = max(s.acknowledged, sequence)
	s.removed = slices.DeleteFunc(s.removed, func(removed removedShard) bool {
		return removed.removedIn <= s.acknowledged
	})
	messages := make([]*replicationv1.Message, 0, len(s.shards))
	for _, sent := range s.shards {
		shard := sent.heartbeat.GetShard()
		if sent.leadershipSince > sequence || slices.Contains(ack.GetRefusedShards(), shard) {
			continue
		}
		messages = append(messages, &replicationv1.Message{
			Shard: shard,
			Epoch: sent.heartbeat.GetEpoch(),
			From:  sent.heartbeat.GetTo(),
			To:    sent.heartbeat.GetFrom(),
			Body: &replicationv1.Message_HeartbeatResponse{
				HeartbeatResponse: &replicationv1.HeartbeatResponse{SentAt: ack.GetSentAt()},
			},
		})
	}
	return messages
}
