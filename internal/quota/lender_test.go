package quota_test

import (
	"time"

	"github.com/magpielug/magpielug/internal/quota"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Lender", func() {
	// lentTo is a lender that has lent to a keeper up to now.
	lentTo := func(keeper string, now time.Time) *quota.Lessor {
		lender := &quota.Lessor{}
		lender.Target(keeper, true, now)
		lender.ObserveCoordinator(keeper, quota.CoordinatorTime{Incarnation: keeper, Elapsed: time.Second}, now)
		_, lent := lender.Target(keeper, true, now)
		Expect(lent.Incarnation).To(Equal(keeper))
		return lender
	}

	It("lends to the keeper that it wants once the former one can't count the share, though that one goes on answering", func() {
		lender := lentTo("a", start)
		for passed := time.Duration(0); passed < quota.LeaseDuration; passed += 50 * time.Millisecond {
			now := start.Add(passed)
			keeper, lent := lender.Target("b", true, now)
			Expect(keeper).To(Equal("a"))
			Expect(lent).To(Equal(quota.CoordinatorTime{}))
			lender.ObserveCoordinator("a", quota.CoordinatorTime{Incarnation: "a", Elapsed: time.Second + passed}, now)
		}
		keeper, _ := lender.Target("b", true, start.Add(quota.LeaseDuration))
		Expect(keeper).To(Equal("b"))
	})

	It("asks another keeper at once where the former one does not answer, and lends it nothing yet", func() {
		lender := lentTo("a", start)
		keeper, lent := lender.Target("b", false, start.Add(time.Millisecond))
		Expect(keeper).To(Equal("b"))
		lender.ObserveCoordinator("b", quota.CoordinatorTime{Incarnation: "b", Elapsed: 1}, start.Add(2*time.Millisecond))
		Expect(lent).To(Equal(quota.CoordinatorTime{}))
		_, lent = lender.Target("b", false, start.Add(3*time.Millisecond))
		Expect(lent).To(Equal(quota.CoordinatorTime{}))
	})

	It("takes no older clock for a newer one", func() {
		lender := lentTo("a", start)
		lender.ObserveCoordinator("a", quota.CoordinatorTime{Incarnation: "a", Elapsed: time.Millisecond}, start)
		_, lent := lender.Target("a", true, start)
		Expect(lent.Elapsed).To(Equal(time.Second))
	})
})
