package ownership

import (
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
)

// Renewal: an owner writes its claim and its ceilings again before the log drops them. A successor would
// otherwise find neither, know nothing of what was spent, and have to guess the epoch.
const (
	// renewalDivisor is the time between two renewals as a divisor of the log's retention. After the loss of an
	// owner, what it wrote stays readable for at least three quarters of the retention.
	renewalDivisor = 4
	// allowanceLeaseDivisor is how long an owner that can't write may use its allowance, as a divisor
	// of the retention: it ends before the log drops the claim that names the allowance.
	allowanceLeaseDivisor = 2
	// maxCeilingsPerRenewal bounds the ceilings of one append, whose size the store limits.
	maxCeilingsPerRenewal = 20 * maxCeilingsPerRecord
)

// retentionLimits returns the limits for a ledger, given the log's retention.
func retentionLimits(retention time.Duration) spending.RetentionLimits {
	return spending.RetentionLimits{
		AllowanceLease: retention / allowanceLeaseDivisor,
		CeilingLease:   retention - retention/renewalDivisor,
	}
}

// renewal is the renewal in progress or the latest one of a shard that this node owns.
type renewal struct {
	// beganAt is when the latest renewal that has completed began, or when the oldest ceiling was written
	// that this owner has found in the log.
	beganAt time.Time
	// startedAt is when the one in progress began, zero if there is none.
	startedAt time.Time
	// programs are those whose ceilings are yet to be written.
	programs []tenant.Program
}

// renews reports whether this node renews what it has written.
func (manager *Manager) renews() bool {
	return manager.dependencies.LogRetention > 0 && feature.Enabled(feature.RenewClaims)
}

// startRenewals starts the renewals that are due.
func (manager *Manager) startRenewals(now time.Time) {
	for _, shard := range manager.shards {
		if manager.renewalDue(shard, now) {
			manager.appendPending(shard)
		}
	}
}

func (manager *Manager) renewalDue(shard *shard, now time.Time) bool {
	return manager.renews() && shard.phase == charts.OwnershipStateOwned &&
		(!shard.renewal.startedAt.IsZero() || now.Sub(shard.renewal.beganAt) >= manager.dependencies.LogRetention/renewalDivisor)
}

// renewalRecords returns the next records of a renewal that is due, none otherwise: first the claim, then
// the ceilings as they are in the log at this time.
func (manager *Manager) renewalRecords(shard *shard, now time.Time) []*nodev1.SpendingRecord {
	if !manager.renewalDue(shard, now) {
		return nil
	}
	var records []*nodev1.SpendingRecord
	if shard.renewal.startedAt.IsZero() {
		shard.renewal.startedAt = now
		shard.renewal.programs = shard.ledger.Programs()
		records = append(records, manager.encodeClaim(shard.epoch, shard.sequence, shard.allowance, shard.ledger.OutstandingAllowances(now), 0))
	}
	count := min(len(shard.renewal.programs), maxCeilingsPerRenewal)
	ceilings := shard.ledger.LoggedCeilings(shard.renewal.programs[:count])
	shard.renewal.programs = shard.renewal.programs[count:]
	return append(records, encodeRenewedCeilings(ceilings)...)
}

// encodeRenewedCeilings returns the records of ceilings, those of former epochs apart.
func encodeRenewedCeilings(ceilings []spending.Ceiling) []*nodev1.SpendingRecord {
	var own, earlier []spending.Ceiling
	for _, ceiling := range ceilings {
		if ceiling.Epoch == 0 {
			own = append(own, ceiling)
		} else {
			earlier = append(earlier, ceiling)
		}
	}
	records := encodeCeilings(own)
	for _, record := range encodeCeilings(earlier) {
		records = append(records, &nodev1.SpendingRecord{Earlier: record.Ceilings})
	}
	return records
}

// finishRenewal completes the renewal in progress once all of its records are acknowledged.
func (shard *shard) finishRenewal() {
	if shard.renewal.startedAt.IsZero() || len(shard.renewal.programs) > 0 {
		return
	}
	shard.renewal.beganAt = shard.renewal.startedAt
	shard.renewal.startedAt = time.Time{}
	shard.ledger.RenewCeilings(shard.renewal.beganAt)
}
