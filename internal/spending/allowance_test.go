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

// firstOwner returns the ledger of a shard's first owner, whose claim carries an
// allowance.
func firstOwner(largest int64) (*spending.Ledger, spending.Allowance) {
	own := spending.NewAllowance(1, largest)
	ledger := spending.NewLedger(nil, start)
	ledger.SetAllowances(own, nil)
	return ledger, own
}

// successor returns the ledger of an owner that knows of an allowance only.
func successor(outstanding spending.Allowance) *spending.Ledger {
	ledger := spending.NewLedger(nil, start)
	ledger.SetAllowances(spending.Allowance{}, []spending.Allowance{outstanding})
	return ledger
}

var _ = Describe("Allowance", func() {
	It("lets turns begin without a write until it is used", func() {
		ledger, _ := firstOwner(576)
		for _, request := range []string{"a", "b", "c"} {
			Expect(reserve(ledger, request, 1800, 576)).To(Equal(spending.Granted))
			ledger.Settle(program, request, 280, start)
		}
		Expect(reserve(ledger, "d", 1800, 576)).To(Equal(spending.AwaitCeiling))
		write(ledger, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(ledger, "d", 1800, 576)).To(Equal(spending.Granted))
	})

	It("wants no write for a program that uses little", func() {
		ledger, _ := firstOwner(576)
		Expect(reserve(ledger, "a", 1800, 576)).To(Equal(spending.Granted))
		ledger.Settle(program, "a", 100, start)
		Expect(reserve(ledger, "b", 1800, 576)).To(Equal(spending.Granted))
		Expect(ledger.DrainPendingCeilings()).To(BeEmpty())
	})

	It("is not given where no whole turn would fit beside it", func() {
		ledger, _ := firstOwner(576)
		Expect(reserve(ledger, "a", 800, 576)).To(Equal(spending.AwaitCeiling))
	})

	It("leaves a successor a whole turn of every program that it holds for", func() {
		_, own := firstOwner(576)
		next := successor(own)
		Expect(reserve(next, "a", 900, 576)).To(Equal(spending.AwaitCeiling))
		write(next, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(next, "a", 900, 576)).To(Equal(spending.Granted))
	})

	It("is counted by a successor for programs that the log does not name", func() {
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
		// The claim was made when only small turns had been asked for.
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

	It("leaves a successor a turn also of a program that used most of its budget", func() {
		_, own := firstOwner(20)
		next := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 900, Settled: 600, Epoch: own.Epoch}}, start)
		next.SetAllowances(spending.Allowance{}, []spending.Allowance{own})
		Expect(reserve(next, "a", 1000, 300)).To(Equal(spending.AwaitCeiling))
		write(next, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(next, "a", 1000, 300)).To(Equal(spending.Granted))
		Expect(reserve(next, "b", 1000, 100)).To(Equal(spending.Undetermined))
	})

	It("leaves no turn beyond the budget to a successor that has granted another", func() {
		_, own := firstOwner(20)
		next := successor(own)
		Expect(reserve(next, "a", 1000, 300)).To(Equal(spending.AwaitCeiling))
		write(next, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(next, "a", 1000, 300)).To(Equal(spending.Granted))
		Expect(reserve(next, "b", 1000, 600)).To(Equal(spending.Undetermined))
	})

	It("lets the log name a turn beyond the budget first, also where there is an allowance", func() {
		ledger := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 700, Settled: 100}}, start)
		ledger.SetAllowances(spending.NewAllowance(1, 100), nil)
		Expect(reserve(ledger, "a", 1000, 400)).To(Equal(spending.AwaitCeiling))
		logged := map[tenant.Program]spending.Ceiling{}
		write(ledger, logged)
		Expect(logged[program].Tokens).To(BeNumerically(">", 1000))
		Expect(reserve(ledger, "a", 1000, 400)).To(Equal(spending.Granted))
	})

	It("has a second one after the loss of its owner, for programs that it has named, which turns end below", func() {
		_, lost := firstOwner(100)
		second := spending.ClaimAllowance(2, 100, []spending.Allowance{lost}, true)
		ledger := spending.NewLedger(nil, start)
		ledger.SetAllowances(second, []spending.Allowance{lost})
		logged := map[tenant.Program]spending.Ceiling{}
		Expect(reserve(ledger, "a", 900, 100)).To(Equal(spending.AwaitCeiling), "the program is named first")
		write(ledger, logged)
		// From now on the log is away. A third of 900 may have been used by the lost owner,
		// a third is this one's.
		for _, request := range []string{"a", "b", "c"} {
			Expect(reserve(ledger, request, 900, 100)).To(Equal(spending.Granted))
			ledger.Settle(program, request, 90, start)
		}
		Expect(reserve(ledger, "d", 900, 100)).To(Equal(spending.Granted))
		Expect(reserve(ledger, "e", 900, 200)).To(Equal(spending.AwaitCeiling), "would end beyond it")

		for _, ceiling := range logged {
			ceiling.Epoch = 2
			logged[ceiling.Program] = ceiling
		}
		third := spending.NewLedger(logged, start)
		third.SetAllowances(spending.Allowance{}, []spending.Allowance{lost, second})
		reserve(third, "f", 900, 10)
		Expect(third.Balance(program).Spent).To(BeNumerically(">=", 600), "a successor counts both for a program that is named")
		fresh := tenant.Program{ID: "begins under the third owner"}
		third.Reserve(spending.ReserveRequest{Program: fresh, RequestID: "g", Budget: 900, MaxTokens: 10, ExpiresAt: start}, start)
		Expect(third.Balance(fresh).Spent).To(BeNumerically("<=", 300), "and the first one for any other")
	})

	It("has no third one, and no second one while nodes don't count it, or for small budgets", func() {
		_, lost := firstOwner(100)
		second := spending.ClaimAllowance(2, 100, []spending.Allowance{lost}, true)
		Expect(second.Permille).To(BeNumerically(">", 0))
		Expect(spending.ClaimAllowance(3, 100, []spending.Allowance{lost, second}, true)).To(BeZero())
		Expect(spending.ClaimAllowance(2, 100, []spending.Allowance{lost}, false)).To(BeZero())
		ledger := spending.NewLedger(nil, start)
		ledger.SetAllowances(second, []spending.Allowance{lost})
		Expect(reserve(ledger, "a", 300, 100)).To(Equal(spending.AwaitCeiling))
	})

	It("holds for a budget without a bound", func() {
		ledger, _ := firstOwner(576)
		Expect(reserve(ledger, "a", 1<<61, 576)).To(Equal(spending.Granted))
	})
})

// shardModel is a shard's partition of the log and all owners that it ever had.
type shardModel struct {
	ceilings    map[tenant.Program]spending.Ceiling
	outstanding []spending.Allowance
	owners      []*modelOwner
	// second is true where all nodes count a second allowance.
	second bool
}

// modelOwner is an owner; stopped ones grant nothing any more.
type modelOwner struct {
	ledger  *spending.Ledger
	own     spending.Allowance
	stopped bool
}

func (model *shardModel) newest() *modelOwner { return model.owners[len(model.owners)-1] }

func (model *shardModel) epoch() int64 { return int64(len(model.owners)) }

// write acknowledges the newest owner's ceilings.
func (model *shardModel) write(ceilings []spending.Ceiling) {
	for _, ceiling := range ceilings {
		ceiling.Epoch = model.epoch()
		model.ceilings[ceiling.Program] = ceiling
	}
}

// close takes the newest owner's allowance out of those that may be used.
func (model *shardModel) close() {
	closed := model.newest().own
	var left []spending.Allowance
	for _, allowance := range model.outstanding {
		if allowance != closed {
			left = append(left, allowance)
		}
	}
	model.outstanding = left
}

// claim adds an owner that starts from the log.
func (model *shardModel) claim(largest int64, accounts []spending.Account) {
	ledger := spending.NewLedger(maps.Clone(model.ceilings), start)
	ledger.ImportAccounts(accounts, start)
	former := model.outstanding
	own := spending.ClaimAllowance(model.epoch()+1, largest, former, model.second)
	if own.Permille > 0 {
		model.outstanding = append(slices.Clone(former), own)
	}
	ledger.SetAllowances(own, former)
	model.owners = append(model.owners, &modelOwner{ledger: ledger, own: own})
	if accounts != nil {
		model.write(ledger.Checkpoint())
	}
}

// TestAllowancesHold lets owners with allowances come and go. Some are lost or
// cut off and go on granting, some hand over through the log, some directly; all
// may be asked at any time, and the log may be away for any number of steps.
func TestAllowancesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 100
		// Few sizes, so that bounds are met exactly and by different ways.
		sizes := rapid.SampledFrom([]int64{20, 60, most})
		budget := rapid.SampledFrom([]int64{100, 150, 200, 300, 400}).Draw(t, "budget")
		largestKnown := sizes.Draw(t, "largest known")
		model := &shardModel{ceilings: map[tenant.Program]spending.Ceiling{}, second: rapid.Bool().Draw(t, "second")}
		model.claim(largestKnown, nil)
		type turn struct {
			owner *modelOwner
			key   string
			spent int64
		}
		var open []turn
		given, largest := int64(0), int64(0)
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			newest := model.newest()
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2, 3: // Any owner, also one that was cut off, is asked.
				owner := rapid.SampledFrom(model.owners).Draw(t, "owner")
				size := sizes.Draw(t, "most")
				if owner.stopped || reserve(owner.ledger, fmt.Sprint(step), budget, size) != spending.Granted {
					continue
				}
				spent := rapid.SampledFrom([]int64{0, size / 2, size, size}).Draw(t, "spent")
				given += spent
				largest = max(largest, spent)
				open = append(open, turn{owner, fmt.Sprint(step), spent})
			case 4: // Only the newest owner's appends are taken.
				wanted := newest.ledger.DrainPendingCeilings()
				model.write(wanted)
				newest.ledger.AcknowledgeCeilings(wanted)
			case 5: // A turn ends, or its end never comes to its owner.
				if len(open) == 0 {
					continue
				}
				ended := open[0]
				open = open[1:]
				if !ended.owner.stopped && rapid.Bool().Draw(t, "settles") {
					ended.owner.ledger.Settle(program, ended.key, ended.spent, start)
				}
			case 6: // The owner is lost, or cut off and goes on.
				model.claim(largestKnown, nil)
			case 7: // A planned stop.
				newest.stopped = true
				model.write(newest.ledger.Checkpoint())
				model.close()
				model.claim(largestKnown, nil)
			case 8: // It yields; its accounts are written with the claim.
				newest.stopped = true
				accounts := newest.ledger.ExportAccounts()
				model.close()
				model.claim(largestKnown, append([]spending.Account{}, accounts...))
			case 9: // An owner hears of no end until the turns' time is over.
				rapid.SampledFrom(model.owners).Draw(t, "owner").ledger.ExpireTurns(start.Add(turnTime + time.Second))
			}
			if given > budget+largest {
				t.Fatalf("%d tokens given, budget %d and one turn of %d", given, budget, largest)
			}
		}
	})
}
