package cache_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/cache"
)

var _ = Describe("predictive", func() {
	pause := cache.Pause{
		Tokens: 4000, ExpectedPause: time.Second, ReuseProbability: 0.9, Pressure: 1,
		RecomputeCost: 100 * time.Millisecond,
	}

	It("keeps a prefix for a limited time over a short pause", func() {
		decision := cache.PredictivePolicy{}.AtPause(pause)
		Expect(decision.Action).To(Equal(cache.ActionKeep))
		Expect(decision.KeepFor).To(Equal(3 * time.Second))
	})

	It("releases a prefix over a long pause under memory pressure, or exports it when cheaper", func() {
		long := pause
		long.ExpectedPause = time.Minute
		Expect(cache.PredictivePolicy{}.AtPause(long).Action).To(Equal(cache.ActionRelease))
		long.ExportCost = 10 * time.Millisecond
		Expect(cache.PredictivePolicy{}.AtPause(long).Action).To(Equal(cache.ActionExport))
		long.Pressure = 0.3
		Expect(cache.PredictivePolicy{}.AtPause(long).Action).To(Equal(cache.ActionKeep))
	})

	It("releases a prefix with a low reuse probability", func() {
		unlikely := pause
		unlikely.ReuseProbability = 0.01
		Expect(cache.PredictivePolicy{}.AtPause(unlikely).Action).To(Equal(cache.ActionRelease))
	})

	It("rejects an unknown policy name", func() {
		_, err := cache.ByName("forget")
		Expect(err).To(HaveOccurred())
	})
})
