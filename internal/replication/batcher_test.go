package replication_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/internal/replication"
)

func encode(message proto.Message) []byte {
	encoded, err := proto.Marshal(message)
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

func chunkMessage(index, offset, total uint64, data []byte) *replicationv1.Message {
	return &replicationv1.Message{Body: &replicationv1.Message_SnapshotChunk{
		SnapshotChunk: &replicationv1.SnapshotChunk{Index: index, Offset: offset, Total: total, Data: data},
	}}
}

func heartbeat(shard uint32, epoch uint64, sentAt int64) replication.Envelope {
	return replication.Envelope{ToProcess: "b", Message: &replicationv1.Message{
		Shard: shard, Epoch: epoch, From: self, To: peerB,
		Body: &replicationv1.Message_Heartbeat{Heartbeat: &replicationv1.Heartbeat{SentAt: sentAt}},
	}}
}

func response(message *replicationv1.Message) replication.Envelope {
	return replication.Envelope{ToProcess: "a", Message: &replicationv1.Message{
		Shard: message.GetShard(), Epoch: message.GetEpoch(), From: message.GetTo(), To: message.GetFrom(),
		Body: &replicationv1.Message_HeartbeatResponse{HeartbeatResponse: &replicationv1.HeartbeatResponse{
			SentAt: message.GetHeartbeat().GetSentAt(),
		}},
	}}
}

func shardsOf(messages []*replicationv1.Message) []uint32 {
	shards := []uint32{}
	for _, message := range messages {
		shards = append(shards, message.GetShard())
	}
	return shards
}

var _ = Describe("A batcher of heartbeats", func() {
	var sender, receiver *replication.Batcher

	BeforeEach(func() {
		sender = replication.NewBatcher("a#boot")
		receiver = replication.NewBatcher("b#boot")
	})

	sendHeartbeats := func(sentAt int64, epoch uint64, shards ...uint32) *replicationv1.Batch {
		for _, shard := range shards {
			sender.Add(heartbeat(shard, epoch, sentAt))
		}
		return sender.Take("b")
	}
	// answer opens a batch, lets all replicas but that of the silent shard respond, and
	// returns the receiver's batch.
	answer := func(batch *replicationv1.Batch, silent uint32) *replicationv1.Batch {
		for _, message := range receiver.Unpack(batch) {
			if message.GetShard() != silent {
				receiver.Add(response(message))
			}
		}
		return receiver.Take("a")
	}

	It("omits unchanged shards and delivers the responses of all that accepted", func() {
		Expect(shardsOf(sender.Unpack(answer(sendHeartbeats(1, 5, 1, 2, 3), 0)))).To(Equal([]uint32{1, 2, 3}))
		second := sendHeartbeats(2, 5, 1, 2, 3)
		Expect(second.GetHeartbeats().GetChanged()).To(BeEmpty())
		reply := answer(second, 2)
		Expect(reply.GetMessages()).To(BeEmpty())
		responses := sender.Unpack(reply)
		Expect(shardsOf(responses)).To(Equal([]uint32{1, 3}))
		Expect(responses[0].GetHeartbeatResponse().GetSentAt()).To(BeEquivalentTo(2))
	})

	It("resends the changes of a lost batch and removes shards no longer led", func() {
		sender.Unpack(answer(sendHeartbeats(1, 5, 1, 2), 0))
		sendHeartbeats(2, 6, 1, 2)
		Expect(shardsOf(receiver.Unpack(sendHeartbeats(3, 6, 2)))).To(Equal([]uint32{2}))
	})

	It("does not apply an acknowledgement to a later epoch", func() {
		reply := answer(sendHeartbeats(1, 5, 1, 2), 0)
		sender.Add(heartbeat(1, 6, 2))
		sender.Add(heartbeat(2, 5, 2))
		sender.Take("b")
		Expect(shardsOf(sender.Unpack(reply))).To(Equal([]uint32{2}))
	})

	It("sends the full list to a receiver that has restarted", func() {
		sender.Unpack(answer(sendHeartbeats(1, 5, 1, 2), 0))
		receiver = replication.NewBatcher("b#next")
		Expect(sender.Unpack(answer(sendHeartbeats(2, 5, 1, 2), 0))).To(BeEmpty())
		Expect(shardsOf(sender.Unpack(answer(sendHeartbeats(3, 5, 1, 2), 0)))).To(Equal([]uint32{1, 2}))
	})

	It("sends no batch with only optional heartbeats and keeps their shards for the next one", func() {
		sender.Unpack(answer(sendHeartbeats(1, 5, 1, 2, 3), 0))
		optional := func(sentAt int64, shards ...uint32) {
			for _, shard := range shards {
				envelope := heartbeat(shard, 5, sentAt)
				envelope.Optional = true
				sender.Add(envelope)
			}
		}
		optional(2, 1, 2, 3)
		Expect(sender.Peers()).To(BeEmpty())
		optional(3, 1, 2)
		sender.Add(heartbeat(1, 5, 3))
		Expect(sender.Peers()).To(Equal([]string{"b"}))
		batch := sender.Take("b")
		Expect(batch.GetHeartbeats().GetSentAt()).To(BeEquivalentTo(3))
		Expect(batch.GetHeartbeats().GetRemovedShards()).To(Equal([]uint32{3}))
		Expect(shardsOf(receiver.Unpack(batch))).To(Equal([]uint32{1, 2}))
	})

	It("limits the queue of an unreachable peer by discarding it", func() {
		for index := range uint64(100) {
			message := chunkMessage(index, 0, 1, make([]byte, 1<<20))
			sender.Add(replication.Envelope{ToProcess: "b", Message: message})
		}
		waiting := sender.Take("b").GetMessages()
		Expect(len(waiting)).To(BeNumerically("<", 5))
		Expect(waiting[len(waiting)-1].GetSnapshotChunk().GetIndex()).To(BeEquivalentTo(99))
	})

	It("ignores duplicate and out-of-order batches", func() {
		first := sendHeartbeats(1, 5, 1)
		second := sendHeartbeats(2, 5, 1)
		Expect(receiver.Unpack(second)).To(HaveLen(1))
		Expect(receiver.Unpack(first)).To(BeEmpty())
		Expect(receiver.Unpack(second)).To(BeEmpty())
	})
})
