package spending_test

import (
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Programs of tenants", func() {
	order := func(holder, request string) spending.ReserveRequest {
		return spending.ReserveRequest{Program: tenant.Program{Tenant: holder, ID: "p"}, RequestID: request, Budget: 500, MaxTokens: 288, ExpiresAt: start.Add(turnTime)}
	}

	granted := func(ledger *spending.Ledger, logged map[tenant.Program]spending.Ceiling, holder, request string) spending.Verdict {
		verdict := ledger.Reserve(order(holder, request), start)
		if verdict == spending.AwaitCeiling {
			write(ledger, logged)
			verdict = ledger.Reserve(order(holder, request), start)
		}
		return verdict
	}

	It("share no budget where two tenants use one id", func() {
		logged := map[tenant.Program]spending.Ceiling{}
		ledger := spending.NewLedger(logged, start)
		Expect(granted(ledger, logged, "a", "1")).To(Equal(spending.Granted))
		Expect(granted(ledger, logged, "a", "2")).To(Equal(spending.BudgetExhausted))
		Expect(granted(ledger, logged, "b", "3")).To(Equal(spending.Granted))
		ledger.Settle(tenant.Program{Tenant: "b", ID: "p"}, "1", 0, start)
		Expect(granted(ledger, logged, "a", "4")).To(Equal(spending.BudgetExhausted), "another tenant can't end a turn")
	})

	It("count what was spent at a node that knew no tenants", func() {
		// Its record names the program alone.
		logged := map[tenant.Program]spending.Ceiling{{ID: "p"}: {Program: tenant.Program{ID: "p"}, Tokens: 400, Settled: 400}}
		ledger := spending.NewLedger(logged, start)
		Expect(granted(ledger, logged, "a", "1")).To(Equal(spending.BudgetExhausted))
		Expect(ledger.Balance(tenant.Program{Tenant: "a", ID: "p"}).Spent).To(Equal(int64(400)))
	})
})
