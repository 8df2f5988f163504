package ledger

import (
	"slices"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Account is a tier's whole budget and the parts of it granted to shards.
type Account struct {
	budget Micros
	// outstanding is the sum of granted - returned over all holders: the most
	// that they hold or have spent.
	outstanding Micros
	// holders are in rising order of shard.
	holders []holder
}

// holder is what one shard was granted and has returned; both only rise.
type holder struct {
	shard    uint32
	granted  Micros
	returned Micros
}

// NewAccount returns the account of a tier with that budget.
func NewAccount(budget Micros) *Account { return &Account{budget: budget} }

// RestoreAccount returns the account of a snapshot's record, or an error where
// the record breaks the account's invariants.
func RestoreAccount(record *shardv1.AccountRecord) (*Account, *resultcode.Error) {
	account := NewAccount(Micros(record.BudgetMicros))
	for _, recorded := range record.Holders {
		granted := Micros(recorded.GrantedMicros)
		returned := Micros(recorded.ReturnedMicros)
		index, known := account.find(recorded.Shard)
		outstanding := add(account.outstanding, subtract(granted, returned))
		if known || returned > granted || outstanding == maximumMicros {
			return nil, resultcode.New(resultcode.Internal,
				"account record of tier %s/%s is wrong for shard %d", record.Tenant, record.Tier, recorded.Shard)
		}
		account.outstanding = outstanding
		account.holders = slices.Insert(account.holders, index, holder{recorded.Shard, granted, returned})
	}
	return account, nil
}

// Record returns the account for a snapshot.
func (account *Account) Record(tenant, tier string) *shardv1.AccountRecord {
	record := &shardv1.AccountRecord{Tenant: tenant, Tier: tier, BudgetMicros: uint64(account.budget)}
	for _, known := range account.holders {
		record.Holders = append(record.Holders, &shardv1.AccountHolder{
			Shard:          known.shard,
			GrantedMicros:  uint64(known.granted),
			ReturnedMicros: uint64(known.returned),
		})
	}
	return record
}

// Budget returns the budget in force.
func (account *Account) Budget() Micros { return account.budget }

// Outstanding returns the most that all shards together hold or have spent.
func (account *Account) Outstanding() Micros { return account.outstanding }

// Available returns what can still be granted.
func (account *Account) Available() Micros { return subtract(account.budget, account.outstanding) }

// Excess returns how far a lowered budget lies below what is outstanding.
func (account *Account) Excess() Micros { return subtract(account.outstanding, account.budget) }

// SetBudget puts an operator's change in force. A lower budget stops grants at
// once; what shards already hold comes back by recall (see Holders).
func (account *Account) SetBudget(budget Micros) { account.budget = budget }

// Grant raises a shard's granted total towards the total it wants, as far as
// the budget goes, and returns the total now granted. A wanted total that is
// not above the granted one changes nothing.
func (account *Account) Grant(shard uint32, wantedTotal Micros) Micros {
	index, known := account.find(shard)
	if !known {
		if wantedTotal == 0 || account.Available() == 0 {
			return 0
		}
		account.holders = slices.Insert(account.holders, index, holder{shard: shard})
	}
	found := &account.holders[index]
	amount := min(subtract(wantedTotal, found.granted), account.Available())
	found.granted += amount
	account.outstanding += amount
	return found.granted
}

// Granted returns a shard's granted total.
func (account *Account) Granted(shard uint32) Micros {
	index, known := account.find(shard)
	if !known {
		return 0
	}
	return account.holders[index].granted
}

// Returned returns a shard's returned total.
func (account *Account) Returned(shard uint32) Micros {
	index, known := account.find(shard)
	if !known {
		return 0
	}
	return account.holders[index].returned
}

// RaiseReturned takes back what a shard has given up. It fails, and changes
// nothing, where the shard claims to return more than it was granted.
func (account *Account) RaiseReturned(shard uint32, total Micros) *resultcode.Error {
	index, known := account.find(shard)
	if !known {
		if total == 0 {
			return nil
		}
		return resultcode.New(resultcode.Internal, "shard %d returns escrow it was never granted", shard)
	}
	found := &account.holders[index]
	if total > found.granted {
		return resultcode.New(resultcode.Internal,
			"shard %d returns %d micros in all, it was granted %d", shard, total, found.granted)
	}
	amount := subtract(total, found.returned)
	found.returned += amount
	account.outstanding -= amount
	return nil
}

// Holders returns the shards that may hold escrow or have spent some, in rising
// order: those to ask for what they do not use when the budget has too little
// left for a shard that needs some.
func (account *Account) Holders() []uint32 {
	var shards []uint32
	for _, known := range account.holders {
		if known.granted > known.returned {
			shards = append(shards, known.shard)
		}
	}
	return shards
}

func (account *Account) find(shard uint32) (int, bool) {
	return slices.BinarySearchFunc(account.holders, shard, func(known holder, wanted uint32) int {
		return int(int64(known.shard) - int64(wanted))
	})
}
