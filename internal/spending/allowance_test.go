package spending_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// firstOwner returns the ledger of a shard's first owner and its allowance.
func firstOwner(largest int64) (*spending.Ledger, spending.Allowance) {
	own := spending.NewAllowance(1, largest)
	ledger := spending.NewLedger(nil, start)
	ledger.SetAllowances(own, nil)
	return ledger, own
}

// successor returns the ledger of an owner for which the log holds an outstanding
// allowance and no ceilings.
func successor(outstanding spending.Allowance) *spending.Ledger {
	ledger := spending.NewLedger(nil, start)
	ledger.SetAllowances(spending.Allowance{}, []spending.Allowance{outstanding})
	return ledger
}

var _ = Describe("Allowance", func() {
	It("lets turns begin without a logged ceiling until it is used up", func() {
		ledger, _ := firstOwner(576)
		for _, request := range []string{"a", "b", "c"} {
			Expect(reserve(ledger, request, 1800, 576)).To(Equal(spending.Granted))
			ledger.Settle(program, request, 280, start)
		}
		Expect(reserve(ledger, "d", 1800, 576)).To(Equal(spending.AwaitCeiling))
		write(ledger, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(ledger, "d", 1800, 576)).To(Equal(spending.Granted))
	})

	It("requests no ceiling for a program that uses little of it", func() {
		ledger, _ := firstOwner(576)
		Expect(reserve(ledger, "a", 1800, 576)).To(Equal(spending.Granted))
		ledger.Settle(program, "a", 100, start)
		Expect(reserve(ledger, "b", 1800, 576)).To(Equal(spending.Granted))
		Expect(ledger.DrainPendingCeilings()).To(BeEmpty())
	})

	It("does not apply to a budget without room for a whole turn beside it", func() {
		ledger, _ := firstOwner(576)
		Expect(reserve(ledger, "a", 800, 576)).To(Equal(spending.AwaitCeiling))
	})

	It("leaves a successor a whole turn of every program that it applies to", func() {
		_, own := firstOwner(576)
		next := successor(own)
		Expect(reserve(next, "a", 900, 576)).To(Equal(spending.AwaitCeiling))
		write(next, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(next, "a", 900, 576)).To(Equal(spending.Granted))
	})

	It("is charged by a successor to programs without a logged ceiling", func() {
		_, own := firstOwner(100)
		next := successor(own)
		granted := int64(0)
		for step := range 100 {
			if reserve(next, fmt.Sprint(step), 1000, 100) == spending.Granted {
				granted += 100
			}
			write(next, map[tenant.Program]spending.Ceiling{})
		}
		Expect(granted).To(BeNumerically("<=", 667))
		Expect(granted).To(BeNumerically(">=", 500))
	})

	It("leaves a successor one turn of any size, and no second one", func() {
		// At the time of the claim only small turns had been requested.
		_, own := firstOwner(20)
		logged := map[tenant.Program]spending.Ceiling{}
		next := successor(own)
		Expect(reserve(next, "a", 1000, 900)).To(Equal(spending.AwaitCeiling))
		write(next, logged)
		Expect(reserve(next, "a", 1000, 900)).To(Equal(spending.Granted))
		Expect(reserve(next, "b", 1000, 100)).To(Equal(spending.Undetermined))
		next.Settle(program, "a", 900, start)
		Expect(reserve(next, "b", 1000, 100)).To(Equal(spending.Undetermined))
		Expect(reserve(next, "c", 1000, 101)).To(Equal(spending.BudgetExhausted))
		for name, ceiling := range logged {
			ceiling.Epoch = own.Epoch + 1
			logged[name] = ceiling
		}
		third := spending.NewLedger(logged, start)
		third.SetAllowances(spending.Allowance{}, []spending.Allowance{own})
		Expect(reserve(third, "b", 1000, 100)).To(Equal(spending.Undetermined))
	})

	It("leaves a successor a turn of a program that has used most of its budget", func() {
		_, own := firstOwner(20)
		next := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 900, Settled: 600, Epoch: own.Epoch}}, start)
		next.SetAllowances(spending.Allowance{}, []spending.Allowance{own})
		Expect(reserve(next, "a", 1000, 300)).To(Equal(spending.AwaitCeiling))
		write(next, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(next, "a", 1000, 300)).To(Equal(spending.Granted))
		Expect(reserve(next, "b", 1000, 100)).To(Equal(spending.Undetermined))
	})

	It("grants no turn beyond the budget if the successor has granted another turn", func() {
		_, own := firstOwner(20)
		next := successor(own)
		Expect(reserve(next, "a", 1000, 300)).To(Equal(spending.AwaitCeiling))
		write(next, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(next, "a", 1000, 300)).To(Equal(spending.Granted))
		Expect(reserve(next, "b", 1000, 600)).To(Equal(spending.Undetermined))
	})

	It("requires a logged ceiling for a turn beyond the budget despite an allowance", func() {
		ledger := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 700, Settled: 100}}, start)
		ledger.SetAllowances(spending.NewAllowance(1, 100), nil)
		Expect(reserve(ledger, "a", 1000, 400)).To(Equal(spending.AwaitCeiling))
		logged := map[tenant.Program]spending.Ceiling{}
		write(ledger, logged)
		Expect(logged[program].Tokens).To(BeNumerically(">", 1000))
		Expect(reserve(ledger, "a", 1000, 400)).To(Equal(spending.Granted))
	})

	It("allows a second one after the loss of the owner, for logged programs and turns that end within it", func() {
		_, lost := firstOwner(100)
		second := spending.ClaimAllowance(2, 100, []spending.Allowance{lost}, true)
		ledger := spending.NewLedger(nil, start)
		ledger.SetAllowances(second, []spending.Allowance{lost})
		logged := map[tenant.Program]spending.Ceiling{}
		Expect(reserve(ledger, "a", 2000, 100)).To(Equal(spending.AwaitCeiling), "the program is logged first")
		write(ledger, logged)
		// No ceilings are acknowledged from here on. The lost owner may have used 666 of 2000;
		// this owner may use another 300.
		for _, request := range []string{"a", "b", "c"} {
			Expect(reserve(ledger, request, 2000, 100)).To(Equal(spending.Granted))
			ledger.Settle(program, request, 90, start)
		}
		Expect(reserve(ledger, "d", 2000, 100)).To(Equal(spending.Granted))
		Expect(reserve(ledger, "e", 2000, 200)).To(Equal(spending.AwaitCeiling), "the turn could exceed the allowance")

		for _, ceiling := range logged {
			ceiling.Epoch = 2
			logged[ceiling.Program] = ceiling
		}
		third := spending.NewLedger(logged, start)
		third.SetAllowances(spending.Allowance{}, []spending.Allowance{lost, second})
		reserve(third, "f", 2000, 10)
		Expect(third.Balance(program).Spent).To(BeNumerically(">=", 666+300), "a successor charges both to a logged program")
		fresh := tenant.Program{ID: "begins under the third owner"}
		third.Reserve(spending.ReserveRequest{Program: fresh, RequestID: "g", Budget: 2000, MaxTokens: 10, ExpiresAt: start}, start)
		Expect(third.Balance(fresh).Spent).To(BeNumerically("<=", 666), "and only the first to any other program")
	})

	It("allows no third one, and no second one for small budgets or while some nodes don't support it", func() {
		_, lost := firstOwner(100)
		second := spending.ClaimAllowance(2, 100, []spending.Allowance{lost}, true)
		Expect(second.Permille).To(BeNumerically(">", 0))
		Expect(spending.ClaimAllowance(3, 100, []spending.Allowance{lost, second}, true)).To(BeZero())
		Expect(spending.ClaimAllowance(2, 100, []spending.Allowance{lost}, false)).To(BeZero())
		ledger := spending.NewLedger(nil, start)
		ledger.SetAllowances(second, []spending.Allowance{lost})
		Expect(reserve(ledger, "a", 300, 100)).To(Equal(spending.AwaitCeiling))
	})

	// Guards against programs that are refused for as long as a shard has one owner because a
	// former one was lost.
	It("is charged only to programs that appear before it has certainly ended", func() {
		_, lost := firstOwner(100)
		grantAllAt := func(at time.Time) (granted int) {
			ledger := successor(lost)
			for turn := range 6 {
				verdict := reserveAt(ledger, fmt.Sprint(turn), 300, 100, at)
				if verdict == spending.AwaitCeiling {
					write(ledger, map[tenant.Program]spending.Ceiling{})
					verdict = reserveAt(ledger, fmt.Sprint(turn), 300, 100, at)
				}
				if verdict != spending.Granted {
					return granted
				}
				ledger.Settle(program, fmt.Sprint(turn), 60, at)
				granted++
			}
			return granted
		}
		ended := start.Add(spending.AllowanceLease + spending.AccountRetention)
		Expect(grantAllAt(ended)).To(Equal(grantAllAt(start)))
		Expect(grantAllAt(ended.Add(time.Minute))).To(BeNumerically(">", grantAllAt(start)))
	})

	It("ends for an owner that is cut off from the log", func() {
		ledger, _ := firstOwner(100)
		Expect(reserveAt(ledger, "a", 300, 100, start.Add(spending.AllowanceLease))).To(Equal(spending.Granted))
		ledger.Settle(program, "a", 20, start.Add(spending.AllowanceLease))
		ended := start.Add(spending.AllowanceLease + time.Second)
		Expect(reserveAt(ledger, "b", 300, 10, ended)).To(Equal(spending.AwaitCeiling))
		ledger.RenewAllowance(ended)
		Expect(reserveAt(ledger, "b", 300, 10, ended)).To(Equal(spending.Granted))
	})

	It("applies to an unlimited budget", func() {
		ledger, _ := firstOwner(576)
		Expect(reserve(ledger, "a", 1<<61, 576)).To(Equal(spending.Granted))
	})
})

// logRetention is how long a log that drops old records keeps them.
const logRetention = 5 * time.Minute

// shardModel is a shard's partition of the log with all its owners so far.
type shardModel struct {
	ceilings    map[tenant.Program]spending.Ceiling
	outstanding []spending.Allowance
	owners      []*modelOwner
	// second is true if all nodes support a second allowance, dropsRecords if the log drops old records.
	second       bool
	dropsRecords bool
	now          time.Time
}

// modelOwner is an owner; a stopped one grants nothing.
type modelOwner struct {
	ledger  *spending.Ledger
	own     spending.Allowance
	stopped bool
}

func (model *shardModel) newest() *modelOwner { return model.owners[len(model.owners)-1] }

func (model *shardModel) epoch() int64 { return int64(len(model.owners)) }

// write logs ceilings under the newest owner's epoch.
func (model *shardModel) write(ceilings []spending.Ceiling) {
	for _, ceiling := range ceilings {
		ceiling.Epoch = model.epoch()
		model.ceilings[ceiling.Program] = ceiling
	}
}

// renew replaces the log by what the newest owner writes again.
func (model *shardModel) renew() {
	ledger := model.newest().ledger
	outstanding := ledger.OutstandingAllowances(model.now)
	renewed := ledger.LoggedCeilings(ledger.Programs())
	clear(model.ceilings)
	for _, ceiling := range renewed {
		if ceiling.Epoch == 0 {
			ceiling.Epoch = model.epoch()
		}
		model.ceilings[ceiling.Program] = ceiling
	}
	model.outstanding = slices.Clone(outstanding)
	if model.newest().own.Permille > 0 {
		model.outstanding = append(model.outstanding, model.newest().own)
	}
	pending := ledger.DrainPendingCeilings()
	model.write(pending)
	ledger.AcknowledgeCeilings(pending)
	ledger.RenewAllowance(model.now)
	ledger.RenewCeilings(model.now)
}

// close removes the newest owner's allowance from the outstanding ones.
func (model *shardModel) close() {
	closed := model.newest().own
	var remaining []spending.Allowance
	for _, allowance := range model.outstanding {
		if allowance != closed {
			remaining = append(remaining, allowance)
		}
	}
	model.outstanding = remaining
}

// claim adds an owner that starts from the log and the accounts handed over, if any.
func (model *shardModel) claim(largest int64, accounts []spending.Account) {
	ledger := spending.NewLedger(maps.Clone(model.ceilings), model.now)
	ledger.ImportAccounts(accounts, model.now)
	former := model.outstanding
	own := spending.ClaimAllowance(model.epoch()+1, largest, former, model.second)
	if own.Permille > 0 {
		model.outstanding = append(slices.Clone(former), own)
	}
	ledger.SetAllowances(own, former)
	if model.dropsRecords {
		ledger.SetRetentionLimits(spending.RetentionLimits{AllowanceLease: logRetention / 2, CeilingLease: logRetention * 3 / 4}, model.now, model.now)
	}
	model.owners = append(model.owners, &modelOwner{ledger: ledger, own: own})
	if accounts != nil {
		model.write(ledger.Checkpoint())
	}
}

// TestAllowancesHold checks that random sequences of owners with allowances never exceed
// the budget by more than one turn. Owners are lost, partitioned and still granting, or
// hand over through the log or directly, while the log is unavailable for any number of
// steps. A program that was granted nothing for longer than an account is kept counts as a
// new one.
func TestAllowancesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTokens = 100
		// Few sizes, so that the limits are often reached exactly.
		sizes := rapid.SampledFrom([]int64{20, 60, maxTokens})
		budget := rapid.SampledFrom([]int64{100, 150, 200, 300, 400}).Draw(t, "budget")
		largestKnown := sizes.Draw(t, "largest known")
		model := &shardModel{ceilings: map[tenant.Program]spending.Ceiling{}, second: rapid.Bool().Draw(t, "second"), dropsRecords: rapid.Bool().Draw(t, "drops records"), now: start}
		model.claim(largestKnown, nil)
		type turn struct {
			owner     *modelOwner
			requestID string
			spent     int64
		}
		var openTurns []turn
		totalSpent, largest := int64(0), int64(0)
		lastUse := start
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			newest := model.newest()
			switch rapid.IntRange(0, 12).Draw(t, "action") {
			case 0, 1, 2, 3: // A request to any owner, including a partitioned one.
				owner := rapid.SampledFrom(model.owners).Draw(t, "owner")
				size := sizes.Draw(t, "max tokens")
				if model.now.Sub(lastUse) > spending.AccountRetention {
					totalSpent, largest = 0, 0
				}
				if owner.stopped || reserveAt(owner.ledger, fmt.Sprint(step), budget, size, model.now) != spending.Granted {
					continue
				}
				lastUse = model.now
				spent := rapid.SampledFrom([]int64{0, size / 2, size, size}).Draw(t, "spent")
				totalSpent += spent
				largest = max(largest, spent)
				openTurns = append(openTurns, turn{owner, fmt.Sprint(step), spent})
			case 4: // The log accepts only the newest owner's appends.
				ceilings := newest.ledger.DrainPendingCeilings()
				model.write(ceilings)
				newest.ledger.AcknowledgeCeilings(ceilings)
				newest.ledger.RenewAllowance(model.now)
			case 5: // A turn ends, and its settlement may be lost.
				if len(openTurns) == 0 {
					continue
				}
				ended := openTurns[0]
				openTurns = openTurns[1:]
				if !ended.owner.stopped && rapid.Bool().Draw(t, "settles") {
					ended.owner.ledger.Settle(program, ended.requestID, ended.spent, model.now)
				}
				lastUse = model.now
			case 6: // The owner is lost, or is partitioned and continues.
				model.claim(largestKnown, nil)
			case 7: // A planned stop.
				newest.stopped = true
				model.write(newest.ledger.Checkpoint())
				model.close()
				model.claim(largestKnown, nil)
			case 8: // A handover; the accounts are written with the claim.
				newest.stopped = true
				accounts := newest.ledger.ExportAccounts()
				model.close()
				model.claim(largestKnown, append([]spending.Account{}, accounts...))
			case 9: // An owner's open turns expire without settlement.
				rapid.SampledFrom(model.owners).Draw(t, "owner").ledger.ExpireTurns(model.now.Add(turnTimeout + time.Second))
			case 10: // Time passes.
				passes := rapid.SampledFrom([]time.Duration{time.Second, time.Minute, spending.AllowanceLease, spending.AccountRetention, 10 * time.Minute}).Draw(t, "passes")
				model.now = model.now.Add(passes)
				if passes > turnTimeout {
					openTurns = nil // Each has ended by its deadline.
				}
				for _, owner := range model.owners {
					owner.ledger.ExpireAccounts(model.now.Add(-spending.AccountRetention))
				}
			case 11: // The owner writes again what the log holds, and the log drops all that came before.
				model.renew()
			case 12: // An owner writes a ceiling unchanged to confirm its ownership.
				rapid.SampledFrom(model.owners).Draw(t, "owner").ledger.RequeueCeiling(program)
			}
			if totalSpent > budget+largest {
				t.Fatalf("%d tokens spent, want at most the budget of %d and one turn of %d", totalSpent, budget, largest)
			}
		}
	})
}
