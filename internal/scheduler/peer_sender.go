package scheduler

import (
	"sync"

	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

const (
	// exchangesPerPeer bounds the batches under way to one peer. What comes
	// meanwhile is merged, so a slow peer gets fewer and larger batches.
	exchangesPerPeer = 4
	// mergedMessagesBound drops what waits for a peer that can't be reached;
	// every message bears its loss.
	mergedMessagesBound = 8192
)

// peerSenders sends batches to the other schedulers.
type peerSenders struct {
	traffic *traffic
	mutex   sync.Mutex
	byPeer  map[string]*peerSender
}

// peerSender is the queue to one peer.
type peerSender struct {
	address  string
	waiting  *schedulerv1.PeerBatch
	underWay int
}

func newPeerSenders(traffic *traffic) *peerSenders {
	return &peerSenders{traffic: traffic, byPeer: make(map[string]*peerSender)}
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

// merge adds a batch to what waits. Heartbeats of a later batch replace those
// of an earlier one only where both have some: then the later goes alone.
func (sender *peerSender) merge(batch *schedulerv1.PeerBatch) {
	if sender.waiting == nil || proto.Size(sender.waiting) > mergedMessagesBound*1024 {
		sender.waiting = batch
		return
	}
	merged := sender.waiting
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

// start sends what waits, if the bound on exchanges allows. The mutex is held.
func (senders *peerSenders) start(process string, sender *peerSender) {
	if sender.waiting == nil || sender.underWay >= exchangesPerPeer {
		return
	}
	batch := sender.waiting
	sender.waiting = nil
	sender.underWay++
	address := sender.address
	senders.traffic.workers.Go(func() { senders.exchange(process, sender, address, batch) })
}

// exchange sends one batch. A lost one is not reported: every message in it bears
// its loss.
func (senders *peerSenders) exchange(process string, sender *peerSender, address string, batch *schedulerv1.PeerBatch) {
	answer, err := senders.traffic.exchange(address, batch)
	if err == nil {
		senders.traffic.post(PeerBatchReceived{Batch: answer})
	}
	senders.mutex.Lock()
	defer senders.mutex.Unlock()
	sender.underWay--
	senders.start(process, sender)
}
