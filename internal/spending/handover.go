package spending

import (
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// OpenTurn is a reservation that has not been settled.
type OpenTurn struct {
	RequestID string
	MaxTokens int64
	ExpiresAt time.Time
}

// Account is a program's state, as one owner hands it to the next.
type Account struct {
	Program tenant.Program
	// Spent is what is counted beside the open turns; Doubt the part of it of
	// which it is not known whether it was used.
	Spent     int64
	Uncertain int64
	OpenTurns []OpenTurn
	Ceiling   int64
}

// ExportAccounts returns the whole state, for a successor. The ledger must grant
// nothing afterwards.
func (ledger *Ledger) ExportAccounts() []Account {
	accounts := make([]Account, 0, len(ledger.accounts))
	for program, held := range ledger.accounts {
		if held.budget == 0 && !held.exact {
			continue // Never asked for here: the log's ceiling says what is known.
		}
		handed := Account{
			Program:   program,
			Spent:     held.base + held.settled,
			Uncertain: held.doubt,
			Ceiling:   held.ceiling,
		}
		for request, turn := range held.open {
			handed.OpenTurns = append(handed.OpenTurns, OpenTurn{RequestID: request, MaxTokens: turn.most, ExpiresAt: turn.until})
		}
		accounts = append(accounts, handed)
	}
	return accounts
}

// ImportAccounts replaces what the log says by a predecessor's own accounts. The
// predecessor's ceilings stay in force; those of the log may be higher where it
// did not hear of its last append.
func (ledger *Ledger) ImportAccounts(accounts []Account, now time.Time) {
	for _, handed := range accounts {
		held := ledger.account(handed.Program)
		held.base = handed.Spent
		held.doubt = handed.Uncertain
		held.doubtSince = now
		held.settled = 0
		held.open = make(map[string]reservation, len(handed.OpenTurns))
		held.openTotal = 0
		for _, turn := range handed.OpenTurns {
			held.open[turn.RequestID] = reservation{most: turn.MaxTokens, until: turn.ExpiresAt}
			held.openTotal += turn.MaxTokens
		}
		held.exact = true
		held.ceiling = max(held.ceiling, handed.Ceiling)
		held.wanted = max(held.wanted, held.ceiling)
		held.used = now
	}
}

// Checkpoint returns ceilings at exactly what is used, and goes on from them: once
// they are written, no allowance used so far is outstanding. The ledger must grant
// nothing until then.
func (ledger *Ledger) Checkpoint() []Ceiling {
	var exact []Ceiling
	for program, account := range ledger.accounts {
		if account.ceiling == account.total() && account.wanted == account.total() {
			continue
		}
		account.ceiling = account.total()
		account.wanted = account.total()
		exact = append(exact, Ceiling{Program: program, Tokens: account.total(), Settled: account.known()})
	}
	clear(ledger.changed)
	return exact
}
