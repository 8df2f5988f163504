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

	It("keeps over a short pause, for a bounded time", func() {
		decision := cache.PredictivePolicy{}.AtPause(pause)
		Expect(decision.Action).To(Equal(cache.ActionKeep))
		Expect(decision.KeepFor).To(Equal(3 * time.Second))
	})

	It("releases over a long pause under pressure, or exports where that is cheaper", func() {
		long := pause
		long.ExpectedPause = time.Minute
		Expect(cache.PredictivePolicy{}.AtPause(long).Action).To(Equal(cache.ActionRelease))
		long.ExportCost = 10 * time.Millisecond
		Expect(cache.PredictivePolicy{}.AtPause(long).Action).To(Equal(cache.ActionExport))
		long.Pressure = 0.3
		Expect(cache.PredictivePolicy{}.AtPause(long).Action).To(Equal(cache.ActionKeep))
	})

	It("releases what is hardly ever used again", func() {
		last := pause
		last.ReuseProbability = 0.01
		Expect(cache.PredictivePolicy{}.AtPause(last).Action).To(Equal(cache.ActionRelease))
	})

	It("refuses an unknown name", func() {
		_, err := cache.ByName("forget")
		Expect(err).To(HaveOccurred())
	})
})
