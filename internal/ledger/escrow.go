package ledger

import (
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Escrow is the part of a tier's budget that one shard holds. The zero value
// holds nothing.
type Escrow struct {
	// granted and returned are totals and only rise.
	granted  Micros
	returned Micros
	// reserved is held for calls that have no final answer.
	reserved Micros
	// spent is a total and only rises.
	spent Micros
}

// RestoreEscrow returns the escrow of a snapshot's record, or an error where
// the record breaks the escrow's invariant.
func RestoreEscrow(record *shardv1.EscrowRecord) (*Escrow, *resultcode.Error) {
	escrow := &Escrow{
		granted:  Micros(record.GrantedMicros),
		returned: Micros(record.ReturnedMicros),
		reserved: Micros(record.ReservedMicros),
		spent:    Micros(record.SpentMicros),
	}
	if add(add(escrow.returned, escrow.reserved), escrow.spent) > escrow.granted {
		return nil, resultcode.New(resultcode.Internal,
			"escrow record of tier %s/%s holds more than was granted", record.Tenant, record.Tier)
	}
	return escrow, nil
}

// Record returns the escrow for a snapshot.
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

// Granted returns the total that the account is known to have granted.
func (escrow *Escrow) Granted() Micros { return escrow.granted }

// Returned returns the total that was given back.
func (escrow *Escrow) Returned() Micros { return escrow.returned }

// Reserved returns what is held for calls without a final answer.
func (escrow *Escrow) Reserved() Micros { return escrow.reserved }

// Spent returns the total that calls have cost.
func (escrow *Escrow) Spent() Micros { return escrow.spent }

// Available returns what can be reserved or given back.
func (escrow *Escrow) Available() Micros {
	return escrow.granted - escrow.returned - escrow.reserved - escrow.spent
}

// Reserve holds a call's worst case. It fails with BudgetExhausted, and changes
// nothing, where the escrow does not cover it; a top-up may help.
func (escrow *Escrow) Reserve(worstCase Micros) *resultcode.Error {
	if worstCase > escrow.Available() {
		return resultcode.New(resultcode.BudgetExhausted,
			"the call may cost %d micros, the shard's part of the tier's budget has %d", worstCase, escrow.Available())
	}
	escrow.reserved += worstCase
	return nil
}

// Settle replaces a reservation by the call's cost and returns what is charged:
// never more than was reserved, so that a back end that reports more than was
// asked for can't carry a budget over its bound. A call whose outcome is
// unknown is settled at its whole reservation.
func (escrow *Escrow) Settle(reserved, cost Micros) (Micros, *resultcode.Error) {
	if reserved > escrow.reserved {
		return 0, resultcode.New(resultcode.Internal,
			"a reservation of %d micros is settled, only %d are held", reserved, escrow.reserved)
	}
	charge := min(cost, reserved)
	escrow.reserved -= reserved
	escrow.spent += charge
	return charge, nil
}

// Cancel frees the reservation of a call that did not run.
func (escrow *Escrow) Cancel(reserved Micros) *resultcode.Error {
	_, failure := escrow.Settle(reserved, 0)
	return failure
}

// RaiseGranted takes the account's granted total in and reports whether it is
// news.
func (escrow *Escrow) RaiseGranted(total Micros) bool {
	if total <= escrow.granted {
		return false
	}
	escrow.granted = total
	return true
}

// RaiseReturned gives the difference to the returned total up. It must be
// committed before the account hears of it. It fails, and changes nothing,
// where less than that is available, since a reservation came first. A total
// that is not news succeeds and changes nothing.
func (escrow *Escrow) RaiseReturned(total Micros) *resultcode.Error {
	if total <= escrow.returned {
		return nil
	}
	if total-escrow.returned > escrow.Available() {
		return resultcode.New(resultcode.BudgetExhausted,
			"%d micros are to be given back, %d are available", total-escrow.returned, escrow.Available())
	}
	escrow.returned = total
	return nil
}
