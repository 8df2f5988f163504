package ownership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// firstSequences is the number of sequence numbers that a claim may begin at.
const firstSequences = 1 << 40

// yieldTimeout is how long the owner that the log names may take to answer.
const yieldTimeout = 150 * time.Millisecond

// claimed is what a won claim brings.
type claimed struct {
	epoch int64
	// sequence is the claim's number; appends go on from there.
	sequence int64
	ceilings map[string]spending.Ceiling
	records  int
	// accounts are the former owner's own, where it has yielded.
	accounts []spending.Account
}

// ownedElsewhere says that the log names an owner that is left in place.
type ownedElsewhere struct{ owner Owner }

// Error implements error.
func (elsewhere *ownedElsewhere) Error() string {
	return "owned by " + elsewhere.owner.Node
}

// claim takes a shard over in a goroutine of its own, unless the log names an
// owner that keeps the shard.
func (manager *Manager) claim(shard *shard) {
	manager.fire(shard, charts.OwnershipEventClaimWanted)
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(manager.context, claimTimeout)
		defer cancel()
		won, err := manager.takeOver(ctx, shard.number)
		manager.post(func() { manager.finishClaim(shard, won, err, time.Since(began)) })
	}()
}

func (manager *Manager) finishClaim(shard *shard, won claimed, err error, took time.Duration) {
	if shard.phase != charts.OwnershipStateClaiming {
		return
	}
	var elsewhere *ownedElsewhere
	if errors.As(err, &elsewhere) {
		manager.logger.Info("shard owned elsewhere", zap.Int("shard", shard.number),
			zap.String("owner", elsewhere.owner.Node), zap.Int64("epoch", elsewhere.owner.Epoch))
		manager.fire(shard, charts.OwnershipEventClaimFailed)
		shard.owner = elsewhere.owner
		manager.refuseWaiters(shard, Answer{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Owner: elsewhere.owner, Reason: "another node owns the shard"})
		return
	}
	if err != nil {
		manager.logger.Warn("claim failed", zap.Int("shard", shard.number), zap.Duration("took", took), logging.Cause(err))
		manager.fire(shard, charts.OwnershipEventClaimFailed)
		manager.refuseWaiters(shard, unsure("the shard can't be taken over now"))
		return
	}
	manager.logger.Info("shard claimed", zap.Int("shard", shard.number), zap.Int64("epoch", won.epoch),
		zap.Int("programs", len(won.ceilings)), zap.Int("records", won.records), zap.Int("handed_over", len(won.accounts)), zap.Duration("took", took))
	manager.fire(shard, charts.OwnershipEventClaimWon)
	shard.epoch = won.epoch
	shard.sequence = won.sequence
	shard.writing = false
	shard.owner = Owner{Node: manager.self.Node, Epoch: won.epoch, Address: manager.self.Address}
	shard.ledger = spending.NewLedger(won.ceilings, time.Now())
	shard.ledger.Adopt(won.accounts, time.Now())
	manager.decideWaiters(shard)
}

// takeOver reads the shard's partition to its end and claims it there. A round
// fails where another node appended in between; then it reads on.
func (manager *Manager) takeOver(ctx context.Context, number int) (claimed, error) {
	partition := durable.Partition{Topic: Topic, Number: number}
	reading := &replay{log: manager.log, partition: partition, ceilings: map[string]spending.Ceiling{}}
	var failure error
	for range claimTries {
		won, err := manager.claimOnce(ctx, reading)
		var elsewhere *ownedElsewhere
		if err == nil || errors.As(err, &elsewhere) {
			return won, err
		}
		failure = err
		if ctx.Err() != nil {
			break
		}
		if !errors.Is(err, durable.ErrConflict) {
			wait.For(ctx, claimPause)
		}
	}
	return claimed{}, failure
}

func (manager *Manager) claimOnce(ctx context.Context, reading *replay) (claimed, error) {
	err := reading.toEnd(ctx)
	if err != nil {
		return claimed{}, err
	}
	if reading.owner.GetIncarnation() == manager.self.Incarnation && reading.claimedHere {
		// An append of an earlier round was done though its answer was lost.
		return reading.won(reading.owner.Epoch, reading.owner.Sequence), nil
	}
	if manager.keeps(ctx, reading) {
		return claimed{}, &ownedElsewhere{owner: Owner{Node: reading.owner.Node, Epoch: reading.owner.Epoch, Address: reading.owner.Address}}
	}
	epoch := max(reading.highest, reading.refused) + 1
	// The store answers an append that repeats another's epoch and number as if
	// it were the same one. Two claimants of one epoch must therefore not begin
	// at the same number.
	sequence := rand.Int64N(firstSequences)
	record := marshal(&nodev1.SpendingRecord{Claim: &nodev1.Claim{
		Node:        manager.self.Node,
		Incarnation: manager.self.Incarnation,
		Address:     manager.self.Address,
		Epoch:       epoch,
		Sequence:    sequence,
	}})
	at := reading.next
	fence := durable.Fence{Producer: producer, Epoch: epoch, Sequence: sequence}
	reading.claimedHere = true
	err = durable.Hedge(ctx, &manager.pace, func(ctx context.Context) error {
		_, err := manager.log.Append(ctx, reading.partition, [][]byte{record}, durable.Condition{At: &at, Fence: &fence})
		return err
	})
	if errors.Is(err, durable.ErrFenced) || errors.Is(err, durable.ErrSequence) {
		// A claim that is not in the records yet; go beyond it.
		reading.refused = epoch
	}
	if err != nil {
		return claimed{}, err
	}
	return reading.won(epoch, sequence), nil
}

// keeps asks the owner that the log names whether it keeps the shard. An owner
// that can't write hands its accounts over instead.
func (manager *Manager) keeps(ctx context.Context, reading *replay) bool {
	owner := reading.owner
	if owner == nil || owner.Incarnation == manager.self.Incarnation || reading.yieldedEpoch == owner.Epoch {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	reply, err := manager.yield(bounded, owner, reading.partition.Number)
	if err != nil || reply.Incarnation != owner.Incarnation {
		return false
	}
	if reply.Yielded {
		reading.yieldedEpoch = owner.Epoch
		reading.accounts = decodeAccounts(reply.Accounts)
	}
	return reply.Keeps
}

// replay reads a shard's partition from its first record on.
type replay struct {
	log       durable.Log
	partition durable.Partition
	next      int64
	// highest is the newest claim's epoch, refused one that the store refused.
	highest int64
	refused int64
	// previous is the epoch of the claim before the newest.
	previous int64
	records  int
	ceilings map[string]spending.Ceiling
	// owner is the newest claim, nil where there is none.
	owner *nodev1.Claim
	// accounts are those of the owner that has yielded in yieldedEpoch.
	accounts     []spending.Account
	yieldedEpoch int64
	// claimedHere is true once this takeover has sent a claim.
	claimedHere bool
}

func (reading *replay) won(epoch, sequence int64) claimed {
	won := claimed{epoch: epoch, sequence: sequence, ceilings: reading.ceilings, records: reading.records}
	if reading.yieldedEpoch != 0 && reading.yieldedEpoch == reading.formerEpoch(epoch) {
		won.accounts = reading.accounts
	}
	return won
}

// formerEpoch is the epoch of the newest claim before the one won.
func (reading *replay) formerEpoch(won int64) int64 {
	if reading.owner != nil && reading.owner.Epoch != won {
		return reading.owner.Epoch
	}
	return reading.previous
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
		reading.previous = reading.highest
		reading.highest = record.Claim.Epoch
		reading.owner = record.Claim
	}
	for _, ceiling := range record.Ceilings {
		reading.ceilings[ceiling.Program] = spending.Ceiling{
			Program: ceiling.Program,
			Tokens:  ceiling.Tokens,
			Settled: ceiling.Settled,
		}
	}
}
