package ledger

import (
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Escrow is the portion of a tier's budget held by one shard. The zero value is
// an empty escrow.
type Escrow struct {
	// granted and returned are cumulative totals, which never decrease.
	granted  Micros
	returned Micros
	// reserved is the sum of reservations for calls that are not yet settled.
	reserved Micros
	// spent is a cumulative total, which never decreases.
	spent Micros
}

// RestoreEscrow rebuilds an escrow from a snapshot record. It fails if the record
// violates the escrow's invariant.
func RestoreEscrow(record *shardv1.EscrowRecord) (*Escrow, *resultcode.Error) {
	escrow := &Escrow{
		granted:  Micros(record.GrantedMicros),
		returned: Micros(record.ReturnedMicros),
		reserved: Micros(record.ReservedMicros),
		spent:    Micros(record.SpentMicros),
	}
	if addSaturating(addSaturating(escrow.returned, escrow.reserved), escrow.spent) > escrow.granted {
		return nil, resultcode.New(resultcode.Internal,
			"invalid escrow record for tier %s/%s: returned, reserved and spent amounts exceed the granted total",
			record.Tenant, record.Tier)
	}
	return escrow, nil
}

// Record returns the escrow's snapshot record.
func (escrow *Escrow) Record(tenant, tier string) *shardv1.EscrowRecord {
	return &shardv1.EscrowRecord{
		Tenant:         tenant,
		Tier:           tier,
		GrantedMicros:  uint64(escrow.granted),
		ReturnedMicros: uint64(escrow.returned),
		ReservedMicros: uint64(escrow.reserved),
		SpentMicros:    uint64(escrow.spent),
	}
}

// Granted returns the highest granted total received from the account.
func (escrow *Escrow) Granted() Micros { return escrow.granted }

// Returned returns the total returned to the account.
func (escrow *Escrow) Returned() Micros { return escrow.returned }

// Reserved returns the amount reserved for calls that are not yet settled.
func (escrow *Escrow) Reserved() Micros { return escrow.reserved }

// Spent returns the total charged for calls.
func (escrow *Escrow) Spent() Micros { return escrow.spent }

// Available returns the amount that can be reserved or returned.
func (escrow *Escrow) Available() Micros {
	return escrow.granted - escrow.returned - escrow.reserved - escrow.spent
}

// Reserve reserves a call's worst-case cost. It fails with BudgetExhausted,
// without effect, if the escrow does not cover it; a top-up may resolve that.
func (escrow *Escrow) Reserve(worstCase Micros) *resultcode.Error {
	if worstCase > escrow.Available() {
		return resultcode.New(resultcode.BudgetExhausted,
			"the call may cost %d micros, but the shard's escrow of the tier's budget has only %d available",
			worstCase, escrow.Available())
	}
	escrow.reserved += worstCase
	return nil
}

// Settle replaces a reservation by the call's cost and returns the charge. The
// charge is capped at the reservation, so that a backend reporting excess usage
// cannot exceed the budget. A call with an unknown outcome is settled at its full
// reservation.
func (escrow *Escrow) Settle(reserved, cost Micros) (Micros, *resultcode.Error) {
	if reserved > escrow.reserved {
		return 0, resultcode.New(resultcode.Internal,
			"cannot settle a reservation of %d micros: only %d are reserved", reserved, escrow.reserved)
	}
	charge := min(cost, reserved)
	escrow.reserved -= reserved
	escrow.spent += charge
	return charge, nil
}

// Cancel releases the reservation of a call that did not run.
func (escrow *Escrow) Cancel(reserved Micros) *resultcode.Error {
	_, failure := escrow.Settle(reserved, 0)
	return failure
}

// RaiseGranted raises the granted total and reports whether it changed. Stale
// totals have no effect.
func (escrow *Escrow) RaiseGranted(total Micros) bool {
	if total <= escrow.granted {
		return false
	}
	escrow.granted = total
	return true
}

// RaiseReturned raises the returned total, giving up the difference. The change
// must be committed before the account is notified. It fails with BudgetExhausted,
// without effect, if the difference exceeds the available amount, for example
// because of an intervening reservation. A total that is not higher has no effect.
func (escrow *Escrow) RaiseReturned(total Micros) *resultcode.Error {
	if total <= escrow.returned {
		return nil
	}
	if total-escrow.returned > escrow.Available() {
		return resultcode.New(resultcode.BudgetExhausted,
			"cannot return %d micros: only %d are available", total-escrow.returned, escrow.Available())
	}
	escrow.returned = total
	return nil
}
