// Package spending enforces the token budgets of agent programs.
//
// A Ledger holds the accounts of one shard and is used by the shard's owner alone. It is
// a state machine without a clock, locks or I/O. It grants tokens up to ceilings that
// the log has acknowledged, and beyond them within the Allowance of the owner's claim. A
// new owner starts each program from its logged ceiling plus the outstanding allowances
// of former owners, so that a partitioned former owner that continues to grant uses only
// tokens that are already charged.
package spending

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// Verdict is the result of a reservation.
type Verdict int

// Verdicts.
const (
	// Granted means that the tokens are reserved.
	Granted Verdict = iota
	// BudgetExhausted means that the budget does not cover the turn's maximum.
	BudgetExhausted
	// Undetermined means that the budget may cover the turn, unless a former owner has
	// used the tokens.
	Undetermined
	// AwaitCeiling means that the turn can be granted once a higher ceiling is
	// acknowledged.
	AwaitCeiling
)

// Unlimited is the budget of a program without a limit.
const Unlimited = math.MaxInt64 / 4

// uncertaintyTimeout is how long an account returns Undetermined after the first time.
const uncertaintyTimeout = 3 * time.Second

// Ceiling is the upper bound on the tokens granted to a program.
type Ceiling struct {
	Program tenant.Program
	Tokens  int64
	// Settled is the part known to be spent. It excludes open turns, as a successor may
	// never receive their settlement.
	Settled int64
	// Epoch is that of the claim under which the ceiling was logged.
	Epoch int64
	// WrittenAt is when it was logged last; zero for one that is yet to be logged.
	WrittenAt time.Time
}

// account is the state of one program.
type account struct {
	// charged is the number of tokens charged for the time before this owner's takeover and
	// for turns that expired after it. uncertain is how many of them may not have been
	// used.
	charged   int64
	uncertain int64
	// uncertainSince is when uncertain last grew; uncertainReportedAt is when Undetermined
	// was first returned after that.
	uncertainSince      time.Time
	uncertainReportedAt time.Time
	// settled is the spending of turns settled under this owner.
	settled int64
	// openTurns holds the turns that have not ended, by request id.
	openTurns map[string]reservation
	reserved  int64
	// turnsGranted is how many turns this owner has granted.
	turnsGranted int64
	// expired is the maximum of turns that expired without a settlement. It is included
	// in charged.
	expired int64
	// ceiling is the token ceiling that the log has acknowledged, requestedCeiling the
	// one last requested from it.
	ceiling          int64
	requestedCeiling int64
	budget           int64
	lastUsed         time.Time
	// ceilingEpoch is that of the ceiling at the takeover. ceilingAcknowledged is true once
	// the log has acknowledged a ceiling of this owner.
	ceilingEpoch        int64
	ceilingAcknowledged bool
	// loggedSettled is the Settled of the ceiling at the takeover.
	loggedSettled int64
	// chargedAllowances is the part of charged that stands for former owners' allowances. It is
	// not charged to accounts imported from the former owner.
	chargedAllowances int64
	imported          bool
	// unknownToFormerOwners is true for a program that appeared after the allowances of former
	// owners had ended.
	unknownToFormerOwners bool
}

// reservation is an open turn. It expires at expiresAt if it is not settled.
type reservation struct {
	maxTokens int64
	expiresAt time.Time
}

func (account *account) total() int64 { return account.charged + account.settled + account.reserved }

func (account *account) knownSpent() int64 {
	return account.charged - account.uncertain + account.settled
}

// Ledger holds the accounts of a shard. It is not safe for concurrent use.
type Ledger struct {
	accounts map[tenant.Program]*account
	// pendingCeilings holds the programs whose requested ceiling is to be written.
	pendingCeilings map[tenant.Program]bool
	// ownAllowance is this owner's. outstandingAllowances are those of former owners that
	// may have been used.
	ownAllowance          Allowance
	outstandingAllowances []Allowance
	// outstandingUntil is when programs that appear can no longer have used an outstanding
	// allowance, allowanceUntil when ownAllowance ends unless it is renewed.
	outstandingUntil time.Time
	allowanceUntil   time.Time
	// allowanceLease is how long ownAllowance may be used after an acknowledged append.
	allowanceLease time.Duration
	// ceilingLease is how long ceilings may be granted by after a renewal, 0 if the log keeps them, and
	// ceilingsUntil when that ends.
	ceilingLease  time.Duration
	ceilingsUntil time.Time
	// allowanceEnded is true if ownAllowance had ended at the latest Reserve.
	allowanceEnded bool
}

// NewLedger returns a ledger that starts from the latest logged ceilings.
func NewLedger(ceilings map[tenant.Program]Ceiling, now time.Time) *Ledger {
	ledger := &Ledger{accounts: make(map[tenant.Program]*account, len(ceilings)), pendingCeilings: map[tenant.Program]bool{},
		outstandingUntil: now.Add(outstandingPeriod), allowanceUntil: now.Add(AllowanceLease), allowanceLease: AllowanceLease}
	for program, ceiling := range ceilings {
		ledger.accounts[program] = &account{
			charged:          ceiling.Tokens,
			uncertain:        ceiling.Tokens - ceiling.Settled,
			uncertainSince:   now,
			openTurns:        map[string]reservation{},
			ceiling:          ceiling.Tokens,
			requestedCeiling: ceiling.Tokens,
			// A former owner that is cut off may serve the program for that long.
			lastUsed:      now.Add(AllowanceLease),
			ceilingEpoch:  ceiling.Epoch,
			loggedSettled: ceiling.Settled,
		}
	}
	return ledger
}

func (ledger *Ledger) account(program tenant.Program, now time.Time) *account {
	found := ledger.accounts[program]
	if found == nil {
		legacy := ledger.accounts[program.WithoutTenant()]
		found = legacy.newTenantAccount()
		if legacy == nil {
			found.unknownToFormerOwners = now.After(ledger.outstandingUntil)
		}
		ledger.accounts[program] = found
	}
	return found
}

// newTenantAccount returns a new account for a tenant's program. The spending recorded by
// nodes without tenant support, under the program id alone, is charged to every tenant
// with a program of that id. The receiver is nil if there is none.
func (legacy *account) newTenantAccount() *account {
	created := &account{openTurns: map[string]reservation{}}
	if legacy == nil {
		return created
	}
	created.charged = legacy.total()
	created.uncertain = legacy.uncertain + legacy.reserved
	created.uncertainSince = legacy.uncertainSince
	created.ceiling = legacy.ceiling
	created.requestedCeiling = legacy.requestedCeiling
	created.ceilingEpoch = legacy.ceilingEpoch
	created.loggedSettled = legacy.loggedSettled
	created.chargedAllowances = legacy.chargedAllowances
	created.imported = legacy.imported
	created.unknownToFormerOwners = legacy.unknownToFormerOwners
	return created
}

// ReserveRequest is a request for a turn's tokens.
type ReserveRequest struct {
	Program   tenant.Program
	RequestID string
	// Budget is that of the program, MaxTokens the maximum of the turn, both in tokens.
	Budget    int64
	MaxTokens int64
	// ExpiresAt is when the reservation expires if it is not settled.
	ExpiresAt time.Time
}

// Reserve reserves a turn's maximum under the program's budget. It is idempotent for
// requests with the same id.
func (ledger *Ledger) Reserve(request ReserveRequest, now time.Time) Verdict {
	program, budget, maxTokens := request.Program, request.Budget, request.MaxTokens
	account := ledger.account(program, now)
	ledger.allowanceEnded = now.After(ledger.allowanceUntil)
	account.lastUsed = now
	account.budget = budget
	if _, open := account.openTurns[request.RequestID]; open {
		return Granted
	}
	if budget >= Unlimited {
		account.open(request)
		return Granted
	}
	if ledger.chargeOutstanding(account, budget) > 0 {
		account.uncertainSince = now
	}
	needed := account.total() + maxTokens
	if needed > budget {
		verdict := ledger.decideOverBudget(account, needed, now)
		if verdict != Granted {
			return verdict
		}
		if needed > account.ceiling {
			// Only one turn may exceed the budget under all owners, so its ceiling must be
			// logged before it is granted.
			ledger.requestCeiling(program, account, needed)
			return AwaitCeiling
		}
	}
	if ledger.ceilingsEnded(now) {
		ledger.RequeueCeiling(program)
		return AwaitCeiling
	}
	if !ledger.withinCeiling(account, maxTokens) {
		ledger.requestCeiling(program, account, ledger.ceilingFor(account, maxTokens))
		return AwaitCeiling
	}
	ledger.renewAllowance(program, account)
	account.open(request)
	return Granted
}

// open adds a granted turn.
func (account *account) open(request ReserveRequest) {
	account.openTurns[request.RequestID] = reservation{maxTokens: request.MaxTokens, expiresAt: request.ExpiresAt}
	account.reserved += request.MaxTokens
	account.turnsGranted++
}

// decideOverBudget decides about a turn whose maximum exceeds the remaining budget. Total
// spending is bounded by the budget plus one turn. One turn that begins within the budget
// may exceed it, and only by uncertain spending. Spending that is still uncertain after
// uncertaintyTimeout counts as used, so that a program that retries forever is stopped.
func (ledger *Ledger) decideOverBudget(account *account, needed int64, now time.Time) Verdict {
	switch {
	case needed-account.uncertain > account.budget:
		return BudgetExhausted
	case ledger.allowsOverrun(account):
		return Granted
	case now.Sub(account.firstReportedUncertain(now)) > uncertaintyTimeout:
		return BudgetExhausted
	}
	return Undetermined
}

// firstReportedUncertain returns when the program was first told of its current uncertain
// spending, now if it has not been. uncertaintyTimeout runs from this time and not from
// uncertainSince: a program that was delayed would otherwise be refused without having
// been told to retry.
func (account *account) firstReportedUncertain(now time.Time) time.Time {
	if account.uncertainReportedAt.Before(account.uncertainSince) || account.uncertainReportedAt.IsZero() {
		account.uncertainReportedAt = now
	}
	return account.uncertainReportedAt
}

// prepareNextTurn requests the ceiling of a turn as large as the one that has ended, for a program that
// can't be granted turns beyond its ceiling: the next turn then need not wait for the log. A ceiling
// stands for what was granted once its owner is lost, so it covers no further turn.
func (ledger *Ledger) prepareNextTurn(program tenant.Program, account *account, maxTokens int64) {
	ceiling := account.total() + maxTokens
	// Leaves room for one last turn, so that a successor can grant it.
	if account.budget >= Unlimited || ledger.ownAllowanceFor(account) > 0 || ceiling+maxTokens > account.budget {
		return
	}
	ledger.requestCeiling(program, account, ceiling)
}

// requestCeiling requests that a ceiling be written, unless one as high has been requested.
func (ledger *Ledger) requestCeiling(program tenant.Program, account *account, ceiling int64) {
	if ceiling > account.requestedCeiling {
		account.requestedCeiling = ceiling
		ledger.pendingCeilings[program] = true
	}
}

// RequeueCeiling requests that a program's ceiling be written again. It covers all that is charged: a
// successor does not charge the allowances of former owners to an account with a ceiling of this one.
func (ledger *Ledger) RequeueCeiling(program tenant.Program) {
	account := ledger.accounts[program]
	if account == nil {
		return
	}
	account.requestedCeiling = max(account.requestedCeiling, account.total())
	ledger.pendingCeilings[program] = true
}

// Settle ends a turn that spent tokens. It returns false and changes nothing if the
// request is unknown: either a former owner reserved it and its tokens are part of the
// ceiling, or its reservation has not arrived yet.
func (ledger *Ledger) Settle(program tenant.Program, requestID string, tokens int64, now time.Time) bool {
	account := ledger.accounts[program]
	if account == nil {
		return false
	}
	turn, open := account.openTurns[requestID]
	if !open {
		return false
	}
	delete(account.openTurns, requestID)
	account.reserved -= turn.maxTokens
	account.settled += tokens
	account.lastUsed = now
	ledger.prepareNextTurn(program, account, turn.maxTokens)
	return true
}

// ExpireTurns ends the turns that have expired and charges their maximum as uncertain
// spending: the node that ran a turn may have been lost or may not have received the grant.
func (ledger *Ledger) ExpireTurns(now time.Time) {
	for _, account := range ledger.accounts {
		for requestID, turn := range account.openTurns {
			if now.After(turn.expiresAt) {
				delete(account.openTurns, requestID)
				account.reserved -= turn.maxTokens
				account.charged += turn.maxTokens
				account.expired += turn.maxTokens
				account.uncertain += turn.maxTokens
				account.uncertainSince = now
			}
		}
	}
}

// DrainPendingCeilings returns the ceilings to write and clears the list of them.
func (ledger *Ledger) DrainPendingCeilings() []Ceiling {
	if len(ledger.pendingCeilings) == 0 {
		return nil
	}
	ceilings := make([]Ceiling, 0, len(ledger.pendingCeilings))
	for program := range ledger.pendingCeilings {
		account := ledger.accounts[program]
		ceilings = append(ceilings, Ceiling{Program: program, Tokens: account.requestedCeiling, Settled: account.knownSpent()})
	}
	clear(ledger.pendingCeilings)
	return ceilings
}

// AcknowledgeCeilings applies ceilings that the log has acknowledged.
func (ledger *Ledger) AcknowledgeCeilings(ceilings []Ceiling) {
	for _, acknowledged := range ceilings {
		account := ledger.accounts[acknowledged.Program]
		if account != nil {
			account.ceiling = max(account.ceiling, acknowledged.Tokens)
			account.ceilingAcknowledged = true
		}
	}
}

// ExpireAccounts removes the accounts without open turns that were last used before a time.
func (ledger *Ledger) ExpireAccounts(before time.Time) {
	for program, account := range ledger.accounts {
		if len(account.openTurns) == 0 && account.lastUsed.Before(before) && !ledger.pendingCeilings[program] {
			delete(ledger.accounts, program)
		}
	}
}

// Balance is a summary of an account.
type Balance struct {
	// Spent excludes open turns, Uncertain is the part of it that may not have been used,
	// Reserved is the maximum of the open turns.
	Spent     int64
	Uncertain int64
	Reserved  int64
	Ceiling   int64
	// TurnsGranted is how many turns this owner has granted.
	TurnsGranted int64
}

// Balance returns a program's balance, zero if it has no account.
func (ledger *Ledger) Balance(program tenant.Program) Balance {
	account := ledger.accounts[program]
	if account == nil {
		return Balance{}
	}
	return Balance{Spent: account.charged + account.settled, Uncertain: account.uncertain, Reserved: account.reserved, Ceiling: account.ceiling, TurnsGranted: account.turnsGranted}
}
