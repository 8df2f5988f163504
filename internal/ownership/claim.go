package ownership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

// firstSequences is the number of sequence numbers that a claim may begin at.
const firstSequences = 1 << 40

// yieldTimeout is how long the owner that the log names may take to answer.
const yieldTimeout = 150 * time.Millisecond

// claimed is what a won claim brings.
type claimed struct {
	epoch int64
	// sequence is the claim's number; appends go on from there.
	sequence int64
	ledger   *spending.Ledger
	// records and handedOver are what the ledger was made from: records of the
	// log, and accounts of a former owner that has yielded.
	records    int
	handedOver int
	allowance  spending.Allowance
}

// ownedElsewhere says that the log names an owner that is left in place.
type ownedElsewhere struct{ owner Owner }

// Error implements error.
func (elsewhere *ownedElsewhere) Error() string {
	return "owned by " + elsewhere.owner.Node
}

// claim takes a shard over in a goroutine of its own, unless the log names an
// owner that keeps the shard.
func (manager *Manager) claim(shard *shard) {
	manager.fire(shard, charts.OwnershipEventClaimWanted)
	began := time.Now()
	shard.claimBegan = began
	largest := manager.largestTurn
	go func() {
		ctx, cancel := context.WithTimeout(manager.context, claimTimeout)
		defer cancel()
		won, err := manager.takeOver(ctx, shard.number, largest)
		manager.post(func() { manager.finishClaim(shard, won, err, time.Since(began)) })
	}()
}

func (manager *Manager) finishClaim(shard *shard, won claimed, err error, took time.Duration) {
	if shard.phase != charts.OwnershipStateClaiming {
		return
	}
	var elsewhere *ownedElsewhere
	if errors.As(err, &elsewhere) {
		manager.logger.Info("shard owned elsewhere", zap.Int("shard", shard.number),
			zap.String("owner", elsewhere.owner.Node), zap.Int64("epoch", elsewhere.owner.Epoch))
		manager.fire(shard, charts.OwnershipEventClaimFailed)
		shard.owner = elsewhere.owner
		manager.refuseWaiters(shard, ReserveResult{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Owner: elsewhere.owner, Reason: "another node owns the shard"})
		return
	}
	if err != nil {
		manager.logger.Warn("claim failed", zap.Int("shard", shard.number), zap.Duration("took", took), logging.Cause(err))
		manager.fire(shard, charts.OwnershipEventClaimFailed)
		manager.claimFailed = time.Now()
		manager.refuseWaiters(shard, ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNABLE, Reason: "the log fails this node's claim"})
		return
	}
	manager.logger.Info("shard claimed", zap.Int("shard", shard.number), zap.Int64("epoch", won.epoch),
		zap.Int("records", won.records), zap.Int("handed_over", won.handedOver),
		zap.Int64("allowance_permille", won.allowance.Permille), zap.Int64("least_budget", won.allowance.MinBudget), zap.Duration("took", took))
	manager.fire(shard, charts.OwnershipEventClaimWon)
	shard.epoch = won.epoch
	shard.sequence = won.sequence
	shard.writing = false
	shard.confirmedAt = shard.claimBegan
	shard.owner = Owner{Node: manager.self.Node, Epoch: won.epoch, Address: manager.self.Address}
	shard.ledger = won.ledger
	manager.decideWaiters(shard)
}

// takeOver reads the shard's partition to its end and claims it there. A round
// fails where another node appended in between; then it reads on.
func (manager *Manager) takeOver(ctx context.Context, number int, largest int64) (claimed, error) {
	partition := durable.Partition{Topic: Topic, Number: number}
	reading := newReplay(manager.log, partition)
	var failure error
	for range claimTries {
		won, err := manager.claimOnce(ctx, reading, largest)
		var elsewhere *ownedElsewhere
		if err == nil || errors.As(err, &elsewhere) {
			return won, err
		}
		failure = err
		if ctx.Err() != nil {
			break
		}
		if !errors.Is(err, durable.ErrConflict) {
			wait.Sleep(ctx, claimPause)
		}
	}
	return claimed{}, failure
}

func (manager *Manager) claimOnce(ctx context.Context, reading *replay, largest int64) (claimed, error) {
	err := reading.toEnd(ctx)
	if err != nil {
		return claimed{}, err
	}
	if reading.owner.GetIncarnation() == manager.self.Incarnation && reading.claimedHere {
		// An append of an earlier round was done though its answer was lost. The
		// records hold all that it said.
		return reading.won(reading.owner), nil
	}
	if manager.keeps(ctx, reading) {
		return claimed{}, &ownedElsewhere{owner: Owner{Node: reading.owner.Node, Epoch: reading.owner.Epoch, Address: reading.owner.Address}}
	}
	epoch := max(reading.highest, reading.refused) + 1
	// The store answers an append that repeats another's epoch and number as if
	// it were the same one. Two claimants of one epoch must therefore not begin
	// at the same number.
	sequence := rand.Int64N(firstSequences)
	won, records := manager.draft(reading, epoch, sequence, largest)
	at := reading.next
	fence := durable.Fence{Producer: producer, Epoch: epoch, Sequence: sequence}
	reading.claimedHere = true
	err = durable.Hedge(ctx, &manager.pace, func(ctx context.Context) error {
		_, err := manager.log.Append(ctx, reading.partition, records, durable.Condition{ExpectedEnd: &at, Fence: &fence})
		return err
	})
	if errors.Is(err, durable.ErrFenced) || errors.Is(err, durable.ErrOutOfSequence) {
		// A claim that is not in the records yet; go beyond it.
		reading.refused = epoch
	}
	return won, err
}

// draft returns a claim's records, and what it brings once the log has taken
// them. The accounts of an owner that has yielded are written with the claim, so
// that they are not lost with the claimant.
func (manager *Manager) draft(reading *replay, epoch, sequence, largest int64) (claimed, [][]byte) {
	outstanding := reading.allowances
	closes := int64(0)
	ledger := spending.NewLedger(reading.ceilings, time.Now())
	var handed []spending.Ceiling
	if reading.yieldedEpoch != 0 && reading.yieldedEpoch == reading.owner.GetEpoch() {
		closes = reading.yieldedEpoch
		outstanding = without(outstanding, closes)
		ledger.ImportAccounts(reading.accounts, time.Now())
		handed = ledger.Checkpoint()
	}
	allowance := spending.Allowance{}
	if feature.Enabled(feature.Allowances) {
		allowance = spending.ClaimAllowance(epoch, largest, outstanding, manager.around.CountsSecondAllowance())
	}
	ledger.SetAllowances(allowance, outstanding)
	records := append([]*nodev1.SpendingRecord{encodeClaim(manager.self, epoch, sequence, allowance, closes)}, encodeCeilings(handed)...)
	won := claimed{epoch: epoch, sequence: sequence, ledger: ledger, records: reading.records, handedOver: len(handed), allowance: allowance}
	return won, marshal(records...)
}

// keeps asks the owner that the log names whether it keeps the shard. An owner
// that can't write hands its accounts over instead.
func (manager *Manager) keeps(ctx context.Context, reading *replay) bool {
	owner := reading.owner
	if owner == nil || owner.Incarnation == manager.self.Incarnation || reading.yieldedEpoch == owner.Epoch {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	reply, err := manager.around.RequestHandover(bounded, owner, reading.partition.Number)
	if err != nil || reply.Incarnation != owner.Incarnation {
		return false
	}
	if reply.Yielded {
		reading.yieldedEpoch = owner.Epoch
		reading.accounts = decodeAccounts(reply.Accounts)
	}
	return reply.Keeps
}
