package replication

import (
	"cmp"
	"slices"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// heardShard is a shard that a peer leads with a member here.
type heardShard struct {
	heartbeat *replicationv1.ShardHeartbeat
	// answered says that the replica has accepted the latest heartbeat.
	answered bool
}

// heartbeatReceiver keeps the list of heartbeats of one boot of a peer.
type heartbeatReceiver struct {
	boot     Incarnation
	sequence uint64
	sentAt   int64
	shards   []*heardShard
	owesAck  bool
	// lacksBase says that the list must be sent in full.
	lacksBase bool
}

func (h *heartbeatReceiver) find(shard uint32) (int, bool) {
	return slices.BinarySearchFunc(h.shards, shard, func(heard *heardShard, wanted uint32) int {
		return cmp.Compare(heard.heartbeat.GetShard(), wanted)
	})
}

// open brings the list up to a batch and returns a heartbeat for each shard on
// it. A repeated or overtaken batch is ignored.
func (h *heartbeatReceiver) open(batch *replicationv1.HeartbeatBatch) []*replicationv1.Message {
	if batch.GetSequence() <= h.sequence {
		return nil
	}
	h.owesAck = true
	h.lacksBase = batch.GetBaseSequence() > h.sequence
	if h.lacksBase {
		return nil
	}
	if batch.GetBaseSequence() == 0 {
		h.shards = nil
	}
	h.sequence = batch.GetSequence()
	h.sentAt = batch.GetSentAt()
	for _, shard := range batch.GetRemovedShards() {
		if position, found := h.find(shard); found {
			h.shards = slices.Delete(h.shards, position, position+1)
		}
	}
	for _, heartbeat := range batch.GetChanged() {
		position, found := h.find(heartbeat.GetShard())
		if !found {
			h.shards = slices.Insert(h.shards, position, &heardShard{})
		}
		h.shards[position].heartbeat = heartbeat
	}
	return h.messages()
}

func (h *heartbeatReceiver) messages() []*replicationv1.Message {
	messages := make([]*replicationv1.Message, len(h.shards))
	for position, heard := range h.shards {
		heard.answered = false
		heartbeat := heard.heartbeat
		messages[position] = &replicationv1.Message{
			Shard: heartbeat.GetShard(),
			Epoch: heartbeat.GetEpoch(),
			From:  heartbeat.GetFrom(),
			To:    heartbeat.GetTo(),
			Body: &replicationv1.Message_Heartbeat{
				Heartbeat: &replicationv1.Heartbeat{
					Commit:   heartbeat.GetCommit(),
					Archived: heartbeat.GetArchived(),
					SentAt:   h.sentAt,
				},
			},
		}
	}
	return messages
}

// answer notes a replica's response to the latest batch and tells whether it
// goes into the acknowledgement.
func (h *heartbeatReceiver) answer(message *replicationv1.Message, response *replicationv1.HeartbeatResponse) bool {
	position, found := h.find(message.GetShard())
	if !found || !h.owesAck || response.GetSentAt() != h.sentAt {
		return false
	}
	heard := h.shards[position]
	isSame := heard.heartbeat.GetEpoch() == message.GetEpoch() &&
		heard.heartbeat.GetFrom() == message.GetTo() &&
		heard.heartbeat.GetTo() == message.GetFrom()
	heard.answered = heard.answered || isSame
	return isSame
}

// takeAck answers the latest batch. A shard counts as refused unless its
// replica has answered, so that no lease rests on a replica that is not there.
func (h *heartbeatReceiver) takeAck() *replicationv1.HeartbeatBatchAck {
	if !h.owesAck {
		return nil
	}
	h.owesAck = false
	ack := &replicationv1.HeartbeatBatchAck{
		Sequence: h.sequence,
		SentAt:   h.sentAt,
		To:       string(h.boot),
	}
	if h.lacksBase {
		ack.Resynchronise = true
		return ack
	}
	for _, heard := range h.shards {
		if !heard.answered {
			ack.RefusedShards = append(ack.RefusedShards, heard.heartbeat.GetShard())
		}
	}
	return ack
}
