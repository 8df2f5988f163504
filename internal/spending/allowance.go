package spending

import (
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// Allowance is the amount that an owner may grant from every program's budget beyond
// the ceiling acknowledged by the log. It is part of the owner's claim, so that a
// successor charges it to each program, including programs that the log does not
// contain. The zero value allows nothing.
type Allowance struct {
	// Epoch is that of the claim.
	Epoch int64
	// Permille is the allowed share of a budget in thousandths.
	Permille int64
	// MinBudget is the smallest budget to which the allowance applies. A smaller
	// budget would not leave a successor enough for a whole turn.
	MinBudget int64
	// Second is true for an allowance granted while another is outstanding. It applies
	// only to programs with a ceiling in the log under its epoch or a later one.
	Second bool
}

// permilleBase is the denominator of Permille.
const permilleBase = 1000

const (
	// claimPermille is the allowance of a claim. A higher value lets more programs finish
	// while the log is unavailable; a lower one leaves more of each budget after the loss
	// of all nodes.
	claimPermille = 333
	// secondPermille is the allowance of a claim while another one is outstanding. What
	// both leave of a budget has to cover what a program uses and its open turns, or each
	// program under way is refused once the second owner is lost.
	secondPermille = 150
)

const (
	// AllowanceLease is how long after the beginning of its latest acknowledged append an owner may
	// grant under its allowance. An owner that is cut off from the log thus stops using it.
	AllowanceLease = 4 * time.Minute
	// AccountRetention is how long after its last use an account is kept. A program that returns
	// later counts as a new one.
	AccountRetention = 5 * time.Minute
	// clockMargin allows for the duration of a claim and for clocks that run at different rates.
	clockMargin = 30 * time.Second
	// outstandingPeriod is how long after a takeover a program that appears may have been granted
	// tokens under a former owner's allowance.
	outstandingPeriod = AllowanceLease + AccountRetention + clockMargin
)

// NewAllowance returns the allowance of a claim. Its MinBudget leaves room for one
// turn of largestTurn tokens beside the allowance.
func NewAllowance(epoch, largestTurn int64) Allowance {
	return Allowance{
		Epoch:     epoch,
		Permille:  claimPermille,
		MinBudget: largestTurn*permilleBase/(permilleBase-claimPermille) + 1,
	}
}

// minTurnsForSecondAllowance is how many turns of the largest size a budget must exceed
// for a second allowance. Both allowances together leave a successor more than one of them.
const minTurnsForSecondAllowance = 3

// ClaimAllowance returns the allowance of a new claim, given the outstanding allowances
// of former owners. With one outstanding, it returns a second allowance if
// secondSupported, that is if all nodes charge second allowances; with two, none. Without
// a second allowance, the owner that follows the loss of all nodes could grant nothing
// while the log is unavailable.
//
// A second allowance applies only to programs that its owner has named in the log, so
// that programs that begin under the next owner are charged the first one alone. Turns
// granted under it must end within it (see withinCeiling): only one turn may overrun a
// budget, and the former owner may have granted that turn.
func ClaimAllowance(epoch, largestTurn int64, outstanding []Allowance, secondSupported bool) Allowance {
	switch {
	case largestTurn <= 0:
		return Allowance{}
	case len(outstanding) == 0:
		return NewAllowance(epoch, largestTurn)
	case len(outstanding) == 1 && secondSupported:
		return Allowance{Epoch: epoch, Permille: secondPermille, MinBudget: max(minTurnsForSecondAllowance*largestTurn+1, outstanding[0].MinBudget), Second: true}
	}
	return Allowance{}
}

// tokensOf returns the tokens allowed for a budget.
func (allowance Allowance) tokensOf(budget int64) int64 {
	if allowance.Permille == 0 || budget < allowance.MinBudget {
		return 0
	}
	// Computed in two parts so that an unlimited budget does not overflow.
	return budget/permilleBase*allowance.Permille + budget%permilleBase*allowance.Permille/permilleBase
}

// SetAllowances sets the allowance of the owner's claim and the allowances of former
// owners that may have been used. It must be called before the first Reserve; own must
// be the result of ClaimAllowance for outstanding.
func (ledger *Ledger) SetAllowances(own Allowance, outstanding []Allowance) {
	ledger.ownAllowance = own
	ledger.outstandingAllowances = outstanding
}

// RenewAllowance extends the use of the owner's allowance: the log has acknowledged an append that
// began at a time.
func (ledger *Ledger) RenewAllowance(appendBegan time.Time) {
	until := appendBegan.Add(ledger.allowanceLease)
	if until.After(ledger.allowanceUntil) {
		ledger.allowanceUntil = until
	}
}

// outstandingFor returns the allowances of former owners that may have been used for an account:
// none if it appeared after they had ended.
func (ledger *Ledger) outstandingFor(account *account) []Allowance {
	if account.unknownToFormerOwners {
		return nil
	}
	return ledger.outstandingAllowances
}

// chargeOutstanding charges an account with the tokens that former owners may have
// granted beyond the logged ceiling, and returns the tokens added. If the budget grows,
// it charges the difference.
func (ledger *Ledger) chargeOutstanding(account *account, budget int64) (added int64) {
	if account.imported {
		return 0
	}
	allowed := int64(0)
	for _, allowance := range ledger.outstandingFor(account) {
		if allowance.Epoch >= account.ceilingEpoch && allowance.appliesTo(account) {
			allowed += allowance.tokensOf(budget)
		}
	}
	added = max(allowed-account.chargedAllowances, 0)
	account.chargedAllowances += added
	account.charged += added
	account.uncertain += added
	return added
}

// allowsOverrun reports whether a turn that may exceed the budget would be the
// program's first such turn under any owner. Such a turn is granted only after a
// ceiling above the budget has been logged for it. Without one, a former owner with an
// outstanding allowance has granted at most the budget. This ledger may then add one
// turn, provided that it has granted none before.
func (ledger *Ledger) allowsOverrun(account *account) bool {
	newestEpoch, count := ledger.newestOutstanding(account)
	switch {
	case count == 0:
		return account.total() <= account.budget
	case count > 1:
		// The owner with the first allowance may have granted a turn beyond it, unknown
		// to the owner with the second.
		return false
	}
	granted := account.settled + account.reserved + account.expired
	logged := account.charged - account.chargedAllowances
	return granted == 0 && logged <= account.budget && !account.imported && account.ceilingEpoch <= newestEpoch
}

// appliesTo reports whether an owner with the allowance may have used it for an account.
func (allowance Allowance) appliesTo(account *account) bool {
	return !allowance.Second || account.ceilingEpoch >= allowance.Epoch
}

// newestOutstanding returns the number of outstanding allowances that apply to an
// account, and the highest epoch among them.
func (ledger *Ledger) newestOutstanding(account *account) (epoch int64, count int) {
	for _, allowance := range ledger.outstandingFor(account) {
		if allowance.tokensOf(account.budget) > 0 && allowance.appliesTo(account) {
			epoch = max(epoch, allowance.Epoch)
			count++
		}
	}
	return epoch, count
}

// withinCeiling reports whether a turn may be granted under the acknowledged ceiling and
// the owner's allowance. A first allowance covers turns that begin within it, a second
// one those that end within it.
func (ledger *Ledger) withinCeiling(account *account, maxTokens int64) bool {
	allowed := ledger.ownAllowanceFor(account)
	if allowed > 0 && !ledger.ownAllowance.Second {
		return account.total() <= account.ceiling+allowed
	}
	return account.total()+maxTokens <= account.ceiling+allowed
}

// ceilingFor returns the ceiling under which a turn may be granted that is not within the current one.
// With an allowance it makes at least the tokens charged so far available again.
func (ledger *Ledger) ceilingFor(account *account, maxTokens int64) int64 {
	allowed := ledger.ownAllowanceFor(account)
	if allowed > 0 && !ledger.ownAllowance.Second {
		return account.total()
	}
	return account.total() + max(maxTokens-allowed, 0)
}

// ownAllowanceFor returns the tokens that the owner's allowance gives an account.
func (ledger *Ledger) ownAllowanceFor(account *account) int64 {
	if ledger.allowanceEnded || (ledger.ownAllowance.Second && !account.ceilingAcknowledged) {
		return 0
	}
	return ledger.ownAllowance.tokensOf(account.budget)
}

// renewalThreshold is the share of an allowance that may be used before a higher ceiling
// is requested.
const renewalThreshold = 0.5

// renewAllowance requests a ceiling that makes the whole allowance available again, once
// renewalThreshold of it is used.
func (ledger *Ledger) renewAllowance(program tenant.Program, account *account) {
	allowed := ledger.ownAllowanceFor(account)
	if account.total() > account.ceiling+int64(renewalThreshold*float64(allowed)) {
		ledger.requestCeiling(program, account, account.total())
	}
}
