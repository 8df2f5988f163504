package ownership

import (
	"context"
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	"google.golang.org/protobuf/proto"
)

// replay reads a shard's partition from its first record and holds the resulting state
// and the progress of one takeover.
type replay struct {
	log       durable.Log
	partition durable.Partition
	progress  durable.ReadProgress
	// highestEpoch is that of the latest claim read, refusedEpoch the last one rejected by
	// the store.
	highestEpoch int64
	refusedEpoch int64
	recordCount  int
	ceilings     map[tenant.Program]spending.Ceiling
	// allowances are those of owners that have not written a final checkpoint.
	allowances []spending.Allowance
	// owner is the latest claim, nil if there is none.
	owner *nodev1.Claim
	// handoverAccounts were handed over by the owner of handoverEpoch.
	handoverAccounts []spending.Account
	handoverEpoch    int64
	// claimSent is true once this takeover has sent a claim.
	claimSent bool
}

func newReplay(log durable.Log, partition durable.Partition) *replay {
	return &replay{log: log, partition: partition, ceilings: map[tenant.Program]spending.Ceiling{}}
}

// claimResult returns the result of a claim that is already part of the records read.
func (replay *replay) claimResult(claim *nodev1.Claim) claimResult {
	allowance := allowanceOf(claim)
	ledger := spending.NewLedger(replay.ceilings, time.Now())
	ledger.SetAllowances(allowance, withoutEpoch(replay.allowances, claim.Epoch))
	return claimResult{epoch: claim.Epoch, sequence: claim.Sequence, ledger: ledger, replayedRecords: replay.recordCount, allowance: allowance}
}

// nextEpoch returns the epoch of the next attempt to claim the shard. The store does not name the epoch
// that it has seen when it refuses one, so refused epochs are doubled: the number of attempts grows
// with the logarithm of the number of owners whose claims have left the log.
func (replay *replay) nextEpoch() int64 {
	if replay.refusedEpoch > replay.highestEpoch && feature.Enabled(feature.RenewClaims) {
		return 2 * replay.refusedEpoch
	}
	return max(replay.highestEpoch, replay.refusedEpoch) + 1
}

// withoutEpoch returns the allowances except that of an epoch.
func withoutEpoch(allowances []spending.Allowance, epoch int64) []spending.Allowance {
	return slices.DeleteFunc(slices.Clone(allowances), func(allowance spending.Allowance) bool { return allowance.Epoch == epoch })
}

// readToEnd applies the records up to the partition's end.
func (replay *replay) readToEnd(ctx context.Context) error {
	progress, err := durable.ReadToEnd(ctx, replay.log, replay.partition, replay.progress, replay.apply)
	replay.progress = progress
	return err
}

func (replay *replay) apply(_ int64, content []byte) {
	replay.recordCount++
	var record nodev1.SpendingRecord
	if proto.Unmarshal(content, &record) != nil {
		return
	}
	if record.Claim != nil && record.Claim.Epoch >= replay.highestEpoch {
		replay.applyClaim(record.Claim)
	}
	for _, ceiling := range record.Ceilings {
		replay.applyCeiling(ceiling, replay.highestEpoch)
	}
	for _, ceiling := range record.Earlier {
		replay.applyCeiling(ceiling, ceiling.Epoch)
	}
	if record.Closed {
		replay.allowances = withoutEpoch(replay.allowances, replay.highestEpoch)
	}
}

// applyCeiling applies a ceiling that was set under an epoch.
func (replay *replay) applyCeiling(ceiling *nodev1.Ceiling, epoch int64) {
	program := tenant.Program{Tenant: ceiling.Tenant, ID: ceiling.Program}
	replay.ceilings[program] = spending.Ceiling{
		Program: program,
		Tokens:  ceiling.Tokens,
		Settled: ceiling.Settled,
		Epoch:   epoch,

		WrittenAt: time.UnixMilli(ceiling.WrittenUnixMs),
	}
}

// oldestCeiling returns when the oldest ceiling that still applies was written, at most limit.
func (replay *replay) oldestCeiling(limit time.Time) time.Time {
	oldest := limit
	for _, ceiling := range replay.ceilings {
		if ceiling.WrittenAt.Before(oldest) {
			oldest = ceiling.WrittenAt
		}
	}
	return oldest
}

// applyClaim applies a claim, or the copy of it that its owner has written last.
func (replay *replay) applyClaim(claim *nodev1.Claim) {
	replay.highestEpoch = claim.Epoch
	replay.owner = claim
	replay.allowances = withoutEpoch(withoutEpoch(replay.allowances, claim.ClosesEpoch), claim.Epoch)
	if claim.ListsOutstanding {
		replay.allowances = outstandingOf(claim)
	}
	if claim.AllowancePermille > 0 {
		replay.allowances = append(replay.allowances, allowanceOf(claim))
	}
}
