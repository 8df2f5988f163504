package spending

import "github.com/magpielug/magpielug/internal/tenant"

// Allowance is what an owner may grant of every program's budget beyond the
// ceiling that the log has acknowledged. It stands in the owner's claim, so that a
// successor counts it for each program whether the log names the program or not.
// The zero value allows nothing.
type Allowance struct {
	// Epoch is the claim's.
	Epoch int64
	// Permille is the part of a budget, thousandths.
	Permille int64
	// MinBudget bounds the programs that it holds for: smaller budgets leave a
	// successor no room for a whole turn beside it.
	MinBudget int64
	// Second is true for one beside another that is outstanding. It holds only for programs
	// that the log names under its epoch or a later one: to all others it has granted nothing.
	Second bool
}

// wholeBudget is a budget in the unit of Permille.
const wholeBudget = 1000

// allowedPermille is what a claim allows. More lets more programs finish while
// the log is away; less leaves more to programs after the loss of all nodes.
const allowedPermille = 333

// NewAllowance returns what a claim allows where turns spend at most largest
// tokens: a turn of that size fits beside it.
func NewAllowance(epoch, largest int64) Allowance {
	return Allowance{
		Epoch:     epoch,
		Permille:  allowedPermille,
		MinBudget: largest*wholeBudget/(wholeBudget-allowedPermille) + 1,
	}
}

// largestFitsTimes is how many largest turns a budget holds for which a claim has a second
// allowance: one turn within it, and one in the third that both leave to successors.
const largestFitsTimes = 3

// ClaimAllowance returns what a claim allows beside the allowances of former owners that may
// have been used. Beside one it allows as much again, where second says that all nodes know
// how to count it: an owner that came after the loss of all nodes could else grant nothing
// while the log is away. Beside two it allows nothing.
//
// A second allowance is for programs that its owner has named in the log. To count it for
// those that begin under the next owner too would leave them a third of their budgets: a
// quarter of all programs then failed after further losses. What turns use of it ends below
// it (see covered): the turn that may go beyond an allowance is the one largest turn by which
// a budget may be passed, and the owner before may have granted it.
func ClaimAllowance(epoch, largest int64, outstanding []Allowance, second bool) Allowance {
	switch {
	case largest <= 0:
		return Allowance{}
	case len(outstanding) == 0:
		return NewAllowance(epoch, largest)
	case len(outstanding) == 1 && second:
		return Allowance{Epoch: epoch, Permille: allowedPermille, MinBudget: max(largestFitsTimes*largest+1, outstanding[0].MinBudget), Second: true}
	}
	return Allowance{}
}

// of returns what is allowed of a budget.
func (allowance Allowance) of(budget int64) int64 {
	if allowance.Permille == 0 || budget < allowance.MinBudget {
		return 0
	}
	// In two parts: a budget without a bound is too large to multiply.
	return budget/wholeBudget*allowance.Permille + budget%wholeBudget*allowance.Permille/wholeBudget
}

// SetAllowances tells a ledger that has granted nothing yet what its owner's claim
// allows, and which allowances of former owners are not known to be unused. The
// first must be what ClaimAllowance returned for the second.
func (ledger *Ledger) SetAllowances(own Allowance, outstanding []Allowance) {
	ledger.own = own
	ledger.outstanding = outstanding
}

// countOutstanding adds to an account what former owners may have granted beyond
// the ceiling that the log names. A budget that turns out larger adds the rest.
func (ledger *Ledger) countOutstanding(account *account, budget int64) (added int64) {
	if account.exact {
		return 0
	}
	allowed := int64(0)
	for _, allowance := range ledger.outstanding {
		if allowance.Epoch >= account.ceilingEpoch && allowance.heldFor(account) {
			allowed += allowance.of(budget)
		}
	}
	added = max(allowed-account.outstanding, 0)
	account.outstanding += added
	account.base += added
	account.doubt += added
	return added
}

// firstBeyond tells whether a turn that may go beyond the budget would be the first
// such turn of the program, over all owners. A turn beyond the budget is granted
// only once the log names it, and what it names is then over the budget. A former
// owner whose allowance is outstanding may therefore have granted the whole budget
// and no more; this ledger may add one turn to that, and nothing to it if it has
// granted any other.
func (ledger *Ledger) firstBeyond(account *account) bool {
	newest, held := ledger.newestOutstanding(account)
	switch {
	case held == 0:
		return account.total() <= account.budget
	case held > 1:
		// The owner of the first may have granted a turn beyond its allowance, which the
		// owner of the second did not know of.
		return false
	}
	granted := account.settled + account.openTotal + account.overdue
	named := account.base - account.outstanding
	return granted == 0 && named <= account.budget && !account.exact && account.ceilingEpoch <= newest
}

// heldFor tells whether an owner with the allowance may have granted anything under it to a
// program, by what the log names.
func (allowance Allowance) heldFor(account *account) bool {
	return !allowance.Second || account.ceilingEpoch >= allowance.Epoch
}

// newestOutstanding is the epoch of the newest outstanding allowance that holds for an
// account, and how many do.
func (ledger *Ledger) newestOutstanding(account *account) (newest int64, held int) {
	for _, allowance := range ledger.outstanding {
		if allowance.of(account.budget) > 0 && allowance.heldFor(account) {
			newest = max(newest, allowance.Epoch)
			held++
		}
	}
	return newest, held
}

// covered tells whether a turn may be granted under what the log has
// acknowledged. An allowance covers the turns that begin below it, a second one those that
// end below it.
func (ledger *Ledger) covered(account *account, most int64) bool {
	allowed := ledger.ownFor(account)
	if allowed > 0 && !ledger.own.Second {
		return account.total() <= account.ceiling+allowed
	}
	return account.total()+most <= account.ceiling+allowed
}

// ownFor is what this owner's allowance is for an account.
func (ledger *Ledger) ownFor(account *account) int64 {
	if ledger.own.Second && !account.written {
		return 0
	}
	return ledger.own.of(account.budget)
}

// renewShare of an allowance is what may be used before a higher ceiling is
// written behind the grants.
const renewShare = 0.5

// renew wants the ceiling written that gives an allowance back, once enough of it
// is used. total is what was counted before the turn that is being granted.
func (ledger *Ledger) renew(program tenant.Program, account *account, total int64) {
	allowed := ledger.ownFor(account)
	if total <= account.ceiling+int64(renewShare*float64(allowed)) || total <= account.wanted {
		return
	}
	account.wanted = total
	ledger.changed[program] = true
}
