package spending_test

import (
	"fmt"
	"testing"

	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	"pgregory.net/rapid"
)

// lostOwnersCase is a program whose owners are lost one after another without a handover.
type lostOwnersCase struct {
	budget int64
	// losses is how many owners are lost, earlierLosses how many of them before the program begins.
	losses        int
	earlierLosses int
}

// TestLostOwnersLeaveRoomForLargePrograms guards against programs that are refused for what lost owners
// might have granted, although they use a quarter of their budget.
func TestLostOwnersLeaveRoomForLargePrograms(t *testing.T) {
	cases := []lostOwnersCase{{1800, 1, 0}, {1800, 2, 0}, {1800, 2, 1}, {3100, 2, 0}, {3100, 3, 0}, {3100, 3, 1}, {3100, 3, 2}, {5200, 4, 0}, {5200, 4, 2},
		{8300, 4, 0}, {8300, 5, 1}, {16500, 5, 0}, {16500, 6, 2}}
	for _, lost := range cases {
		t.Run(fmt.Sprintf("budget %d, %d owners lost, %d before", lost.budget, lost.losses, lost.earlierLosses), func(t *testing.T) {
			serveOverLostOwners(t, lost)
		})
	}
}

// serveOverLostOwners runs a program that uses a quarter of its budget, turn after turn. The log answers
// at all times.
func serveOverLostOwners(t *testing.T, lost lostOwnersCase) {
	const maxTokens, spentPerTurn = 288, 73
	model := &shardModel{ceilings: map[tenant.Program]spending.Ceiling{}, second: true, now: start}
	model.claim(maxTokens, nil)
	for range lost.earlierLosses {
		model.claim(maxTokens, nil)
	}
	turns := int(lost.budget / 4 / spentPerTurn)
	losses := lost.losses - lost.earlierLosses
	turnsPerOwner := max(turns/(losses+1), 1)
	for turn := range turns {
		if turn > 0 && turn%turnsPerOwner == 0 && losses > 0 {
			model.claim(maxTokens, nil)
			losses--
		}
		owner := model.newest().ledger
		id := fmt.Sprint(turn)
		verdict := reserve(owner, id, lost.budget, maxTokens)
		if verdict == spending.AwaitCeiling {
			model.appendPending()
			verdict = reserve(owner, id, lost.budget, maxTokens)
		}
		if verdict != spending.Granted {
			t.Fatalf("turn %d of %d: verdict %d, balance %+v", turn, turns, verdict, owner.Balance(program))
		}
		model.appendPending()
		owner.Settle(program, id, spentPerTurn, start)
		model.appendPending()
	}
}

// appendPending logs the newest owner's pending ceilings.
func (model *shardModel) appendPending() {
	ledger := model.newest().ledger
	ceilings := ledger.DrainPendingCeilings()
	model.write(ceilings)
	ledger.AcknowledgeCeilings(ceilings)
}

// TestWaitingTurnsRequestTheirCeiling guards against turns that wait for a ceiling that nobody has requested.
func TestWaitingTurnsRequestTheirCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTokens = 100
		budget := rapid.SampledFrom([]int64{150, 310, 400, 900}).Draw(t, "budget")
		model := &shardModel{ceilings: map[tenant.Program]spending.Ceiling{}, second: true, now: start}
		model.claim(maxTokens, nil)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "action") == 0 {
				model.claim(maxTokens, nil)
			}
			owner := model.newest().ledger
			size := rapid.SampledFrom([]int64{20, 60, maxTokens}).Draw(t, "max tokens")
			id := fmt.Sprint(step)
			if reserve(owner, id, budget, size) == spending.AwaitCeiling {
				model.appendPending()
				if reserve(owner, id, budget, size) == spending.AwaitCeiling {
					t.Fatalf("a turn of %d still waits after all requested ceilings were logged: %+v", size, owner.Balance(program))
				}
			}
			owner.Settle(program, id, rapid.SampledFrom([]int64{0, size / 2, size}).Draw(t, "spent"), start)
		}
	})
}
