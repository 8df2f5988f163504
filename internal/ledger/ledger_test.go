package ledger_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/ledger"
	"github.com/magpielug/magpielug/internal/resultcode"
)

var _ = Describe("account and escrows over a faulty network", func() {
	It("never exceeds the budget and recovers all idle escrow", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			net := newNetwork(t)
			t.Repeat(map[string]func(*rapid.T){
				"":                     net.checkInvariants,
				"reserve":              net.reserve,
				"settle":               net.settle,
				"topUp":                net.topUp,
				"returnIdle":           net.returnIdle,
				"deliver":              net.deliver,
				"deliverAgain":         net.deliver,
				"lose":                 net.drop,
				"changeBudget":         net.changeBudget,
				"replaceHolder":        net.restoreEscrow,
				"replaceAccountHolder": net.restoreAccount,
			})
			net.settleAll(t)
			net.checkInvariants(t)
			var spent ledger.Micros
			for _, escrow := range net.escrows {
				spent += escrow.Spent()
			}
			if net.account.Outstanding() != spent {
				t.Fatalf("outstanding is %d after all idle escrow was returned, want the spent total %d", net.account.Outstanding(), spent)
			}
		})
	})
})

var _ = Describe("account", func() {
	It("returns the same total for a duplicate request", func() {
		account := ledger.NewAccount(100)
		Expect(account.Grant(7, 60)).To(BeEquivalentTo(60))
		Expect(account.Grant(7, 60)).To(BeEquivalentTo(60))
		Expect(account.Grant(8, 60)).To(BeEquivalentTo(40))
		Expect(account.Holders()).To(Equal([]uint32{7, 8}))
		Expect(account.Available()).To(BeZero())
	})

	It("ignores a stale request after its grant was returned", func() {
		account := ledger.NewAccount(100)
		account.Grant(7, 60)
		Expect(account.RaiseReturned(7, 60)).To(BeNil())
		Expect(account.Grant(7, 60)).To(BeEquivalentTo(60))
		Expect(account.Outstanding()).To(BeZero())
		Expect(account.Holders()).To(BeEmpty())
	})

	It("stops granting when the budget is lowered below the outstanding amount", func() {
		account := ledger.NewAccount(100)
		account.Grant(7, 60)
		account.SetBudget(50)
		Expect(account.Grant(8, 10)).To(BeZero())
		Expect(account.Excess()).To(BeEquivalentTo(10))
		Expect(account.RaiseReturned(7, 30)).To(BeNil())
		Expect(account.Grant(8, 30)).To(BeEquivalentTo(20))
	})

	It("rejects a returned total above the granted total without effect", func() {
		account := ledger.NewAccount(100)
		account.Grant(7, 60)
		Expect(account.RaiseReturned(7, 61).Code).To(Equal(resultcode.Internal))
		Expect(account.RaiseReturned(8, 1).Code).To(Equal(resultcode.Internal))
		Expect(account.Outstanding()).To(BeEquivalentTo(60))
	})

	It("rejects a snapshot record that violates its invariants", func() {
		for _, holders := range [][]*shardv1.AccountHolder{
			{{Shard: 1, GrantedMicros: 5, ReturnedMicros: 6}},
			{{Shard: 1, GrantedMicros: 5}, {Shard: 1, GrantedMicros: 5}},
			{{Shard: 1, GrantedMicros: math.MaxUint64}, {Shard: 2, GrantedMicros: 1}},
		} {
			_, failure := ledger.RestoreAccount(&shardv1.AccountRecord{Holders: holders})
			Expect(failure).NotTo(BeNil())
		}
	})
})

var _ = Describe("escrow", func() {
	It("keeps its granted total when a stale grant arrives", func() {
		var escrow ledger.Escrow
		Expect(escrow.RaiseGranted(100)).To(BeTrue())
		Expect(escrow.RaiseGranted(60)).To(BeFalse())
		Expect(escrow.Granted()).To(BeEquivalentTo(100))
	})

	It("rejects operations that exceed the available or reserved amount without effect", func() {
		var escrow ledger.Escrow
		escrow.RaiseGranted(100)
		Expect(escrow.Reserve(60)).To(BeNil())
		Expect(escrow.Reserve(41).Code).To(Equal(resultcode.BudgetExhausted))
		Expect(escrow.Reserve(math.MaxUint64).Code).To(Equal(resultcode.BudgetExhausted))
		Expect(escrow.RaiseReturned(41).Code).To(Equal(resultcode.BudgetExhausted))
		_, failure := escrow.Settle(61, 0)
		Expect(failure.Code).To(Equal(resultcode.Internal))
		Expect(escrow.Available()).To(BeEquivalentTo(40))
	})

	It("caps the charge at the reservation", func() {
		var escrow ledger.Escrow
		escrow.RaiseGranted(100)
		Expect(escrow.Reserve(60)).To(BeNil())
		charge, failure := escrow.Settle(60, 90)
		Expect(failure).To(BeNil())
		Expect(charge).To(BeEquivalentTo(60))
		Expect(escrow.Available()).To(BeEquivalentTo(40))
	})

	It("rejects a snapshot record whose amounts exceed the granted total", func() {
		_, failure := ledger.RestoreEscrow(&shardv1.EscrowRecord{GrantedMicros: 5, SpentMicros: math.MaxUint64, ReservedMicros: 6})
		Expect(failure).NotTo(BeNil())
	})
})

var _ = Describe("top-up", func() {
	It("requests the same total below the low-water mark until it is granted", func() {
		policy := ledger.TopUpPolicy{LowWater: 10, Chunk: 50}
		var escrow ledger.Escrow
		wanted, ask := policy.Wanted(&escrow, 20)
		Expect(ask).To(BeTrue())
		Expect(wanted).To(BeEquivalentTo(80))
		again, _ := policy.Wanted(&escrow, 20)
		Expect(again).To(Equal(wanted))
		escrow.RaiseGranted(wanted)
		_, ask = policy.Wanted(&escrow, 20)
		Expect(ask).To(BeFalse())
	})
})

var _ = DescribeTable("cost of a call",
	func(price ledger.Price, prompt, output uint32, want uint64) {
		Expect(price.Cost(prompt, output)).To(BeEquivalentTo(want))
	},
	Entry("nothing", ledger.Price{Prompt: 7, Output: 7}, uint32(0), uint32(0), uint64(0)),
	Entry("rounded up once", ledger.Price{Prompt: 1, Output: 1}, uint32(1), uint32(1), uint64(1)),
	Entry("exact", ledger.Price{Prompt: 2000, Output: 3000}, uint32(500), uint32(1000), uint64(4000)),
	Entry("product overflows", ledger.Price{Prompt: math.MaxUint64}, uint32(2), uint32(0), uint64(math.MaxUint64)),
	Entry("sum overflows", ledger.Price{Prompt: math.MaxUint64, Output: math.MaxUint64}, uint32(1), uint32(1), uint64(math.MaxUint64)),
)
