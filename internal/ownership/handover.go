package ownership

import (
	"context"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"go.uber.org/zap"
)

// HandleHandover handles a handover request from another node for a shard of which this
// node made the latest claim. The node keeps the shard while it can write to the log;
// otherwise it hands over its accounts.
func (manager *Manager) HandleHandover(ctx context.Context, number int, epoch int64) *nodev1.YieldReply {
	replies := make(chan *nodev1.YieldReply, 1)
	manager.post(func() { replies <- manager.handOver(manager.shards[number], epoch) })
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return &nodev1.YieldReply{Incarnation: manager.self.Incarnation, Keeps: true}
	}
}

func (manager *Manager) handOver(shard *shard, epoch int64) *nodev1.YieldReply {
	reply := &nodev1.YieldReply{Incarnation: manager.self.Incarnation}
	if shard.phase == charts.OwnershipStateClaiming {
		reply.Keeps = true
		return reply
	}
	if shard.phase != charts.OwnershipStateOwned || shard.epoch != epoch {
		return reply
	}
	if !shard.logUnresponsive(time.Now()) || !feature.Enabled(feature.OwnershipHandover) {
		reply.Keeps = true
		return reply
	}
	reply.Yielded = true
	for _, account := range shard.ledger.ExportAccounts() {
		reply.Accounts = append(reply.Accounts, encodeAccount(account))
	}
	manager.logger.Info("shard yielded", zap.Int("shard", shard.number), zap.Int64("epoch", epoch), zap.Int("programs", len(reply.Accounts)))
	manager.fire(shard, charts.OwnershipEventYielded)
	shard.ledger = nil
	shard.owner = Owner{}
	manager.refuseWaiters(shard, ReserveResult{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Reason: "the shard was yielded"})
	return reply
}

// Release gives up all shards: it stops granting and writes a final checkpoint of each
// ledger. It returns when the checkpoints are written or ctx ends.
func (manager *Manager) Release(ctx context.Context) {
	done := make(chan struct{}, len(manager.shards))
	manager.post(func() {
		for _, shard := range manager.shards {
			manager.releaseShard(shard, done)
		}
	})
	for range manager.shards {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

func (manager *Manager) releaseShard(shard *shard, done chan<- struct{}) {
	if shard.phase != charts.OwnershipStateOwned {
		manager.fire(shard, charts.OwnershipEventStopping)
		done <- struct{}{}
		return
	}
	manager.fire(shard, charts.OwnershipEventStopping)
	manager.refuseWaiters(shard, ReserveResult{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Reason: "the node is leaving"})
	shard.owner = Owner{}
	shard.releaseDone = done
	if !shard.appendInFlight {
		manager.writeFinalCheckpoint(shard)
	}
}

// writeFinalCheckpoint writes the exact spending of each program as the owner's last
// append. A successor then does not charge the owner's allowance.
func (manager *Manager) writeFinalCheckpoint(shard *shard) {
	done := shard.releaseDone
	shard.releaseDone = nil
	shard.sequence++
	fence := durable.Fence{Producer: producer, Epoch: shard.epoch, Sequence: shard.sequence}
	partition := durable.Partition{Topic: Topic, Number: shard.number}
	records := append(encodeCeilings(shard.ledger.Checkpoint()), &nodev1.SpendingRecord{Closed: true})
	go func() {
		_ = manager.append(partition, fence, marshal(records...))
		done <- struct{}{}
	}()
}
