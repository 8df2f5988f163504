package quota_test

import (
	"time"

	"github.com/magpielug/magpielug/internal/quota"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Lessor", func() {
	// lessorTo returns a lessor whose lease to a coordinator starts now.
	lessorTo := func(coordinator string, now time.Time) *quota.Lessor {
		lessor := &quota.Lessor{}
		lessor.Target(coordinator, true, now)
		lessor.ObserveCoordinator(coordinator, quota.CoordinatorTime{Incarnation: coordinator, Elapsed: time.Second}, now)
		_, leaseStart := lessor.Target(coordinator, true, now)
		Expect(leaseStart.Incarnation).To(Equal(coordinator))
		return lessor
	}

	It("leases to the wanted coordinator once the former lease has expired, although the former one still responds", func() {
		lessor := lessorTo("a", start)
		for elapsed := time.Duration(0); elapsed < quota.LeaseDuration; elapsed += 50 * time.Millisecond {
			now := start.Add(elapsed)
			coordinator, leaseStart := lessor.Target("b", true, now)
			Expect(coordinator).To(Equal("a"))
			Expect(leaseStart).To(Equal(quota.CoordinatorTime{}))
			lessor.ObserveCoordinator("a", quota.CoordinatorTime{Incarnation: "a", Elapsed: time.Second + elapsed}, now)
		}
		coordinator, _ := lessor.Target("b", true, start.Add(quota.LeaseDuration))
		Expect(coordinator).To(Equal("b"))
	})

	It("turns to another coordinator at once if the former one does not respond, without a lease", func() {
		lessor := lessorTo("a", start)
		coordinator, leaseStart := lessor.Target("b", false, start.Add(time.Millisecond))
		Expect(coordinator).To(Equal("b"))
		lessor.ObserveCoordinator("b", quota.CoordinatorTime{Incarnation: "b", Elapsed: 1}, start.Add(2*time.Millisecond))
		Expect(leaseStart).To(Equal(quota.CoordinatorTime{}))
		_, leaseStart = lessor.Target("b", false, start.Add(3*time.Millisecond))
		Expect(leaseStart).To(Equal(quota.CoordinatorTime{}))
	})

	It("ignores an older clock", func() {
		lessor := lessorTo("a", start)
		lessor.ObserveCoordinator("a", quota.CoordinatorTime{Incarnation: "a", Elapsed: time.Millisecond}, start)
		_, leaseStart := lessor.Target("a", true, start)
		Expect(leaseStart.Elapsed).To(Equal(time.Second))
	})
})
