package ledger

import (
	"slices"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Account tracks a tier's budget and the amounts granted to shards.
type Account struct {
	budget Micros
	// outstanding is the sum of granted - returned over all holders, an upper
	// bound on what they hold and have spent.
	outstanding Micros
	// holders is sorted by shard.
	holders []holder
}

// holder records the totals granted to and returned by one shard. Neither
// decreases.
type holder struct {
	shard    uint32
	granted  Micros
	returned Micros
}

// NewAccount returns an account with a budget and no grants.
func NewAccount(budget Micros) *Account { return &Account{budget: budget} }

// RestoreAccount rebuilds an account from a snapshot record. It fails if the
// record violates the account's invariants.
func RestoreAccount(record *shardv1.AccountRecord) (*Account, *resultcode.Error) {
	account := NewAccount(Micros(record.BudgetMicros))
	for _, recorded := range record.Holders {
		granted := Micros(recorded.GrantedMicros)
		returned := Micros(recorded.ReturnedMicros)
		index, found := account.find(recorded.Shard)
		outstanding := addSaturating(account.outstanding, subtractSaturating(granted, returned))
		if found || returned > granted || outstanding == maxMicros {
			return nil, resultcode.New(resultcode.Internal,
				"invalid account record for tier %s/%s: duplicate shard or inconsistent totals for shard %d",
				record.Tenant, record.Tier, recorded.Shard)
		}
		account.outstanding = outstanding
		account.holders = slices.Insert(account.holders, index, holder{recorded.Shard, granted, returned})
	}
	return account, nil
}

// Record returns the account's snapshot record.
func (account *Account) Record(tenant, tier string) *shardv1.AccountRecord {
	record := &shardv1.AccountRecord{Tenant: tenant, Tier: tier, BudgetMicros: uint64(account.budget)}
	for _, entry := range account.holders {
		record.Holders = append(record.Holders, &shardv1.AccountHolder{
			Shard:          entry.shard,
			GrantedMicros:  uint64(entry.granted),
			ReturnedMicros: uint64(entry.returned),
		})
	}
	return record
}

// Budget returns the current budget.
func (account *Account) Budget() Micros { return account.budget }

// Outstanding returns an upper bound on what all shards hold and have spent.
func (account *Account) Outstanding() Micros { return account.outstanding }

// Available returns the amount that can still be granted.
func (account *Account) Available() Micros {
	return subtractSaturating(account.budget, account.outstanding)
}

// Excess returns the amount by which Outstanding exceeds the budget, which is
// nonzero only after the budget was lowered.
func (account *Account) Excess() Micros {
	return subtractSaturating(account.outstanding, account.budget)
}

// SetBudget changes the budget. Lowering it below Outstanding stops further
// grants; amounts that shards already hold are recovered by recall (see Holders).
func (account *Account) SetBudget(budget Micros) { account.budget = budget }

// Grant raises a shard's granted total to wantedTotal, limited by the available
// budget, and returns the new granted total. It has no effect if wantedTotal does
// not exceed the current granted total.
func (account *Account) Grant(shard uint32, wantedTotal Micros) Micros {
	index, found := account.find(shard)
	if !found {
		if wantedTotal == 0 || account.Available() == 0 {
			return 0
		}
		account.holders = slices.Insert(account.holders, index, holder{shard: shard})
	}
	entry := &account.holders[index]
	amount := min(subtractSaturating(wantedTotal, entry.granted), account.Available())
	entry.granted += amount
	account.outstanding += amount
	return entry.granted
}

// Granted returns the total granted to a shard.
func (account *Account) Granted(shard uint32) Micros {
	index, found := account.find(shard)
	if !found {
		return 0
	}
	return account.holders[index].granted
}

// Returned returns the total that a shard has returned.
func (account *Account) Returned(shard uint32) Micros {
	index, found := account.find(shard)
	if !found {
		return 0
	}
	return account.holders[index].returned
}

// RaiseReturned raises a shard's returned total. It fails without effect if the
// total exceeds the granted total. A total that is not higher has no effect.
func (account *Account) RaiseReturned(shard uint32, total Micros) *resultcode.Error {
	index, found := account.find(shard)
	if !found {
		if total == 0 {
			return nil
		}
		return resultcode.New(resultcode.Internal, "shard %d returned escrow but has no grant", shard)
	}
	entry := &account.holders[index]
	if total > entry.granted {
		return resultcode.New(resultcode.Internal,
			"returned total of shard %d is %d micros, which exceeds its granted total of %d", shard, total, entry.granted)
	}
	amount := subtractSaturating(total, entry.returned)
	entry.returned += amount
	account.outstanding -= amount
	return nil
}

// Holders returns the sorted shards that may hold escrow or have spent some. Idle
// escrow is recalled from them when the available budget is too low for a grant.
func (account *Account) Holders() []uint32 {
	var shards []uint32
	for _, entry := range account.holders {
		if entry.granted > entry.returned {
			shards = append(shards, entry.shard)
		}
	}
	return shards
}

func (account *Account) find(shard uint32) (int, bool) {
	return slices.BinarySearchFunc(account.holders, shard, func(entry holder, wanted uint32) int {
		return int(int64(entry.shard) - int64(wanted))
	})
}
