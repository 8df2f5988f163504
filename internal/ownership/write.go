package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

// appendPending starts an append of the pending ceilings, and of the next part of a renewal that is
// due, unless one is in flight.
func (manager *Manager) appendPending(shard *shard) {
	if shard.appendInFlight || shard.phase != charts.OwnershipStateOwned {
		return
	}
	now := time.Now()
	records := manager.renewalRecords(shard, now)
	ceilings := shard.ledger.DrainPendingCeilings()
	records = append(records, encodeCeilings(ceilings)...)
	if len(records) == 0 {
		shard.finishRenewal()
		return
	}
	shard.appendInFlight = true
	shard.appendStartedAt = now
	shard.sequence++
	fence := durable.Fence{Producer: producer, Epoch: shard.epoch, Sequence: shard.sequence}
	partition := durable.Partition{Topic: Topic, Number: shard.number}
	go func() {
		err := manager.append(partition, fence, marshal(records...))
		manager.post(func() { manager.finishWrite(shard, fence.Epoch, ceilings, err) })
	}()
}

// append repeats an append until its outcome is known. The store deduplicates the
// repetitions by their sequence number.
func (manager *Manager) append(partition durable.Partition, fence durable.Fence, records [][]byte) error {
	for backoff := initialAppendBackoff; ; backoff = min(2*backoff, maxAppendBackoff) {
		ctx, cancel := context.WithTimeout(manager.context, appendTimeout)
		err := durable.Hedge(ctx, &manager.appendLatency, manager.log, partition, func(ctx context.Context) error {
			_, err := manager.log.Append(ctx, partition, records, durable.Condition{Fence: &fence})
			return err
		})
		cancel()
		if err == nil || errors.Is(err, durable.ErrFenced) || errors.Is(err, durable.ErrOutOfSequence) {
			return err
		}
		if manager.context.Err() != nil {
			return err
		}
		wait.Sleep(manager.context, backoff)
	}
}

func (manager *Manager) finishWrite(shard *shard, epoch int64, ceilings []spending.Ceiling, err error) {
	if shard.releaseDone != nil && shard.epoch == epoch {
		manager.writeFinalCheckpoint(shard)
		return
	}
	if shard.phase != charts.OwnershipStateOwned || shard.epoch != epoch {
		return
	}
	shard.appendInFlight = false
	if err != nil {
		manager.loseShard(shard, err)
		return
	}
	shard.ownedAsOf = shard.appendStartedAt
	shard.ledger.RenewAllowance(shard.ownedAsOf)
	shard.ledger.AcknowledgeCeilings(ceilings)
	shard.finishRenewal()
	manager.decideWaiters(shard)
	manager.appendPending(shard)
}

// loseShard gives up a shard after the store has rejected an append.
func (manager *Manager) loseShard(shard *shard, err error) {
	manager.logger.Info("shard lost", zap.Int("shard", shard.number), zap.Int64("epoch", shard.epoch), logging.ErrorField(err))
	manager.fire(shard, charts.OwnershipEventFenced)
	shard.ledger = nil
	shard.owner = Owner{}
	shard.appendInFlight = false
	waiters := shard.waiters
	shard.waiters = nil
	// A claim attempt reads the new owner from the log, if there is one.
	for _, waiting := range waiters {
		waiting.request.AllowClaim = true
		manager.reserve(shard, waiting)
	}
}
