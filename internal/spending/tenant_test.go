package spending_test

import (
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Programs of tenants", func() {
	request := func(tenantName, id string) spending.ReserveRequest {
		return spending.ReserveRequest{Program: tenant.Program{Tenant: tenantName, ID: "p"}, RequestID: id, Budget: 500, MaxTokens: 288, ExpiresAt: start.Add(turnTimeout)}
	}

	reserveLogged := func(ledger *spending.Ledger, logged map[tenant.Program]spending.Ceiling, tenantName, id string) spending.Verdict {
		verdict := ledger.Reserve(request(tenantName, id), start)
		if verdict == spending.AwaitCeiling {
			write(ledger, logged)
			verdict = ledger.Reserve(request(tenantName, id), start)
		}
		return verdict
	}

	It("share no budget if two tenants use the same id", func() {
		logged := map[tenant.Program]spending.Ceiling{}
		ledger := spending.NewLedger(logged, start)
		Expect(reserveLogged(ledger, logged, "a", "1")).To(Equal(spending.Granted))
		Expect(reserveLogged(ledger, logged, "a", "2")).To(Equal(spending.BudgetExhausted))
		Expect(reserveLogged(ledger, logged, "b", "3")).To(Equal(spending.Granted))
		ledger.Settle(tenant.Program{Tenant: "b", ID: "p"}, "1", 0, start)
		Expect(reserveLogged(ledger, logged, "a", "4")).To(Equal(spending.BudgetExhausted), "another tenant can't end a turn")
	})

	It("are charged for spending recorded by a node without tenant support", func() {
		// Its records contain no tenant.
		logged := map[tenant.Program]spending.Ceiling{{ID: "p"}: {Program: tenant.Program{ID: "p"}, Tokens: 400, Settled: 400}}
		ledger := spending.NewLedger(logged, start)
		Expect(reserveLogged(ledger, logged, "a", "1")).To(Equal(spending.BudgetExhausted))
		Expect(ledger.Balance(tenant.Program{Tenant: "a", ID: "p"}).Spent).To(Equal(int64(400)))
	})
})
