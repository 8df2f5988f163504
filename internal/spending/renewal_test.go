package spending_test

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Ledger with a program without a budget", func() {
	// Guards against a 402 for such a program once owners were lost several times.
	It("grants its turns whatever former owners may have granted", func() {
		logged := map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: spending.Unlimited, Settled: 10, Epoch: 3}}
		ledger := spending.NewLedger(logged, start)
		ledger.SetAllowances(spending.Allowance{Epoch: 4}, []spending.Allowance{spending.NewAllowance(1, 100), spending.NewAllowance(2, 100)})
		for _, request := range []string{"a", "b"} {
			Expect(reserve(ledger, request, spending.Unlimited, 100)).To(Equal(spending.Granted))
			Expect(ledger.Settle(program, request, 40, start)).To(BeTrue())
		}
		Expect(ledger.DrainPendingCeilings()).To(BeEmpty())
	})
})

var _ = Describe("Ledger of an owner whose ceilings may have left the log", func() {
	const budget, largestTurn = 300, 100
	limits := spending.RetentionLimits{AllowanceLease: logRetention / 2, CeilingLease: logRetention * 3 / 4}

	// Guards against a successor that takes a ceiling, written only to confirm the ownership, for all that
	// former owners may have granted.
	It("names what former owners may have granted when it confirms its ownership", func() {
		first := spending.NewAllowance(1, largestTurn)
		second := spending.NewLedger(nil, start)
		second.SetAllowances(spending.Allowance{Epoch: 2}, []spending.Allowance{first})
		second.SetRetentionLimits(limits, start, start)
		late := start.Add(limits.CeilingLease + time.Second)
		Expect(reserveAt(second, "a", budget, 10, late)).To(Equal(spending.AwaitCeiling))
		logged := map[tenant.Program]spending.Ceiling{}
		write(second, logged)
		for id, ceiling := range logged {
			ceiling.Epoch = 2
			logged[id] = ceiling
		}

		third := spending.NewLedger(logged, late)
		third.SetAllowances(spending.Allowance{Epoch: 3}, []spending.Allowance{first})
		granted := int64(0)
		for number := range 2 * budget / 10 {
			id := fmt.Sprint("t", number)
			verdict := reserveAt(third, id, budget, 10, late)
			if verdict == spending.AwaitCeiling {
				write(third, logged)
				verdict = reserveAt(third, id, budget, 10, late)
			}
			if verdict != spending.Granted {
				break
			}
			third.Settle(program, id, 10, late)
			granted += 10
		}
		Expect(granted).To(BeNumerically("<=", budget-budget/3+10))
	})
})
