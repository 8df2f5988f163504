package ledger

import (
	"cmp"
	"slices"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Tier names a tier of a tenant.
type Tier struct {
	Tenant string
	Name   string
}

// compareTiers orders tiers by tenant, then by name.
func compareTiers(left, right Tier) int {
	return cmp.Or(cmp.Compare(left.Tenant, right.Tenant), cmp.Compare(left.Name, right.Name))
}

// Book is the ledger part of a shard's replicated state: its own escrow of each
// tier whose programs it runs, and the accounts of the tiers that it holds.
type Book struct {
	escrows  map[Tier]*Escrow
	accounts map[Tier]*Account
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{escrows: make(map[Tier]*Escrow), accounts: make(map[Tier]*Account)}
}

// RestoreBook returns the book of a snapshot's records.
func RestoreBook(escrows []*shardv1.EscrowRecord, accounts []*shardv1.AccountRecord) (*Book, *resultcode.Error) {
	book := NewBook()
	for _, record := range escrows {
		escrow, failure := RestoreEscrow(record)
		if failure != nil {
			return nil, failure
		}
		book.escrows[Tier{record.Tenant, record.Tier}] = escrow
	}
	for _, record := range accounts {
		account, failure := RestoreAccount(record)
		if failure != nil {
			return nil, failure
		}
		book.accounts[Tier{record.Tenant, record.Tier}] = account
	}
	return book, nil
}

// EscrowRecords returns the escrows for a snapshot, in order of tier.
func (book *Book) EscrowRecords() []*shardv1.EscrowRecord {
	var records []*shardv1.EscrowRecord
	for _, tier := range book.EscrowTiers() {
		records = append(records, book.escrows[tier].Record(tier.Tenant, tier.Name))
	}
	return records
}

// AccountRecords returns the accounts for a snapshot, in order of tier.
func (book *Book) AccountRecords() []*shardv1.AccountRecord {
	var records []*shardv1.AccountRecord
	for _, tier := range sortedTiers(book.accounts) {
		records = append(records, book.accounts[tier].Record(tier.Tenant, tier.Name))
	}
	return records
}

// EscrowTiers returns the tiers that the shard has an escrow of, in order.
func (book *Book) EscrowTiers() []Tier { return sortedTiers(book.escrows) }

// Escrow returns a copy of the shard's escrow of a tier, empty where it has
// none. To look at an escrow must not change the replicated state.
func (book *Book) Escrow(tier Tier) Escrow {
	if escrow := book.escrows[tier]; escrow != nil {
		return *escrow
	}
	return Escrow{}
}

// Account returns a shard's granted and returned totals at a tier's account, both
// 0 where the account does not know the shard.
func (book *Book) Account(tier Tier, shard uint32) (granted, returned Micros) {
	account := book.accounts[tier]
	if account == nil {
		return 0, 0
	}
	return account.Granted(shard), account.Returned(shard)
}

// Reserve holds a call's worst case in the tier's escrow: see Escrow.Reserve.
func (book *Book) Reserve(tier Tier, worstCase Micros) *resultcode.Error {
	return book.openEscrow(tier).Reserve(worstCase)
}

// Settle replaces a reservation by the call's cost: see Escrow.Settle.
func (book *Book) Settle(tier Tier, reserved, cost Micros) (Micros, *resultcode.Error) {
	return book.openEscrow(tier).Settle(reserved, cost)
}

func (book *Book) openEscrow(tier Tier) *Escrow {
	if book.escrows[tier] == nil {
		book.escrows[tier] = &Escrow{}
	}
	return book.escrows[tier]
}

func (book *Book) openAccount(tier Tier) *Account {
	if book.accounts[tier] == nil {
		book.accounts[tier] = NewAccount(0)
	}
	return book.accounts[tier]
}

// ApplyEscrowRaised takes in what the tier's account has granted.
func (book *Book) ApplyEscrowRaised(raised *shardv1.EscrowRaised) {
	book.openEscrow(Tier{raised.Tenant, raised.Tier}).RaiseGranted(Micros(raised.GrantedTotalMicros))
}

// ApplyEscrowReturned gives escrow up that the shard does not use.
func (book *Book) ApplyEscrowReturned(returned *shardv1.EscrowReturned) *resultcode.Error {
	return book.openEscrow(Tier{returned.Tenant, returned.Tier}).RaiseReturned(Micros(returned.ReturnedTotalMicros))
}

// ApplyAccountGranted puts the budget of the entry in force and grants what it
// covers.
func (book *Book) ApplyAccountGranted(granted *shardv1.AccountGranted) {
	account := book.openAccount(Tier{granted.Tenant, granted.Tier})
	account.SetBudget(Micros(granted.BudgetMicros))
	account.Grant(granted.Shard, Micros(granted.WantedTotalMicros))
}

// ApplyAccountReturned takes back what a shard has given up.
func (book *Book) ApplyAccountReturned(returned *shardv1.AccountReturned) *resultcode.Error {
	account := book.openAccount(Tier{returned.Tenant, returned.Tier})
	return account.RaiseReturned(returned.Shard, Micros(returned.ReturnedTotalMicros))
}

func sortedTiers[V any](values map[Tier]V) []Tier {
	tiers := make([]Tier, 0, len(values))
	for tier := range values {
		tiers = append(tiers, tier)
	}
	slices.SortFunc(tiers, compareTiers)
	return tiers
}
