package spending

import (
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// OpenTurn is a reservation that has not been settled.
type OpenTurn struct {
	Request string
	Most    int64
	Until   time.Time
}

// Account is a program's state, as one owner hands it to the next.
type Account struct {
	Program tenant.Program
	// Spent is what is counted beside the open turns; Doubt the part of it of
	// which it is not known whether it was used.
	Spent   int64
	Doubt   int64
	Open    []OpenTurn
	Ceiling int64
}

// Accounts returns the whole state, for a successor. The ledger must grant
// nothing afterwards.
func (ledger *Ledger) Accounts() []Account {
	accounts := make([]Account, 0, len(ledger.accounts))
	for program, held := range ledger.accounts {
		if held.budget == 0 && !held.exact {
			continue // Never asked for here: the log's ceiling says what is known.
		}
		handed := Account{
			Program: program,
			Spent:   held.base + held.settled,
			Doubt:   held.doubt,
			Ceiling: held.ceiling,
		}
		for request, turn := range held.open {
			handed.Open = append(handed.Open, OpenTurn{Request: request, Most: turn.most, Until: turn.until})
		}
		accounts = append(accounts, handed)
	}
	return accounts
}

// Adopt replaces what the log says by a predecessor's own accounts. The
// predecessor's ceilings stay in force; those of the log may be higher where it
// did not hear of its last append.
func (ledger *Ledger) Adopt(accounts []Account, now time.Time) {
	for _, handed := range accounts {
		held := ledger.account(handed.Program)
		held.base = handed.Spent
		held.doubt = handed.Doubt
		held.doubtSince = now
		held.settled = 0
		held.open = make(map[string]reservation, len(handed.Open))
		held.openTotal = 0
		for _, turn := range handed.Open {
			held.open[turn.Request] = reservation{most: turn.Most, until: turn.Until}
			held.openTotal += turn.Most
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
