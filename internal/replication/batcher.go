package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// maxQueuedBytes bounds what waits for a peer that can't be reached. What waits
// is dropped beyond it, which replicas take as lost.
const maxQueuedBytes = 4 << 20

// messageQueue is what waits for one peer.
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

// Batcher merges all that one process's replicas send to another process into
// one Batch, the heartbeats of all shards into one HeartbeatBatch. Where all of
// them are spare there is none. It belongs to the goroutine that owns the
// replicas.
//
// A host adds every Envelope of every Output, takes a Batch for each of Peers
// once all replicas have ticked, and hands every Batch that arrives to Open and
// the resulting messages to the replicas. The answers of those go into the
// reply, again by Add and Take.
type Batcher struct {
	boot    Incarnation
	queues  map[string]*messageQueue
	sending map[string]*heartbeatSender
	hearing map[string]*heartbeatReceiver
}

// NewBatcher returns a batcher for one boot of a process.
func NewBatcher(boot Incarnation) *Batcher {
	return &Batcher{
		boot:    boot,
		queues:  map[string]*messageQueue{},
		sending: map[string]*heartbeatSender{},
		hearing: map[string]*heartbeatReceiver{},
	}
}

// Add queues a message for its process.
func (b *Batcher) Add(envelope Envelope) {
	process := envelope.ToProcess
	message := envelope.Message
	switch body := message.GetBody().(type) {
	case *replicationv1.Message_Heartbeat:
		b.sender(process).add(message, body.Heartbeat, envelope.Spare)
		return
	case *replicationv1.Message_HeartbeatResponse:
		receiver := b.hearing[process]
		if receiver != nil && receiver.answer(message, body.HeartbeatResponse) {
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
	sender := b.sending[process]
	if sender == nil {
		sender = &heartbeatSender{}
		b.sending[process] = sender
	}
	return sender
}

// Peers returns the processes that something is queued for, in a fixed order.
func (b *Batcher) Peers() []string {
	peers := []string{}
	for process := range b.queues {
		peers = append(peers, process)
	}
	for process, sender := range b.sending {
		if sender.isDue() {
			peers = append(peers, process)
		}
	}
	for process, receiver := range b.hearing {
		if receiver.owesAck {
			peers = append(peers, process)
		}
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// Take returns what is queued for a process and empties the queue.
func (b *Batcher) Take(process string) *replicationv1.Batch {
	batch := &replicationv1.Batch{
		From:      string(b.boot),
		ToProcess: process,
	}
	if queue := b.queues[process]; queue != nil {
		batch.Messages = queue.messages
		delete(b.queues, process)
	}
	if sender := b.sending[process]; sender != nil {
		batch.Heartbeats = sender.take()
	}
	if receiver := b.hearing[process]; receiver != nil {
		batch.HeartbeatAck = receiver.takeAck()
	}
	return batch
}

// Open returns the messages for this process's replicas in a batch. A replica
// that isn't there simply doesn't get its message.
func (b *Batcher) Open(batch *replicationv1.Batch) []*replicationv1.Message {
	from := Incarnation(batch.GetFrom())
	process := from.Process()
	if batch.GetToProcess() != b.boot.Process() || process == "" {
		return nil
	}
	messages := slices.Clone(batch.GetMessages())
	if heartbeats := batch.GetHeartbeats(); heartbeats != nil {
		receiver := b.hearing[process]
		if receiver == nil || receiver.boot != from {
			receiver = &heartbeatReceiver{boot: from}
			b.hearing[process] = receiver
		}
		messages = append(messages, receiver.open(heartbeats)...)
	}
	ack := batch.GetHeartbeatAck()
	sender := b.sending[process]
	if ack != nil && sender != nil && ack.GetTo() == string(b.boot) {
		messages = append(messages, sender.openAck(ack)...)
	}
	return messages
}

// Forget drops all that is kept of a process that is gone.
func (b *Batcher) Forget(process string) {
	delete(b.queues, process)
	delete(b.sending, process)
	delete(b.hearing, process)
}
