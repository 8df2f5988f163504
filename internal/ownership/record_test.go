package ownership

import (
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Spending records", func() {
	program := tenant.Program{Tenant: "a", ID: "p"}

	It("contain the tenant of a program, and are also read without one", func() {
		replay := newReplay(durable.NewMemory(), durable.Partition{})
		for _, record := range marshal(encodeCeilings([]spending.Ceiling{{Program: program, Tokens: 7}})...) {
			replay.apply(0, record)
		}
		for _, record := range marshal(&nodev1.SpendingRecord{Ceilings: []*nodev1.Ceiling{{Program: "p", Tokens: 9}}}) {
			replay.apply(0, record)
		}
		Expect(replay.ceilings[program].Tokens).To(Equal(int64(7)))
		Expect(replay.ceilings[program.WithoutTenant()].Tokens).To(Equal(int64(9)))
	})

	It("keep the program id separate from the tenant, for nodes without tenant support", func() {
		Expect(encodeCeilings([]spending.Ceiling{{Program: program}})[0].Ceilings[0].Program).To(Equal("p"))
		Expect(encodeAccount(spending.Account{Program: program}).Program).To(Equal("p"))
	})

	It("hand over accounts with their tenants", func() {
		Expect(decodeAccounts([]*nodev1.Account{encodeAccount(spending.Account{Program: program, Spent: 3})})).
			To(ConsistOf(spending.Account{Program: program, Spent: 3}))
	})
})
