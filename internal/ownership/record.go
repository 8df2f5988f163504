package ownership

import (
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	"google.golang.org/protobuf/proto"
)

// maxCeilingsPerRecord keeps a record below the store's size limit.
const maxCeilingsPerRecord = 1000

// encodeCeilings returns the records of ceilings, none if there are no ceilings.
func encodeCeilings(ceilings []spending.Ceiling) []*nodev1.SpendingRecord {
	var records []*nodev1.SpendingRecord
	now := time.Now().UnixMilli()
	for chunk := range slices.Chunk(ceilings, maxCeilingsPerRecord) {
		record := &nodev1.SpendingRecord{}
		for _, ceiling := range chunk {
			record.Ceilings = append(record.Ceilings, &nodev1.Ceiling{
				Program:       ceiling.Program.ID,
				Tenant:        ceiling.Program.Tenant,
				Tokens:        ceiling.Tokens,
				Settled:       ceiling.Settled,
				WrittenUnixMs: now,
				Epoch:         ceiling.Epoch,
			})
		}
		records = append(records, record)
	}
	return records
}

// encodeClaim returns the record of this node's claim. outstanding are the allowances of former owners
// that a successor has to charge too.
func (manager *Manager) encodeClaim(epoch, sequence int64, allowance spending.Allowance, outstanding []spending.Allowance, closedEpoch int64) *nodev1.SpendingRecord {
	claim := &nodev1.Claim{
		Node:              manager.self.Node,
		Incarnation:       manager.self.Incarnation,
		Address:           manager.self.Address,
		Epoch:             epoch,
		Sequence:          sequence,
		AllowancePermille: allowance.Permille,
		LeastBudget:       allowance.MinBudget,
		SecondAllowance:   allowance.Second,
		ClosesEpoch:       closedEpoch,
		ListsOutstanding:  feature.Enabled(feature.RenewClaims),
	}
	if claim.ListsOutstanding {
		for _, former := range outstanding {
			claim.Outstanding = append(claim.Outstanding, &nodev1.OutstandingAllowance{
				Epoch: former.Epoch, Permille: former.Permille, LeastBudget: former.MinBudget, Second: former.Second})
		}
	}
	return &nodev1.SpendingRecord{Claim: claim}
}

// outstandingOf returns the allowances that a claim lists as outstanding.
func outstandingOf(claim *nodev1.Claim) []spending.Allowance {
	var outstanding []spending.Allowance
	for _, listed := range claim.Outstanding {
		outstanding = append(outstanding, spending.Allowance{Epoch: listed.Epoch, Permille: listed.Permille, MinBudget: listed.LeastBudget, Second: listed.Second})
	}
	return outstanding
}

// allowanceOf returns the allowance of a claim.
func allowanceOf(claim *nodev1.Claim) spending.Allowance {
	return spending.Allowance{
		Epoch:     claim.Epoch,
		Permille:  claim.AllowancePermille,
		MinBudget: claim.LeastBudget,
		Second:    claim.SecondAllowance,
	}
}

func encodeAccount(account spending.Account) *nodev1.Account {
	message := &nodev1.Account{
		Program: account.Program.ID,
		Tenant:  account.Program.Tenant,
		Spent:   account.Spent,
		Doubt:   account.Uncertain,
		Ceiling: account.Ceiling,
	}
	for _, turn := range account.OpenTurns {
		message.Open = append(message.Open, &nodev1.OpenTurn{
			Key:        turn.RequestID,
			Most:       turn.MaxTokens,
			TimeLeftMs: time.Until(turn.ExpiresAt).Milliseconds(),
		})
	}
	return message
}

func decodeAccounts(messages []*nodev1.Account) []spending.Account {
	accounts := make([]spending.Account, 0, len(messages))
	for _, message := range messages {
		account := spending.Account{
			Program:   tenant.Program{Tenant: message.Tenant, ID: message.Program},
			Spent:     message.Spent,
			Uncertain: message.Doubt,
			Ceiling:   message.Ceiling,
		}
		for _, turn := range message.Open {
			account.OpenTurns = append(account.OpenTurns, spending.OpenTurn{
				RequestID: turn.Key,
				MaxTokens: turn.Most,
				ExpiresAt: time.Now().Add(time.Duration(turn.TimeLeftMs) * time.Millisecond),
			})
		}
		accounts = append(accounts, account)
	}
	return accounts
}

// marshal encodes the records of one append.
func marshal(records ...*nodev1.SpendingRecord) [][]byte {
	encoded := make([][]byte, 0, len(records))
	for _, record := range records {
		content, err := proto.Marshal(record)
		if err != nil {
			panic(err) // Only invalid UTF-8 fails to marshal, and ids are validated on input.
		}
		encoded = append(encoded, content)
	}
	return encoded
}
