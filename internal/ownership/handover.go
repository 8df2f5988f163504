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

// HandleHandover answers another node that wants to claim a shard of which this one
// made the newest claim. It keeps a shard while it can write to the log;
// otherwise it hands its accounts over.
func (manager *Manager) HandleHandover(ctx context.Context, number int, epoch int64) *nodev1.YieldReply {
	reply := make(chan *nodev1.YieldReply, 1)
	manager.post(func() { reply <- manager.yielded(manager.shards[number], epoch) })
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return &nodev1.YieldReply{Incarnation: manager.self.Incarnation, Keeps: true}
	}
}

func (manager *Manager) yielded(shard *shard, epoch int64) *nodev1.YieldReply {
	answer := &nodev1.YieldReply{Incarnation: manager.self.Incarnation}
	if shard.phase == charts.OwnershipStateClaiming {
		answer.Keeps = true
		return answer
	}
	if shard.phase != charts.OwnershipStateOwned || shard.epoch != epoch {
		return answer
	}
	if !shard.unable(time.Now()) || !feature.Enabled(feature.OwnershipHandover) {
		answer.Keeps = true
		return answer
	}
	answer.Yielded = true
	for _, account := range shard.ledger.ExportAccounts() {
		answer.Accounts = append(answer.Accounts, encodeAccount(account))
	}
	manager.logger.Info("shard yielded", zap.Int("shard", shard.number), zap.Int64("epoch", epoch), zap.Int("programs", len(answer.Accounts)))
	manager.fire(shard, charts.OwnershipEventYielded)
	shard.ledger = nil
	shard.owner = Owner{}
	manager.refuseWaiters(shard, ReserveResult{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Reason: "the shard was yielded"})
	return answer
}

// Release hands all shards back: the ledgers' exact state is written, and
// nothing more is granted. It returns when that is done or ctx ends.
func (manager *Manager) Release(ctx context.Context) {
	done := make(chan struct{}, len(manager.shards))
	manager.post(func() {
		for _, shard := range manager.shards {
			manager.release(shard, done)
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

func (manager *Manager) release(shard *shard, done chan<- struct{}) {
	if shard.phase != charts.OwnershipStateOwned {
		manager.fire(shard, charts.OwnershipEventStopping)
		done <- struct{}{}
		return
	}
	manager.fire(shard, charts.OwnershipEventStopping)
	manager.refuseWaiters(shard, ReserveResult{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Reason: "the node is leaving"})
	shard.owner = Owner{}
	shard.closed = done
	if !shard.writing {
		manager.closeAccounts(shard)
	}
}

// closeAccounts writes what is used of each program as a shard's last record under
// this owner, so that a successor need not count the owner's allowance.
func (manager *Manager) closeAccounts(shard *shard) {
	done := shard.closed
	shard.closed = nil
	shard.sequence++
	fence := durable.Fence{Producer: producer, Epoch: shard.epoch, Sequence: shard.sequence}
	partition := durable.Partition{Topic: Topic, Number: shard.number}
	records := append(encodeCeilings(shard.ledger.Checkpoint()), &nodev1.SpendingRecord{Closed: true})
	go func() {
		_ = manager.append(partition, fence, marshal(records...))
		done <- struct{}{}
	}()
}
