package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// maxQueuedBytes limits the messages queued for an unreachable peer. When it is
// exceeded the queue is discarded, which replicas handle as message loss.
const maxQueuedBytes = 4 << 20

// messageQueue holds the messages queued for one peer.
type messageQueue struct {
	messages []*replicationv1.Message
	bytes    int
}

func (q *messageQueue) add(message *replicationv1.Message) {
	size := proto.Size(message)
	if q.bytes+size > maxQueuedBytes {
		*q = messageQueue{}
	}
	q.messages = append(q.messages, message)
	q.bytes += size
}

// Batcher combines all messages from one process's replicas to another process into
// one Batch, and the heartbeats of all shards into one HeartbeatBatch. The
// HeartbeatBatch is omitted if all heartbeats are optional. A Batcher must be used
// only by the goroutine that owns the replicas.
//
// The host calls Add for every Envelope of every Output, calls Take for each of
// Peers after all replicas have ticked, and passes every received Batch to Open and
// the resulting messages to the replicas. Responses are sent with the reply, again
// through Add and Take.
type Batcher struct {
	boot      Incarnation
	queues    map[string]*messageQueue
	senders   map[string]*heartbeatSender
	receivers map[string]*heartbeatReceiver
}

// NewBatcher returns a batcher for one boot of a process.
func NewBatcher(boot Incarnation) *Batcher {
	return &Batcher{
		boot:      boot,
		queues:    map[string]*messageQueue{},
		senders:   map[string]*heartbeatSender{},
		receivers: map[string]*heartbeatReceiver{},
	}
}

// Add queues a message for its destination process.
func (b *Batcher) Add(envelope Envelope) {
	process := envelope.ToProcess
	message := envelope.Message
	switch body := message.GetBody().(type) {
	case *replicationv1.Message_Heartbeat:
		b.sender(process).add(message, body.Heartbeat, envelope.Optional)
		return
	case *replicationv1.Message_HeartbeatResponse:
		receiver := b.receivers[process]
		if receiver != nil && receiver.recordResponse(message, body.HeartbeatResponse) {
			return
		}
	}
	queue := b.queues[process]
	if queue == nil {
		queue = &messageQueue{}
		b.queues[process] = queue
	}
	queue.add(message)
}

func (b *Batcher) sender(process string) *heartbeatSender {
	sender := b.senders[process]
	if sender == nil {
		sender = &heartbeatSender{}
		b.senders[process] = sender
	}
	return sender
}

// Peers returns the sorted processes that have something queued.
func (b *Batcher) Peers() []string {
	peers := []string{}
	for process := range b.queues {
		peers = append(peers, process)
	}
	for process, sender := range b.senders {
		if sender.isDue() {
			peers = append(peers, process)
		}
	}
	for process, receiver := range b.receivers {
		if receiver.ackPending {
			peers = append(peers, process)
		}
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// Take returns and clears everything queued for a process.
func (b *Batcher) Take(process string) *replicationv1.Batch {
	batch := &replicationv1.Batch{
		From:      string(b.boot),
		ToProcess: process,
	}
	if queue := b.queues[process]; queue != nil {
		batch.Messages = queue.messages
		delete(b.queues, process)
	}
	if sender := b.senders[process]; sender != nil {
		batch.Heartbeats = sender.take()
	}
	if receiver := b.receivers[process]; receiver != nil {
		batch.HeartbeatAck = receiver.takeAck()
	}
	return batch
}

// Unpack returns a batch's messages for the replicas of this process. It returns nil
// if the batch is for another process. The caller ignores messages for replicas
// that do not exist.
func (b *Batcher) Unpack(batch *replicationv1.Batch) []*replicationv1.Message {
	from := Incarnation(batch.GetFrom())
	process := from.Process()
	if batch.GetToProcess() != b.boot.Process() || process == "" {
		return nil
	}
	messages := slices.Clone(batch.GetMessages())
	if heartbeats := batch.GetHeartbeats(); heartbeats != nil {
		receiver := b.receivers[process]
		if receiver == nil || receiver.boot != from {
			receiver = &heartbeatReceiver{boot: from}
			b.receivers[process] = receiver
		}
		messages = append(messages, receiver.unpack(heartbeats)...)
	}
	ack := batch.GetHeartbeatAck()
	sender := b.senders[process]
	if ack != nil && sender != nil && ack.GetTo() == string(b.boot) {
		messages = append(messages, sender.unpackAck(ack)...)
	}
	return messages
}

// RemovePeer discards all state of a process that has left.
func (b *Batcher) RemovePeer(process string) {
	delete(b.queues, process)
	delete(b.senders, process)
	delete(b.receivers, process)
}
