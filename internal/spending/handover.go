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

// Account is the state of a program that an owner hands over to its successor.
type Account struct {
	Program tenant.Program
	// Spent excludes open turns; Uncertain is the part of it that may not have been
	// used.
	Spent     int64
	Uncertain int64
	OpenTurns []OpenTurn
	Ceiling   int64
}

// ExportAccounts returns the ledger's state for a successor. The ledger must grant
// nothing afterwards.
func (ledger *Ledger) ExportAccounts() []Account {
	accounts := make([]Account, 0, len(ledger.accounts))
	for program, source := range ledger.accounts {
		if source.budget == 0 && !source.imported {
			continue // Not used under this owner: the logged ceiling is the whole state.
		}
		exported := Account{
			Program:   program,
			Spent:     source.charged + source.settled,
			Uncertain: source.uncertain,
			Ceiling:   source.ceiling,
		}
		for requestID, turn := range source.openTurns {
			exported.OpenTurns = append(exported.OpenTurns, OpenTurn{RequestID: requestID, MaxTokens: turn.maxTokens, ExpiresAt: turn.expiresAt})
		}
		accounts = append(accounts, exported)
	}
	return accounts
}

// ImportAccounts replaces the state derived from the log by accounts that the former
// owner has exported. The higher of the two ceilings applies: the former owner may not
// have received the acknowledgment of its last append.
func (ledger *Ledger) ImportAccounts(accounts []Account, now time.Time) {
	for _, exported := range accounts {
		target := ledger.account(exported.Program, now)
		target.charged = exported.Spent
		target.uncertain = exported.Uncertain
		target.uncertainSince = now
		target.settled = 0
		target.openTurns = make(map[string]reservation, len(exported.OpenTurns))
		target.reserved = 0
		for _, turn := range exported.OpenTurns {
			target.openTurns[turn.RequestID] = reservation{maxTokens: turn.MaxTokens, expiresAt: turn.ExpiresAt}
			target.reserved += turn.MaxTokens
		}
		target.imported = true
		target.ceiling = max(target.ceiling, exported.Ceiling)
		target.requestedCeiling = max(target.requestedCeiling, target.ceiling)
		target.lastUsed = now
	}
}

// Checkpoint sets each ceiling to the tokens spent and reserved, and returns the
// ceilings that changed. Once they are logged, no use of an allowance is outstanding.
// The ledger must grant nothing until then.
func (ledger *Ledger) Checkpoint() []Ceiling {
	var ceilings []Ceiling
	for program, account := range ledger.accounts {
		if account.ceiling == account.total() && account.requestedCeiling == account.total() {
			continue
		}
		account.ceiling = account.total()
		account.requestedCeiling = account.total()
		ceilings = append(ceilings, Ceiling{Program: program, Tokens: account.total(), Settled: account.knownSpent()})
	}
	clear(ledger.pendingCeilings)
	return ceilings
}
