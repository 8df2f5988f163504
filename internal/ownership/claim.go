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

// initialSequenceRange is the size of the range from which a claim draws its first
// sequence number.
const initialSequenceRange = 1 << 40

// handoverTimeout bounds a handover request to the current owner.
const handoverTimeout = 150 * time.Millisecond

// claimResult is the state that a successful claim starts from.
type claimResult struct {
	epoch int64
	// sequence is that of the claim; later appends continue from it.
	sequence int64
	ledger   *spending.Ledger
	// replayedRecords and importedAccounts count the log records and the accounts from
	// the former owner that the ledger was built from.
	replayedRecords  int
	importedAccounts int
	allowance        spending.Allowance
	// oldestCeiling is when the oldest ceiling in the log was written; the claim's time if there is none.
	oldestCeiling time.Time
	// refusedEpoch is the highest epoch that the store has refused as too low. It is also set if the
	// claim failed.
	refusedEpoch int64
}

// ownedElsewhereError means that the owner named by the log keeps the shard.
type ownedElsewhereError struct{ owner Owner }

// Error implements error.
func (elsewhere *ownedElsewhereError) Error() string {
	return "shard is owned by node " + elsewhere.owner.Node
}

// claim starts a takeover of a shard on its own goroutine. finishClaim receives the result.
func (manager *Manager) claim(shard *shard) {
	manager.fire(shard, charts.OwnershipEventClaimWanted)
	start := time.Now()
	shard.claimStartedAt = start
	largestTurn := manager.largestTurnTokens
	refusedEpoch := shard.refusedEpoch
	go func() {
		ctx, cancel := context.WithTimeout(manager.context, claimTimeout)
		defer cancel()
		result, err := manager.takeOver(ctx, shard.number, largestTurn, refusedEpoch)
		manager.post(func() { manager.finishClaim(shard, result, err, time.Since(start)) })
	}()
}

func (manager *Manager) finishClaim(shard *shard, result claimResult, err error, took time.Duration) {
	if shard.phase != charts.OwnershipStateClaiming {
		return
	}
	if feature.Enabled(feature.RenewClaims) {
		shard.refusedEpoch = result.refusedEpoch
	}
	var elsewhere *ownedElsewhereError
	if errors.As(err, &elsewhere) {
		manager.logger.Info("shard owned elsewhere", zap.Int("shard", shard.number),
			zap.String("owner", elsewhere.owner.Node), zap.Int64("epoch", elsewhere.owner.Epoch))
		manager.fire(shard, charts.OwnershipEventClaimFailed)
		shard.owner = elsewhere.owner
		manager.refuseWaiters(shard, ReserveResult{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Owner: elsewhere.owner, Reason: "another node owns the shard"})
		return
	}
	if err != nil {
		manager.logger.Warn("claim failed", zap.Int("shard", shard.number), zap.Duration("took", took), logging.ErrorField(err))
		manager.fire(shard, charts.OwnershipEventClaimFailed)
		manager.lastClaimFailure = time.Now()
		manager.refuseWaiters(shard, ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNABLE, Reason: "the log fails this node's claim"})
		return
	}
	manager.logger.Info("shard claimed", zap.Int("shard", shard.number), zap.Int64("epoch", result.epoch),
		zap.Int("records", result.replayedRecords), zap.Int("handed_over", result.importedAccounts),
		zap.Int64("allowance_permille", result.allowance.Permille), zap.Int64("least_budget", result.allowance.MinBudget), zap.Duration("took", took))
	manager.fire(shard, charts.OwnershipEventClaimWon)
	shard.epoch = result.epoch
	shard.sequence = result.sequence
	shard.appendInFlight = false
	shard.ownedAsOf = shard.claimStartedAt
	shard.owner = Owner{Node: manager.self.Node, Epoch: result.epoch, Address: manager.self.Address}
	shard.ledger = result.ledger
	shard.allowance = result.allowance
	// Owners may follow each other faster than they renew, so what is due counts from the oldest record.
	shard.renewal = renewal{beganAt: result.oldestCeiling}
	if manager.renews() {
		shard.ledger.SetRetentionLimits(retentionLimits(manager.dependencies.LogRetention), shard.claimStartedAt, result.oldestCeiling)
	}
	manager.decideWaiters(shard)
}

// takeOver reads the shard's partition to its end and appends a claim. If another node
// appends in between, it reads on and retries.
func (manager *Manager) takeOver(ctx context.Context, number int, largestTurn, refusedEpoch int64) (claimResult, error) {
	partition := durable.Partition{Topic: Topic, Number: number}
	replay := newReplay(manager.log, partition)
	replay.refusedEpoch = refusedEpoch
	var lastErr error
	attempts, epochSearches := 0, 0
	for attempts < maxClaimAttempts && epochSearches < maxEpochSearches {
		result, err := manager.tryClaim(ctx, replay, largestTurn)
		result.refusedEpoch = replay.refusedEpoch
		result.oldestCeiling = replay.oldestCeiling(time.Now())
		var elsewhere *ownedElsewhereError
		if err == nil || errors.As(err, &elsewhere) {
			return result, err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, durable.ErrFenced) && feature.Enabled(feature.RenewClaims) {
			epochSearches++
			continue
		}
		attempts++
		if !errors.Is(err, durable.ErrConflict) {
			wait.Sleep(ctx, claimRetryDelay)
		}
	}
	return claimResult{refusedEpoch: replay.refusedEpoch}, lastErr
}

func (manager *Manager) tryClaim(ctx context.Context, replay *replay, largestTurn int64) (claimResult, error) {
	err := replay.readToEnd(ctx)
	if err != nil {
		return claimResult{}, err
	}
	if replay.owner.GetIncarnation() == manager.self.Incarnation && replay.claimSent {
		// An earlier attempt was appended although its response was lost.
		return replay.claimResult(replay.owner), nil
	}
	if manager.ownerKeepsShard(ctx, replay) {
		return claimResult{}, &ownedElsewhereError{owner: Owner{Node: replay.owner.Node, Epoch: replay.owner.Epoch, Address: replay.owner.Address}}
	}
	epoch := replay.nextEpoch()
	// The store treats an append with a known epoch and sequence number as a duplicate,
	// even from another node. Random first numbers keep two claimants of the same epoch
	// from colliding.
	sequence := rand.Int64N(initialSequenceRange)
	result, records := manager.buildClaim(replay, epoch, sequence, largestTurn)
	expectedEnd := replay.progress.NextOffset
	fence := durable.Fence{Producer: producer, Epoch: epoch, Sequence: sequence}
	replay.claimSent = true
	err = durable.Hedge(ctx, &manager.appendLatency, manager.log, replay.partition, func(ctx context.Context) error {
		_, err := manager.log.Append(ctx, replay.partition, records, durable.Condition{ExpectedEnd: &expectedEnd, Fence: &fence})
		return err
	})
	if errors.Is(err, durable.ErrFenced) || errors.Is(err, durable.ErrOutOfSequence) {
		// The store has seen a claim that is not in the records read: the log has dropped it.
		replay.refusedEpoch = epoch
	}
	return result, err
}

// buildClaim returns the records of a claim and the state to use once they are appended.
// The accounts handed over by the former owner are appended with the claim, so that they
// survive the loss of this node.
func (manager *Manager) buildClaim(replay *replay, epoch, sequence, largestTurn int64) (claimResult, [][]byte) {
	outstanding := replay.allowances
	closedEpoch := int64(0)
	ledger := spending.NewLedger(replay.ceilings, time.Now())
	var checkpoint []spending.Ceiling
	if replay.handoverEpoch != 0 && replay.handoverEpoch == replay.owner.GetEpoch() {
		closedEpoch = replay.handoverEpoch
		outstanding = withoutEpoch(outstanding, closedEpoch)
		ledger.ImportAccounts(replay.handoverAccounts, time.Now())
		checkpoint = ledger.Checkpoint()
	}
	allowance := spending.Allowance{}
	if feature.Enabled(feature.Allowances) {
		allowance = spending.ClaimAllowance(epoch, largestTurn, outstanding, manager.dependencies.SupportsSecondAllowance())
	}
	ledger.SetAllowances(allowance, outstanding)
	records := append([]*nodev1.SpendingRecord{manager.encodeClaim(epoch, sequence, allowance, outstanding, closedEpoch)}, encodeCeilings(checkpoint)...)
	result := claimResult{epoch: epoch, sequence: sequence, ledger: ledger, replayedRecords: replay.recordCount, importedAccounts: len(checkpoint), allowance: allowance}
	return result, marshal(records...)
}

// ownerKeepsShard asks the owner named by the log whether it keeps the shard. An owner that
// can't write to the log hands over its accounts instead; replay then holds them.
func (manager *Manager) ownerKeepsShard(ctx context.Context, replay *replay) bool {
	owner := replay.owner
	if owner == nil || owner.Incarnation == manager.self.Incarnation || replay.handoverEpoch == owner.Epoch {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := manager.dependencies.RequestHandover(bounded, owner, replay.partition.Number)
	if err != nil || reply.Incarnation != owner.Incarnation {
		return false
	}
	if reply.Yielded {
		replay.handoverEpoch = owner.Epoch
		replay.handoverAccounts = decodeAccounts(reply.Accounts)
	}
	return reply.Keeps
}
