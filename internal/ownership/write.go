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

// write starts an append of the ceilings wanted, one at a time.
func (manager *Manager) write(shard *shard) {
	if shard.writing || shard.phase != charts.OwnershipStateOwned {
		return
	}
	ceilings := shard.ledger.DrainPendingCeilings()
	if len(ceilings) == 0 {
		return
	}
	shard.writing = true
	shard.silentSince = time.Now()
	shard.sequence++
	fence := durable.Fence{Producer: producer, Epoch: shard.epoch, Sequence: shard.sequence}
	partition := durable.Partition{Topic: Topic, Number: shard.number}
	go func() {
		err := manager.append(partition, fence, marshal(encodeCeilings(ceilings)...))
		manager.post(func() { manager.written(shard, fence.Epoch, ceilings, err) })
	}()
}

// append sends records until its outcome is known: a repetition with the same
// number gets the first one's answer.
func (manager *Manager) append(partition durable.Partition, fence durable.Fence, records [][]byte) error {
	for delay := firstAppendPause; ; delay = min(2*delay, longestAppendPause) {
		ctx, cancel := context.WithTimeout(manager.context, appendTimeout)
		err := durable.Hedge(ctx, &manager.pace, func(ctx context.Context) error {
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
		wait.Sleep(manager.context, delay)
	}
}

func (manager *Manager) written(shard *shard, epoch int64, ceilings []spending.Ceiling, err error) {
	if shard.closed != nil && shard.epoch == epoch {
		manager.closeAccounts(shard)
		return
	}
	if shard.phase != charts.OwnershipStateOwned || shard.epoch != epoch {
		return
	}
	shard.writing = false
	if err != nil {
		manager.lose(shard, err)
		return
	}
	shard.confirmedAt = shard.silentSince
	shard.ledger.AcknowledgeCeilings(ceilings)
	manager.decideWaiters(shard)
	manager.write(shard)
}

// lose lets go of a shard that another node has claimed.
func (manager *Manager) lose(shard *shard, err error) {
	manager.logger.Info("shard lost", zap.Int("shard", shard.number), zap.Int64("epoch", shard.epoch), logging.Cause(err))
	manager.fire(shard, charts.OwnershipEventFenced)
	shard.ledger = nil
	shard.owner = Owner{}
	shard.writing = false
	waiting := shard.waiters
	shard.waiters = nil
	// Those that wait learn from the log who the owner is.
	for _, asked := range waiting {
		asked.ask.Claim = true
		manager.reserve(shard, asked)
	}
}
