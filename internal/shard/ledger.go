package shard

import (
	"cmp"
	"slices"
	"strings"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/ledger"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// TierKey identifies a tier.
type TierKey struct {
	Tenant string
	Tier   string
}

// Compare orders keys by tenant, then tier.
func (key TierKey) Compare(other TierKey) int {
	return cmp.Or(strings.Compare(key.Tenant, other.Tenant), strings.Compare(key.Tier, other.Tier))
}

// ledgerState holds a shard's escrows, and the accounts of the tiers whose names map
// to the shard.
type ledgerState struct {
	escrows  map[TierKey]*ledger.Escrow
	accounts map[TierKey]*account
}

// account is a tier's account with the configuration version that set its budget.
type account struct {
	*ledger.Account
	configurationVersion uint64
}

func newLedgerState() *ledgerState {
	return &ledgerState{
		escrows:  make(map[TierKey]*ledger.Escrow),
		accounts: make(map[TierKey]*account),
	}
}

func (ledgers *ledgerState) escrow(key TierKey) *ledger.Escrow {
	found := ledgers.escrows[key]
	if found == nil {
		found = &ledger.Escrow{}
		ledgers.escrows[key] = found
	}
	return found
}

func (ledgers *ledgerState) account(key TierKey) *account {
	found := ledgers.accounts[key]
	if found == nil {
		found = &account{Account: ledger.NewAccount(0)}
		ledgers.accounts[key] = found
	}
	return found
}

// Tier returns the key of the program's tier.
func (program *Program) Tier() TierKey {
	return TierKey{Tenant: program.Created().Tenant, Tier: program.Created().Tier}
}

// Escrow returns the part of a tier's budget granted to the shard; empty if there is
// none. Callers must not modify it.
func (state *State) Escrow(key TierKey) *ledger.Escrow {
	if found := state.ledger.escrows[key]; found != nil {
		return found
	}
	return &ledger.Escrow{}
}

// Account returns the account of a tier; empty if the shard holds none. Callers must
// not modify it.
func (state *State) Account(key TierKey) *ledger.Account {
	if found := state.ledger.accounts[key]; found != nil {
		return found.Account
	}
	return ledger.NewAccount(0)
}

// Escrows returns the tiers for which the shard has an escrow, ordered by key.
func (state *State) Escrows() []TierKey {
	keys := make([]TierKey, 0, len(state.ledger.escrows))
	for key := range state.ledger.escrows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, TierKey.Compare)
	return keys
}

func (state *State) reserveEscrow(program *Program, amount uint64) *resultcode.Error {
	return state.ledger.escrow(program.Tier()).Reserve(ledger.Micros(amount))
}

func (state *State) settleEscrow(program *Program, reserved, charge uint64) {
	// Settle fails only if the escrow is inconsistent. It then keeps the amount
	// reserved, so that it is not spent twice.
	_, _ = state.ledger.escrow(program.Tier()).Settle(ledger.Micros(reserved), ledger.Micros(charge))
}

// applyLedger applies an entry that changes escrows or accounts.
func (state *State) applyLedger(entry *shardv1.Entry) Outcome {
	switch change := entry.Change.(type) {
	case *shardv1.Entry_EscrowRaised:
		raised := change.EscrowRaised
		key := TierKey{Tenant: raised.Tenant, Tier: raised.Tier}
		changed := state.ledger.escrow(key).RaiseGranted(ledger.Micros(raised.GrantedTotalMicros))
		return Outcome{Duplicate: !changed}
	case *shardv1.Entry_EscrowReturned:
		returned := change.EscrowReturned
		key := TierKey{Tenant: returned.Tenant, Tier: returned.Tier}
		return Outcome{Err: state.ledger.escrow(key).RaiseReturned(ledger.Micros(returned.ReturnedTotalMicros))}
	case *shardv1.Entry_AccountGranted:
		return state.grantAccount(change.AccountGranted)
	case *shardv1.Entry_AccountReturned:
		returned := change.AccountReturned
		key := TierKey{Tenant: returned.Tenant, Tier: returned.Tier}
		failure := state.ledger.account(key).RaiseReturned(returned.Shard, ledger.Micros(returned.ReturnedTotalMicros))
		return Outcome{Err: failure}
	default:
		return errorOutcome(resultcode.Internal, "unknown entry type")
	}
}

// grantAccount grants up to the wanted total from the remaining budget. The budget of
// a configuration older than the account's is ignored.
func (state *State) grantAccount(granted *shardv1.AccountGranted) Outcome {
	found := state.ledger.account(TierKey{Tenant: granted.Tenant, Tier: granted.Tier})
	if granted.ConfigurationVersion >= found.configurationVersion {
		found.configurationVersion = granted.ConfigurationVersion
		found.SetBudget(ledger.Micros(granted.BudgetMicros))
	}
	found.Grant(granted.Shard, ledger.Micros(granted.WantedTotalMicros))
	return Outcome{}
}

// export adds the ledger to a snapshot.
func (ledgers *ledgerState) export(snapshot *shardv1.Snapshot) {
	for key, escrow := range ledgers.escrows {
		snapshot.Escrows = append(snapshot.Escrows, escrow.Record(key.Tenant, key.Tier))
	}
	for key, held := range ledgers.accounts {
		record := held.Record(key.Tenant, key.Tier)
		record.ConfigurationVersion = held.configurationVersion
		snapshot.Accounts = append(snapshot.Accounts, record)
	}
	slices.SortFunc(snapshot.Escrows, func(left, right *shardv1.EscrowRecord) int {
		return TierKey{left.Tenant, left.Tier}.Compare(TierKey{right.Tenant, right.Tier})
	})
	slices.SortFunc(snapshot.Accounts, func(left, right *shardv1.AccountRecord) int {
		return TierKey{left.Tenant, left.Tier}.Compare(TierKey{right.Tenant, right.Tier})
	})
}

// importLedger restores the ledger from a snapshot.
func importLedger(snapshot *shardv1.Snapshot) (*ledgerState, error) {
	ledgers := newLedgerState()
	for _, record := range snapshot.Escrows {
		escrow, failure := ledger.RestoreEscrow(record)
		if failure != nil {
			return nil, failure
		}
		ledgers.escrows[TierKey{Tenant: record.Tenant, Tier: record.Tier}] = escrow
	}
	for _, record := range snapshot.Accounts {
		restored, failure := ledger.RestoreAccount(record)
		if failure != nil {
			return nil, failure
		}
		ledgers.accounts[TierKey{Tenant: record.Tenant, Tier: record.Tier}] = &account{
			Account:              restored,
			configurationVersion: record.ConfigurationVersion,
		}
	}
	return ledgers, nil
}
