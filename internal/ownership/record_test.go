package ownership

import (
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Records of spending", func() {
	owned := tenant.Program{Tenant: "a", ID: "p"}

	It("name a program with its tenant, and are read in the form without one too", func() {
		reading := newReplay(durable.NewMemory(), durable.Partition{})
		for _, record := range marshal(encodeCeilings([]spending.Ceiling{{Program: owned, Tokens: 7}})...) {
			reading.apply(record)
		}
		for _, record := range marshal(&nodev1.SpendingRecord{Ceilings: []*nodev1.Ceiling{{Program: "p", Tokens: 9}}}) {
			reading.apply(record)
		}
		Expect(reading.ceilings[owned].Tokens).To(Equal(int64(7)))
		Expect(reading.ceilings[owned.WithoutTenant()].Tokens).To(Equal(int64(9)))
	})

	It("keep the program's name apart, as nodes read it that know no tenants", func() {
		Expect(encodeCeilings([]spending.Ceiling{{Program: owned}})[0].Ceilings[0].Program).To(Equal("p"))
		Expect(encodeAccount(spending.Account{Program: owned}).Program).To(Equal("p"))
	})

	It("hand accounts over with their tenants", func() {
		Expect(decodeAccounts([]*nodev1.Account{encodeAccount(spending.Account{Program: owned, Spent: 3})})).
			To(ConsistOf(spending.Account{Program: owned, Spent: 3}))
	})
})
