package ownership

import (
	"context"
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	"google.golang.org/protobuf/proto"
)

// replay reads a shard's partition from its first record on.
type replay struct {
	log       durable.Log
	partition durable.Partition
	next      int64
	// highest is the newest claim's epoch, refused one that the store refused.
	highest  int64
	refused  int64
	records  int
	ceilings map[tenant.Program]spending.Ceiling
	// allowances are those of owners that have not closed their accounts.
	allowances []spending.Allowance
	// owner is the newest claim, nil where there is none.
	owner *nodev1.Claim
	// accounts are those of the owner that has yielded in yieldedEpoch.
	accounts     []spending.Account
	yieldedEpoch int64
	// claimedHere is true once this takeover has sent a claim.
	claimedHere bool
}

func newReplay(log durable.Log, partition durable.Partition) *replay {
	return &replay{log: log, partition: partition, ceilings: map[tenant.Program]spending.Ceiling{}}
}

// won returns what a claim brings that stands in the records.
func (reading *replay) won(claim *nodev1.Claim) claimed {
	allowance := allowanceOf(claim)
	ledger := spending.NewLedger(reading.ceilings, time.Now())
	ledger.SetAllowances(allowance, without(reading.allowances, claim.Epoch))
	return claimed{epoch: claim.Epoch, sequence: claim.Sequence, ledger: ledger, records: reading.records, allowance: allowance}
}

// without returns allowances but for that of an epoch.
func without(allowances []spending.Allowance, epoch int64) []spending.Allowance {
	return slices.DeleteFunc(slices.Clone(allowances), func(allowance spending.Allowance) bool { return allowance.Epoch == epoch })
}

// toEnd reads up to the partition's end.
func (reading *replay) toEnd(ctx context.Context) error {
	next, err := durable.ReadToEnd(ctx, reading.log, reading.partition, reading.next, reading.apply)
	reading.next = next
	return err
}

func (reading *replay) apply(content []byte) {
	reading.records++
	var record nodev1.SpendingRecord
	if proto.Unmarshal(content, &record) != nil {
		return
	}
	if record.Claim != nil && record.Claim.Epoch > reading.highest {
		reading.applyClaim(record.Claim)
	}
	for _, ceiling := range record.Ceilings {
		program := tenant.Program{Tenant: ceiling.Tenant, ID: ceiling.Program}
		reading.ceilings[program] = spending.Ceiling{
			Program: program,
			Tokens:  ceiling.Tokens,
			Settled: ceiling.Settled,
			Epoch:   reading.highest,
		}
	}
	if record.Closed {
		reading.allowances = without(reading.allowances, reading.highest)
	}
}

func (reading *replay) applyClaim(claim *nodev1.Claim) {
	reading.highest = claim.Epoch
	reading.owner = claim
	reading.allowances = without(reading.allowances, claim.ClosesEpoch)
	if claim.AllowancePermille > 0 {
		reading.allowances = append(reading.allowances, allowanceOf(claim))
	}
}
