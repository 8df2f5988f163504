package scheduler

import (
	"slices"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/replication"
)

// batchTo returns the batch that is sent to a process at the end of the step.
func (core *Core) batchTo(process string) *schedulerv1.PeerBatch {
	core.flushPeers[process] = true
	return core.pendingBatch(process)
}

// pendingBatch returns the batch to a process that is sent together with the next urgent
// message, or at the next tick. The order of messages is preserved.
func (core *Core) pendingBatch(process string) *schedulerv1.PeerBatch {
	batch := core.outbox[process]
	if batch == nil {
		batch = &schedulerv1.PeerBatch{}
		core.outbox[process] = batch
	}
	return batch
}

// flushOutbox sends the batches that are due. A peer that waits for a reply gets its batch in
// the reply.
func (core *Core) flushOutbox() {
	processes := core.batcher.Peers()
	for process := range core.outbox {
		if core.flushPeers[process] || core.ticked {
			processes = append(processes, process)
		}
	}
	if core.replyPeer != "" {
		processes = append(processes, core.replyPeer)
	}
	slices.Sort(processes)
	for _, process := range slices.Compact(processes) {
		batch := core.pendingBatch(process)
		batch.Replication = core.batcher.Take(process)
		delete(core.outbox, process)
		core.sendBatch(process, batch)
	}
	clear(core.flushPeers)
	core.ticked = false
	core.replyPeer = ""
	core.peerReplyTo = 0
}

// sendBatch sends a batch. It is dropped if the process's address is unknown.
func (core *Core) sendBatch(process string, batch *schedulerv1.PeerBatch) {
	if process == core.replyPeer {
		core.emit(Reply{To: core.peerReplyTo, Message: batch})
		return
	}
	address := core.directory.address(process)
	if address == "" {
		return
	}
	core.emit(SendPeer{Process: process, Address: address, Batch: batch})
}

// peerBatchReceived handles all messages in a batch from another scheduler.
func (core *Core) peerBatchReceived(event PeerBatchReceived) {
	batch := event.Batch
	sender := replication.Incarnation(batch.GetReplication().GetFrom())
	if event.ReplyTo != 0 {
		core.replyPeer = sender.Process()
		core.peerReplyTo = event.ReplyTo
	}
	core.directory.heard(sender.Process(), string(sender), core.now)
	for _, message := range core.batcher.Unpack(batch.Replication) {
		if host := core.hosts[message.Shard]; host != nil {
			host.receive(message)
		}
	}
	for _, request := range batch.KeeperRequests {
		core.keeperRequested(request)
	}
	for _, reply := range batch.KeeperReplies {
		core.keeperReplied(reply)
	}
	for _, request := range batch.EscrowRequests {
		core.escrowRequested(request)
	}
	for _, reply := range batch.EscrowReplies {
		core.directory.leaders[core.shardOfAccount(tierOfReply(reply))] = sender.Process()
		core.escrowReplied(reply)
	}
	for _, recall := range batch.EscrowRecalls {
		core.escrowRecalled(recall)
	}
	for _, request := range batch.AbstainRequests {
		core.abstainRequested(request)
	}
	for _, reply := range batch.AbstainReplies {
		core.abstainReplied(reply)
	}
}
