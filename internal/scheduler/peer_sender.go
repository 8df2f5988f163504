package scheduler

import (
	"sync"

	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

const (
	// exchangesPerPeer bounds the concurrent exchanges with one peer. Further batches are
	// merged, so that a slow peer gets fewer but larger ones.
	exchangesPerPeer = 4
	// maximumMergedKiB bounds the batch that waits for a peer. Above it, the batch is dropped:
	// the protocol tolerates the loss of any message.
	maximumMergedKiB = 8192
)

// peerSenders sends batches to other schedulers.
type peerSenders struct {
	executor *executor
	mutex    sync.Mutex
	byPeer   map[string]*peerSender
}

// peerSender is the queue of one peer.
type peerSender struct {
	address  string
	pending  *schedulerv1.PeerBatch
	inFlight int
}

func newPeerSenders(executor *executor) *peerSenders {
	return &peerSenders{executor: executor, byPeer: make(map[string]*peerSender)}
}

func (senders *peerSenders) send(effect SendPeer) {
	senders.mutex.Lock()
	defer senders.mutex.Unlock()
	sender := senders.byPeer[effect.Process]
	if sender == nil {
		sender = &peerSender{}
		senders.byPeer[effect.Process] = sender
	}
	sender.address = effect.Address
	sender.merge(effect.Batch)
	senders.start(effect.Process, sender)
}

// merge adds a batch to the pending one. Heartbeats and their acknowledgements in the later
// batch replace those in the earlier one.
func (sender *peerSender) merge(batch *schedulerv1.PeerBatch) {
	if sender.pending == nil || proto.Size(sender.pending) > maximumMergedKiB*1024 {
		sender.pending = batch
		return
	}
	merged := sender.pending
	replication, added := merged.Replication, batch.Replication
	replication.Messages = append(replication.Messages, added.GetMessages()...)
	if added.GetHeartbeats() != nil {
		replication.Heartbeats = added.Heartbeats
	}
	if added.GetHeartbeatAck() != nil {
		replication.HeartbeatAck = added.HeartbeatAck
	}
	merged.KeeperRequests = append(merged.KeeperRequests, batch.KeeperRequests...)
	merged.KeeperReplies = append(merged.KeeperReplies, batch.KeeperReplies...)
	merged.EscrowRequests = append(merged.EscrowRequests, batch.EscrowRequests...)
	merged.EscrowReplies = append(merged.EscrowReplies, batch.EscrowReplies...)
	merged.EscrowRecalls = append(merged.EscrowRecalls, batch.EscrowRecalls...)
	merged.AbstainRequests = append(merged.AbstainRequests, batch.AbstainRequests...)
	merged.AbstainReplies = append(merged.AbstainReplies, batch.AbstainReplies...)
}

// start sends the pending batch if exchangesPerPeer allows. The mutex must be held.
func (senders *peerSenders) start(process string, sender *peerSender) {
	if sender.pending == nil || sender.inFlight >= exchangesPerPeer {
		return
	}
	batch := sender.pending
	sender.pending = nil
	sender.inFlight++
	address := sender.address
	senders.executor.workers.Go(func() { senders.exchange(process, sender, address, batch) })
}

// exchange sends one batch. Errors are ignored: the protocol tolerates the loss of any message.
func (senders *peerSenders) exchange(process string, sender *peerSender, address string, batch *schedulerv1.PeerBatch) {
	answer, err := senders.executor.exchange(address, batch)
	if err == nil {
		senders.executor.post(PeerBatchReceived{Batch: answer})
	}
	senders.mutex.Lock()
	defer senders.mutex.Unlock()
	sender.inFlight--
	senders.start(process, sender)
}
