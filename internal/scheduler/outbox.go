package scheduler

import (
	"slices"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/replication"
)

// batchTo returns the batch that is sent to a process at the step's end.
func (core *Core) batchTo(process string) *schedulerv1.PeerBatch {
	core.due[process] = true
	return core.waitingBatch(process)
}

// waitingBatch returns the batch for a process that goes with the next message
// to it that is due, or at the next tick. It keeps the order of all messages.
func (core *Core) waitingBatch(process string) *schedulerv1.PeerBatch {
	batch := core.outbox[process]
	if batch == nil {
		batch = &schedulerv1.PeerBatch{}
		core.outbox[process] = batch
	}
	return batch
}

// flushOutbox sends one batch to each process that has messages due. The
// peer that is being answered gets its batch as the answer.
func (core *Core) flushOutbox() {
	processes := core.batcher.Peers()
	for process := range core.outbox {
		if core.due[process] || core.ticked {
			processes = append(processes, process)
		}
	}
	if core.answering != "" {
		processes = append(processes, core.answering)
	}
	slices.Sort(processes)
	for _, process := range slices.Compact(processes) {
		batch := core.waitingBatch(process)
		batch.Replication = core.batcher.Take(process)
		delete(core.outbox, process)
		core.sendBatch(process, batch)
	}
	clear(core.due)
	core.ticked = false
	core.answering = ""
	core.answerTo = 0
}

// sendBatch sends a batch. Messages to a process whose address is unknown are
// lost, as on a network.
func (core *Core) sendBatch(process string, batch *schedulerv1.PeerBatch) {
	if process == core.answering {
		core.emit(Answer{Ask: core.answerTo, Message: batch})
		return
	}
	address := core.directory.address(process)
	if address == "" {
		return
	}
	core.emit(SendPeer{Process: process, Address: address, Batch: batch})
}

// peerBatchReceived takes in everything another scheduler has sent.
func (core *Core) peerBatchReceived(event PeerBatchReceived) {
	batch := event.Batch
	sender := replication.Incarnation(batch.GetReplication().GetFrom())
	if event.Ask != 0 {
		core.answering = sender.Process()
		core.answerTo = event.Ask
	}
	core.directory.heard(sender.Process(), string(sender), core.now)
	for _, message := range core.batcher.Open(batch.Replication) {
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
