package replication

import (
	"cmp"
	"slices"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// receivedHeartbeat is the latest heartbeat of a shard that a peer leads.
type receivedHeartbeat struct {
	heartbeat *replicationv1.ShardHeartbeat
	// accepted means that the local replica has accepted the latest heartbeat.
	accepted bool
}

// heartbeatReceiver tracks the heartbeats sent by one boot of a peer process.
type heartbeatReceiver struct {
	boot       Incarnation
	sequence   uint64
	sentAt     int64
	shards     []*receivedHeartbeat
	ackPending bool
	// needsFullList means that the peer must send the full list of heartbeats.
	needsFullList bool
}

func (h *heartbeatReceiver) find(shard uint32) (int, bool) {
	return slices.BinarySearchFunc(h.shards, shard, func(received *receivedHeartbeat, wanted uint32) int {
		return cmp.Compare(received.heartbeat.GetShard(), wanted)
	})
}

// unpack applies a batch to the list and returns a heartbeat message for each shard
// in it. Duplicate and out-of-order batches are ignored.
func (h *heartbeatReceiver) unpack(batch *replicationv1.HeartbeatBatch) []*replicationv1.Message {
	if batch.GetSequence() <= h.sequence {
		return nil
	}
	h.ackPending = true
	h.needsFullList = batch.GetBaseSequence() > h.sequence
	if h.needsFullList {
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
			h.shards = slices.Insert(h.shards, position, &receivedHeartbeat{})
		}
		h.shards[position].heartbeat = heartbeat
	}
	return h.messages()
}

func (h *heartbeatReceiver) messages() []*replicationv1.Message {
	messages := make([]*replicationv1.Message, len(h.shards))
	for position, received := range h.shards {
		received.accepted = false
		heartbeat := received.heartbeat
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

// recordResponse records a replica's response to the latest batch and reports
// whether it is part of the batch acknowledgement.
func (h *heartbeatReceiver) recordResponse(message *replicationv1.Message, response *replicationv1.HeartbeatResponse) bool {
	position, found := h.find(message.GetShard())
	if !found || !h.ackPending || response.GetSentAt() != h.sentAt {
		return false
	}
	received := h.shards[position]
	isSame := received.heartbeat.GetEpoch() == message.GetEpoch() &&
		received.heartbeat.GetFrom() == message.GetTo() &&
		received.heartbeat.GetTo() == message.GetFrom()
	received.accepted = received.accepted || isSame
	return isSame
}

// takeAck returns the acknowledgement of the latest batch. Shards whose replica has
// not responded are listed as refused, so that no lease depends on a missing replica.
func (h *heartbeatReceiver) takeAck() *replicationv1.HeartbeatBatchAck {
	if !h.ackPending {
		return nil
	}
	h.ackPending = false
	ack := &replicationv1.HeartbeatBatchAck{
		Sequence: h.sequence,
		SentAt:   h.sentAt,
		To:       string(h.boot),
	}
	if h.needsFullList {
		ack.Resynchronise = true
		return ack
	}
	for _, received := range h.shards {
		if !received.accepted {
			ack.RefusedShards = append(ack.RefusedShards, received.heartbeat.GetShard())
		}
	}
	return ack
}
