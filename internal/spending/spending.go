// Package spending decides what agent programs may still spend, in tokens.
//
// A Ledger is the account book of one shard, kept by the shard's owner alone.
// It is a pure state machine without clock, lock or input and output. What it
// grants stays under ceilings that the log has acknowledged, and beyond them
// within the Allowance of the owner's claim. A new owner starts each program from
// its ceiling and the allowances that former owners may have used, so that one of
// them that was cut off and goes on can only use what has been counted already.
package spending

import (
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// Verdict is the answer to a request for tokens.
type Verdict int

// Verdicts.
const (
	// Granted: the tokens are reserved.
	Granted Verdict = iota
	// BudgetExhausted: the budget leaves no room for the turn at its most.
	BudgetExhausted
	// Undetermined: the budget may leave room, but a former owner may have used it.
	Undetermined
	// AwaitCeiling: granted as soon as a higher ceiling is acknowledged.
	AwaitCeiling
)

// aheadShare of the budget is what a new ceiling allows beyond the turn that
// needs it and one more of its size. More means fewer appends; less means that
// less is counted as spent when the owner is lost.
const aheadShare = 1.0 / 16

// doubtPatience is how long an account says that it is unsure, from the first time that it does.
const doubtPatience = 3 * time.Second

// Ceiling bounds what a program may have been granted.
type Ceiling struct {
	Program tenant.Program
	Tokens  int64
	// Settled is the part that is known to be spent. Open turns are no part of
	// it: their ends may never come to a successor.
	Settled int64
	// Epoch is that of the claim under which it was written.
	Epoch int64
}

// account is one program's.
type account struct {
	// base is what was counted when this owner took over; doubt is the part of
	// it of which it is not known whether it was used.
	base  int64
	doubt int64
	// doubtSince is when the newest part of the doubt began, doubtTold when its program was
	// first told of it since.
	doubtSince time.Time
	doubtTold  time.Time
	// settled is what turns that ended under this owner have spent.
	settled int64
	// open holds each turn that has not ended, by request.
	open      map[string]reservation
	openTotal int64
	// overdue is what turns may have spent whose end was never heard of. It is part
	// of base.
	overdue int64
	// ceiling is acknowledged, wanted the highest asked for.
	ceiling int64
	wanted  int64
	budget  int64
	used    time.Time
	// ceilingEpoch is that of the ceiling which the ledger started from, written is true once
	// the log has acknowledged one of this owner.
	ceilingEpoch int64
	written      bool
	// outstanding is the part of base that former owners' allowances account for;
	// exact accounts came from the former owner itself and have none.
	outstanding int64
	exact       bool
}

// reservation is a turn that has not ended: the most that it may spend, and when
// its time is over even where its end is never heard of.
type reservation struct {
	most  int64
	until time.Time
}

func (account *account) total() int64 { return account.base + account.settled + account.openTotal }

// known is what is spent for certain.
func (account *account) known() int64 { return account.base - account.doubt + account.settled }

// Ledger holds the accounts of a shard.
type Ledger struct {
	accounts map[tenant.Program]*account
	// changed holds the programs of which a ceiling is wanted.
	changed map[tenant.Program]bool
	// own and outstanding are allowances: this owner's, and those of former owners
	// that may have been used.
	own         Allowance
	outstanding []Allowance
}

// NewLedger returns a ledger that starts from the newest ceilings of the log.
func NewLedger(ceilings map[tenant.Program]Ceiling, now time.Time) *Ledger {
	ledger := &Ledger{accounts: make(map[tenant.Program]*account, len(ceilings)), changed: map[tenant.Program]bool{}}
	for program, ceiling := range ceilings {
		ledger.accounts[program] = &account{
			base:       ceiling.Tokens,
			doubt:      ceiling.Tokens - ceiling.Settled,
			doubtSince: now,
			open:       map[string]reservation{},
			ceiling:    ceiling.Tokens,
			wanted:     ceiling.Tokens,
			used:       now,

			ceilingEpoch: ceiling.Epoch,
		}
	}
	return ledger
}

func (ledger *Ledger) account(program tenant.Program) *account {
	found := ledger.accounts[program]
	if found == nil {
		found = ledger.accounts[program.WithoutTenant()].continued()
		ledger.accounts[program] = found
	}
	return found
}

// continued returns the account of a program that went on under a name without its
// tenant, at a node that knew no tenants: what may be spent there counts for each tenant
// with a program of that id.
func (unowned *account) continued() *account {
	fresh := &account{open: map[string]reservation{}}
	if unowned == nil {
		return fresh
	}
	fresh.base = unowned.total()
	fresh.doubt = unowned.doubt + unowned.openTotal
	fresh.doubtSince = unowned.doubtSince
	fresh.ceiling = unowned.ceiling
	fresh.wanted = unowned.wanted
	fresh.ceilingEpoch = unowned.ceilingEpoch
	fresh.outstanding = unowned.outstanding
	fresh.exact = unowned.exact
	return fresh
}

// ReserveRequest is a request for a turn's tokens.
type ReserveRequest struct {
	Program   tenant.Program
	RequestID string
	// Budget is the program's, Most what the turn may spend, tokens.
	Budget    int64
	MaxTokens int64
	// ExpiresAt is when the turn's time is over.
	ExpiresAt time.Time
}

// Reserve asks for a turn's most tokens under the program's budget. The same
// request may ask again; it reserves once.
func (ledger *Ledger) Reserve(order ReserveRequest, now time.Time) Verdict {
	program, budget, most := order.Program, order.Budget, order.MaxTokens
	account := ledger.account(program)
	account.used = now
	account.budget = budget
	if ledger.countOutstanding(account, budget) > 0 {
		account.doubtSince = now
	}
	if _, open := account.open[order.RequestID]; open {
		return Granted
	}
	needed := account.total() + most
	if needed > budget {
		verdict := ledger.overBudget(account, needed, now)
		if verdict != Granted {
			return verdict
		}
		if needed > account.ceiling {
			// A turn beyond the budget is granted once, over all owners: the log has
			// to name it first.
			ledger.want(program, account, needed)
			return AwaitCeiling
		}
	}
	if !ledger.covered(account, most) {
		ledger.raise(program, account, needed, most)
		return AwaitCeiling
	}
	account.open[order.RequestID] = reservation{most: most, until: order.ExpiresAt}
	account.openTotal += most
	if account.ceiling < needed+most {
		ledger.raise(program, account, needed, most)
	}
	return Granted
}

// overBudget decides where the turn at its most does not fit. The bound that
// holds is the budget and one largest turn. One turn that begins below the budget
// may go beyond it, and only for what is in doubt. A doubt that nothing has settled
// for doubtPatience never will be: it counts as spent from then on, so that a
// program that loops without end is stopped, and not told to come back for ever.
func (ledger *Ledger) overBudget(account *account, needed int64, now time.Time) Verdict {
	switch {
	case needed-account.doubt > account.budget:
		return BudgetExhausted
	case ledger.firstBeyond(account):
		return Granted
	case now.Sub(account.toldSince(now)) > doubtPatience:
		return BudgetExhausted
	}
	return Undetermined
}

// toldSince is when the program was first told of its newest doubt, now where it was not. The
// patience with a doubt begins with that, and not with the doubt itself: a program that its
// limit or a slow tool held back would be refused without ever having been told to come back.
func (account *account) toldSince(now time.Time) time.Time {
	if account.doubtTold.Before(account.doubtSince) || account.doubtTold.IsZero() {
		account.doubtTold = now
	}
	return account.doubtTold
}

// raise wants a ceiling for what is needed and some turns ahead. Where the owner
// has an allowance it wants one behind the grants instead.
func (ledger *Ledger) raise(program tenant.Program, account *account, needed, most int64) {
	if ledger.ownFor(account) > 0 {
		ledger.renew(program, account, needed-most)
		return
	}
	ahead := most + int64(aheadShare*float64(account.budget))
	// The room of a last turn stays out of it, so that a successor can grant one.
	next := max(min(needed+ahead, account.budget-most), needed)
	ledger.want(program, account, next)
}

// want asks for a ceiling to be written, unless one as high was asked for already.
func (ledger *Ledger) want(program tenant.Program, account *account, ceiling int64) {
	if ceiling > account.wanted {
		account.wanted = ceiling
		ledger.changed[program] = true
	}
}

// RequeueCeiling has a program's ceiling written once more, as it is.
func (ledger *Ledger) RequeueCeiling(program tenant.Program) {
	if ledger.accounts[program] != nil {
		ledger.changed[program] = true
	}
}

// Settle ends a turn that spent tokens. It returns false for an unknown request,
// which changes nothing: it was reserved with a former owner and is counted in
// the ceiling, or its reservation has not come yet.
func (ledger *Ledger) Settle(program tenant.Program, request string, tokens int64, now time.Time) bool {
	account := ledger.accounts[program]
	if account == nil {
		return false
	}
	turn, open := account.open[request]
	if !open {
		return false
	}
	delete(account.open, request)
	account.openTotal -= turn.most
	account.settled += tokens
	account.used = now
	return true
}

// ExpireTurns ends the turns whose time is over and of which no end was heard, at
// their most. What they have spent is in doubt from then on: their node may be
// gone, or may have been answered nothing.
func (ledger *Ledger) ExpireTurns(now time.Time) {
	for _, account := range ledger.accounts {
		for request, turn := range account.open {
			if now.After(turn.until) {
				delete(account.open, request)
				account.openTotal -= turn.most
				account.base += turn.most
				account.overdue += turn.most
				account.doubt += turn.most
				account.doubtSince = now
			}
		}
	}
}

// DrainPendingCeilings returns the ceilings to write and forgets that they are wanted.
func (ledger *Ledger) DrainPendingCeilings() []Ceiling {
	if len(ledger.changed) == 0 {
		return nil
	}
	wanted := make([]Ceiling, 0, len(ledger.changed))
	for program := range ledger.changed {
		account := ledger.accounts[program]
		wanted = append(wanted, Ceiling{Program: program, Tokens: account.wanted, Settled: account.known()})
	}
	clear(ledger.changed)
	return wanted
}

// AcknowledgeCeilings notes that the log has acknowledged ceilings.
func (ledger *Ledger) AcknowledgeCeilings(ceilings []Ceiling) {
	for _, written := range ceilings {
		account := ledger.accounts[written.Program]
		if account != nil {
			account.ceiling = max(account.ceiling, written.Tokens)
			account.written = true
		}
	}
}

// Expire drops accounts without an open turn that were not used since before.
func (ledger *Ledger) Expire(before time.Time) {
	for program, account := range ledger.accounts {
		if len(account.open) == 0 && account.used.Before(before) && !ledger.changed[program] {
			delete(ledger.accounts, program)
		}
	}
}

// Balance is what decided about a program.
type Balance struct {
	// Spent is counted beside the open turns, Doubt the part of it that may not
	// have been used, Open what open turns may use.
	Spent     int64
	Uncertain int64
	Reserved  int64
	Ceiling   int64
}

// Balance returns a program's, zero for one without an account.
func (ledger *Ledger) Balance(program tenant.Program) Balance {
	account := ledger.accounts[program]
	if account == nil {
		return Balance{}
	}
	return Balance{Spent: account.base + account.settled, Uncertain: account.doubt, Reserved: account.openTotal, Ceiling: account.ceiling}
}
