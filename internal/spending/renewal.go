package spending

import (
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// This file holds what an owner writes again before the log drops it, and how long it may grant by
// what it has written.

// RetentionLimits bound the use of what the log holds, for a log that drops old records.
type RetentionLimits struct {
	// AllowanceLease replaces AllowanceLease if it is shorter.
	AllowanceLease time.Duration
	// CeilingLease is how long after a renewal ceilings may be granted by without another one.
	CeilingLease time.Duration
}

// SetRetentionLimits sets the limits of a log that drops old records. claimed is when the owner's claim
// began, renewed when the oldest of the ceilings that the log holds was written. It must be called before
// the first Reserve.
func (ledger *Ledger) SetRetentionLimits(limits RetentionLimits, claimed, renewed time.Time) {
	ledger.allowanceLease = min(ledger.allowanceLease, limits.AllowanceLease)
	ledger.allowanceUntil = claimed.Add(ledger.allowanceLease)
	ledger.ceilingLease = limits.CeilingLease
	ledger.ceilingsUntil = renewed.Add(limits.CeilingLease)
}

// RenewCeilings extends the use of ceilings: the log has acknowledged a renewal that began at a time.
func (ledger *Ledger) RenewCeilings(began time.Time) {
	if until := began.Add(ledger.ceilingLease); until.After(ledger.ceilingsUntil) {
		ledger.ceilingsUntil = until
	}
}

// ceilingsEnded reports whether the log may have dropped the ceilings that this owner grants by.
func (ledger *Ledger) ceilingsEnded(now time.Time) bool {
	return ledger.ceilingLease > 0 && now.After(ledger.ceilingsUntil)
}

// Programs returns the programs with an account.
func (ledger *Ledger) Programs() []tenant.Program {
	programs := make([]tenant.Program, 0, len(ledger.accounts))
	for program := range ledger.accounts {
		programs = append(programs, program)
	}
	return programs
}

// LoggedCeilings returns the ceilings that the log holds for programs, as they were written: under this
// owner's epoch, which is 0 here, or under a former owner's.
func (ledger *Ledger) LoggedCeilings(programs []tenant.Program) []Ceiling {
	var ceilings []Ceiling
	for _, program := range programs {
		account := ledger.accounts[program]
		switch {
		case account == nil || account.ceiling == 0:
		case account.ceilingAcknowledged || account.imported:
			ceilings = append(ceilings, Ceiling{Program: program, Tokens: account.ceiling, Settled: min(account.knownSpent(), account.ceiling)})
		default:
			ceilings = append(ceilings, Ceiling{Program: program, Tokens: account.ceiling, Settled: account.loggedSettled, Epoch: account.ceilingEpoch})
		}
	}
	return ceilings
}

// OutstandingAllowances returns the allowances of former owners that a successor has to charge. Once they
// have ended for new programs, they are charged only to accounts that the log does not name under this
// owner. Ceilings of these are requested then, and there are none left when those are acknowledged.
func (ledger *Ledger) OutstandingAllowances(now time.Time) []Allowance {
	if !now.After(ledger.outstandingUntil) {
		return ledger.outstandingAllowances
	}
	var unnamed bool
	for program, account := range ledger.accounts {
		if account.chargedAllowances > 0 && !account.ceilingAcknowledged && !account.imported {
			unnamed = true
			ledger.requestCeiling(program, account, max(account.total(), account.requestedCeiling+1))
		}
	}
	if unnamed {
		return ledger.outstandingAllowances
	}
	return nil
}
