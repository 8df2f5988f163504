package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/ledger"
	"github.com/magpielug/magpielug/internal/resultcode"
)

var _ = Describe("requester", func() {
	const (
		retry = time.Second
		idle  = 30 * time.Second
		shard = 7
	)
	gold := ledger.Tier{Tenant: "north", Name: "gold"}
	waiting := map[ledger.Tier]ledger.Demand{gold: {Budget: 6400, Need: 40, UsualWorstCase: 10}}
	quiet := map[ledger.Tier]ledger.Demand{gold: {Budget: 6400, UsualWorstCase: 10}}
	var book, accountBook *ledger.Book
	var requester *ledger.Requester

	BeforeEach(func() {
		book, accountBook = ledger.NewBook(), ledger.NewBook()
		requester = ledger.NewRequester(ledger.RequesterConfig{Retry: retry, Idle: idle})
	})

	// answer lets the account's shard and then the asking one commit a request.
	answer := func(request ledger.Request) {
		GinkgoHelper()
		Expect(accountBook.ApplyAccountReturned(&shardv1.AccountReturned{Tenant: "north", Tier: "gold", Shard: shard,
			ReturnedTotalMicros: uint64(request.ReturnedTotal)})).To(BeNil())
		accountBook.ApplyAccountGranted(&shardv1.AccountGranted{Tenant: "north", Tier: "gold", Shard: shard,
			WantedTotalMicros: uint64(request.WantedTotal), BudgetMicros: 6400})
		granted, returned := accountBook.Account(gold, shard)
		book.ApplyEscrowRaised(&shardv1.EscrowRaised{Tenant: "north", Tier: "gold", GrantedTotalMicros: uint64(granted)})
		Expect(requester.Answered(gold, granted, returned)).To(BeFalse())
	}

	It("asks for a tier in need, once an interval, and not again once it is covered", func() {
		requests, _ := requester.Tick(0, book, waiting)
		Expect(requests).To(Equal([]ledger.Request{{Tier: gold, WantedTotal: 40 + 25 + 100}}))
		again, _ := requester.Tick(retry/2, book, waiting)
		Expect(again).To(BeEmpty())
		again, _ = requester.Tick(retry, book, waiting)
		Expect(again).To(Equal(requests))
		answer(requests[0])
		again, _ = requester.Tick(2*retry, book, waiting)
		Expect(again).To(BeEmpty())
	})

	It("leaves alone a tier that has no calls, and the replicated state with it", func() {
		requests, returns := requester.Tick(0, book, quiet)
		Expect(requests).To(BeEmpty())
		Expect(returns).To(BeEmpty())
		Expect(book.EscrowRecords()).To(BeEmpty())
	})

	It("gives an idle tier's escrow back and tells the account until it knows", func() {
		requests, _ := requester.Tick(0, book, waiting)
		answer(requests[0])
		Expect(book.Reserve(gold, 40)).To(BeNil())
		requester.Tick(retry, book, quiet)
		_, returns := requester.Tick(idle*2, book, quiet)
		Expect(returns).To(BeEmpty(), "a call is under way")
		_, failure := book.Settle(gold, 40, 30)
		Expect(failure).To(BeNil())
		requester.Tick(idle*3, book, quiet)
		_, returns = requester.Tick(idle*4, book, quiet)
		Expect(returns).To(Equal([]ledger.Return{{Tier: gold, ReturnedTotal: 135}}))
		Expect(book.ApplyEscrowReturned(&shardv1.EscrowReturned{Tenant: "north", Tier: "gold", ReturnedTotalMicros: 135})).To(BeNil())
		requests, returns = requester.Tick(idle*4+retry, book, quiet)
		Expect(returns).To(BeEmpty())
		Expect(requests).To(Equal([]ledger.Request{{Tier: gold, WantedTotal: 165, ReturnedTotal: 135}}))
		answer(requests[0])
		requests, _ = requester.Tick(idle*5, book, quiet)
		Expect(requests).To(BeEmpty())
		granted, returned := accountBook.Account(gold, shard)
		Expect(granted - returned).To(BeEquivalentTo(30))
	})

	It("reports an account that can't cover what was asked", func() {
		requester.Tick(0, book, waiting)
		Expect(requester.Answered(gold, 20, 0)).To(BeTrue())
	})
})

var _ = Describe("book", func() {
	It("comes back from its records", func() {
		book := ledger.NewBook()
		for _, name := range []string{"silver", "gold"} {
			book.ApplyEscrowRaised(&shardv1.EscrowRaised{Tenant: "north", Tier: name, GrantedTotalMicros: 90})
			book.ApplyAccountGranted(&shardv1.AccountGranted{Tenant: "north", Tier: name, Shard: 3, WantedTotalMicros: 60, BudgetMicros: 50})
		}
		restored, failure := ledger.RestoreBook(book.EscrowRecords(), book.AccountRecords())
		Expect(failure).To(BeNil())
		Expect(restored).To(Equal(book))
		Expect(restored.EscrowTiers()).To(Equal([]ledger.Tier{{Tenant: "north", Name: "gold"}, {Tenant: "north", Name: "silver"}}))
	})

	It("refuses to reserve where nothing was granted", func() {
		Expect(ledger.NewBook().Reserve(ledger.Tier{Tenant: "north", Name: "gold"}, 1).Code).To(Equal(resultcode.BudgetExhausted))
	})
})
