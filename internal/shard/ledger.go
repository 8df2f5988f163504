package shard

import (
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

type ledgerState struct{}

func newLedgerState() *ledgerState { return &ledgerState{} }

func (state *State) reserveEscrow(*Program, uint64) *resultcode.Error { return nil }

func (state *State) settleEscrow(*Program, uint64, uint64) {}

func (state *State) applyLedger(*shardv1.Entry) Outcome {
	return refused(resultcode.Internal, "unknown entry")
}
