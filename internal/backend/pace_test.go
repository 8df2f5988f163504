package backend_test

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Pace", func() {
	const route = "tool"
	const usual = 20 * time.Millisecond

	// hear notes answers of an engine.
	hear := func(directory *backend.Directory, id string, took time.Duration, answers int) {
		engine := assign(directory, id)
		for range answers {
			directory.RecordFirstByte(engine, route, took, now)
		}
		directory.Finish(engine, backend.Succeeded, now)
	}

	// shareOf is the share of 1,000 requests, each ended at once, that an engine gets.
	shareOf := func(directory *backend.Directory, id string, at time.Time) float64 {
		count := 0
		for range 1000 {
			picked := directory.Pick(&backend.Request{Service: service, Zone: "z"}, at)
			if picked.ID == id {
				count++
			}
			directory.Finish(picked, backend.Succeeded, at)
		}
		return float64(count) / 1000
	}

	It("sends few requests to an engine that is slower than others, also while several are", func() {
		directory := newDirectory(4)
		hear(directory, "e0", usual, 20)
		hear(directory, "e1", 8*usual, 5)
		hear(directory, "e2", 8*usual, 5)
		Expect(directory.SlowEngines(now)["e1"]).To(BeNumerically(">", 4))
		Expect(directory.SlowEngines(now)).NotTo(HaveKey("e0"))
		Expect(shareOf(directory, "e1", now)).To(BeZero())
		Expect(shareOf(directory, "e0", now)).To(BeNumerically(">", 0.3))
	})

	It("takes no engine for slow by a single long answer among others", func() {
		directory := newDirectory(2)
		hear(directory, "e0", usual, 20)
		hear(directory, "e1", usual, 9)
		hear(directory, "e1", 8*usual, 1)
		Expect(directory.SlowEngines(now)).To(BeEmpty())
	})

	It("tries an engine again some seconds after it was slow", func() {
		directory := newDirectory(2)
		hear(directory, "e0", usual, 20)
		hear(directory, "e1", 8*usual, 5)
		Expect(directory.SlowEngines(now.Add(time.Second))["e1"]).To(BeNumerically(">", 4))
		Expect(directory.SlowEngines(now.Add(4 * time.Second))).To(BeEmpty())
	})

	It("gathers what several nodes observe, and tells it", func() {
		gathering := newDirectory(2)
		for range 3 {
			observing := newDirectory(2)
			hear(observing, "e0", usual, 20)
			hear(observing, "e1", 8*usual, 1)
			gathering.AddLatencyStats(observing.DrainLatencyStats(), now)
			Expect(observing.DrainLatencyStats()).To(BeEmpty(), "told once")
		}
		slow := gathering.SlowEngines(now)
		Expect(slow).To(HaveLen(1))
		Expect(slow).To(HaveKey("e1"))

		gathering.AddLatencyStats(map[string]backend.LatencyStats{"e0": {Weight: 1, Sum: math.Inf(1)}, "e1": {Weight: math.NaN(), Sum: math.NaN()}}, now)
		Expect(gathering.SlowEngines(now)).To(Equal(slow), "what no node can observe")

		told := newDirectory(2)
		told.SetRemoteSlowEngines(slow, now)
		Expect(shareOf(told, "e1", now)).To(BeZero())
		told.SetRemoteSlowEngines(nil, now)
		Expect(shareOf(told, "e1", now)).To(BeNumerically(">", 0.3))
	})
})
