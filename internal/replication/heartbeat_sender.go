package replication

import (
	"cmp"
	"slices"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// sentShard is a shard's heartbeat as it stands towards one peer.
type sentShard struct {
	heartbeat *replicationv1.ShardHeartbeat
	// changedIn is the batch that first carried the present values, ledSince
	// the one that first carried the present leader, member and epoch.
	changedIn uint64
	ledSince  uint64
	// due says that the replica has sent its heartbeat since the last batch.
	due bool
}

// removedShard is a shard that this process leads no more.
type removedShard struct {
	shard     uint32
	removedIn uint64
}

// heartbeatSender keeps the heartbeats towards one peer process, and which
// batch the peer has handled, so that only changes are sent.
type heartbeatSender struct {
	sequence     uint64
	acknowledged uint64
	sentAt       int64
	// needed says that a heartbeat which is not spare waits for the next batch.
	needed  bool
	shards  []*sentShard
	removed []removedShard
}

func (s *heartbeatSender) find(shard uint32) (int, bool) {
	return slices.BinarySearchFunc(s.shards, shard, func(sent *sentShard, wanted uint32) int {
		return cmp.Compare(sent.heartbeat.GetShard(), wanted)
	})
}

// add takes in a replica's heartbeat for the next batch. A round of spare ones
// alone is forgotten when the next round begins.
func (s *heartbeatSender) add(message *replicationv1.Message, heartbeat *replicationv1.Heartbeat, spare bool) {
	if !s.needed && heartbeat.GetSentAt() != s.sentAt {
		s.beginRound(heartbeat.GetSentAt())
	}
	s.sentAt = min(s.sentAt, heartbeat.GetSentAt())
	s.needed = s.needed || !spare
	next := s.sequence + 1
	position, found := s.find(message.GetShard())
	if !found {
		s.shards = slices.Insert(s.shards, position, &sentShard{})
	}
	sent := s.shards[position]
	sent.due = true
	old := sent.heartbeat
	isSameLeadership := found &&
		old.GetEpoch() == message.GetEpoch() &&
		old.GetFrom() == message.GetFrom() &&
		old.GetTo() == message.GetTo()
	if !isSameLeadership {
		sent.ledSince = next
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
		sent.due = false
	}
}

func (s *heartbeatSender) isDue() bool { return s.needed }

// take closes the next batch. Shards without a heartbeat since the last one are
// led no more and leave the list.
func (s *heartbeatSender) take() *replicationv1.HeartbeatBatch {
	if !s.isDue() {
		return nil
	}
	s.needed = false
	s.sequence++
	s.dropStopped()
	batch := &replicationv1.HeartbeatBatch{
		Sequence:     s.sequence,
		BaseSequence: s.acknowledged,
		SentAt:       s.sentAt,
	}
	for _, sent := range s.shards {
		sent.due = false
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

func (s *heartbeatSender) dropStopped() {
	kept := s.shards[:0]
	for _, sent := range s.shards {
		if sent.due {
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

// openAck turns a peer's acknowledgement into the responses of the replicas
// that it stands for: those that were in the acknowledged batch, under the same
// epoch as now.
func (s *heartbeatSender) openAck(ack *replicationv1.HeartbeatBatchAck) []*replicationv1.Message {
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
		if sent.ledSince > sequence || slices.Contains(ack.GetRefusedShards(), shard) {
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
