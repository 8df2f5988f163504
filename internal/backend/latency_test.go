package backend_test

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Recent slowness", func() {
	const route = "tool"
	const typicalLatency = 20 * time.Millisecond

	// recordResponses records responses of an engine.
	recordResponses := func(directory *backend.Directory, id string, took time.Duration, count int) {
		engine := pickAssigned(directory, id)
		for range count {
			directory.RecordFirstByte(engine, route, took, now)
		}
		directory.Finish(engine, backend.Succeeded, now)
	}

	// shareOf returns the share of 1,000 successive requests that an engine gets.
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

	It("sends few requests to slow engines, even if several are slow", func() {
		directory := newDirectory(4)
		recordResponses(directory, "e0", typicalLatency, 20)
		recordResponses(directory, "e1", 8*typicalLatency, 5)
		recordResponses(directory, "e2", 8*typicalLatency, 5)
		Expect(directory.SlowEngines(now)["e1"]).To(BeNumerically(">", 4))
		Expect(directory.SlowEngines(now)).NotTo(HaveKey("e0"))
		Expect(shareOf(directory, "e1", now)).To(BeZero())
		Expect(shareOf(directory, "e0", now)).To(BeNumerically(">", 0.3))
	})

	It("ignores a single slow response", func() {
		directory := newDirectory(2)
		recordResponses(directory, "e0", typicalLatency, 20)
		recordResponses(directory, "e1", typicalLatency, 9)
		recordResponses(directory, "e1", 8*typicalLatency, 1)
		Expect(directory.SlowEngines(now)).To(BeEmpty())
	})

	It("tries a slow engine again after some seconds", func() {
		directory := newDirectory(2)
		recordResponses(directory, "e0", typicalLatency, 20)
		recordResponses(directory, "e1", 8*typicalLatency, 5)
		Expect(directory.SlowEngines(now.Add(time.Second))["e1"]).To(BeNumerically(">", 4))
		Expect(directory.SlowEngines(now.Add(4 * time.Second))).To(BeEmpty())
	})

	It("aggregates observations of several nodes and reports slow engines", func() {
		aggregating := newDirectory(2)
		for range 3 {
			reporting := newDirectory(2)
			recordResponses(reporting, "e0", typicalLatency, 20)
			recordResponses(reporting, "e1", 8*typicalLatency, 1)
			aggregating.AddLatencyStats(reporting.DrainLatencyStats(), now)
			Expect(reporting.DrainLatencyStats()).To(BeEmpty(), "drained once")
		}
		slow := aggregating.SlowEngines(now)
		Expect(slow).To(HaveLen(1))
		Expect(slow).To(HaveKey("e1"))

		aggregating.AddLatencyStats(map[string]backend.LatencyStats{"e0": {Weight: 1, Sum: math.Inf(1)}, "e1": {Weight: math.NaN(), Sum: math.NaN()}}, now)
		Expect(aggregating.SlowEngines(now)).To(Equal(slow), "invalid observations")

		receiving := newDirectory(2)
		receiving.SetRemoteSlowEngines(slow, now)
		Expect(shareOf(receiving, "e1", now)).To(BeZero())
		receiving.SetRemoteSlowEngines(nil, now)
		Expect(shareOf(receiving, "e1", now)).To(BeNumerically(">", 0.3))
	})
})
