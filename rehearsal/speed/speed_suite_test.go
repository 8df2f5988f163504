package speed

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Speed")
}

// arrivalsFrom returns the arrival times of tokens that arrive every 3 ms, with the
// first backlog+1 of them at the same time.
func arrivalsFrom(start time.Time, backlog, count int) arrivals {
	var arrived arrivals
	for index := range count {
		arrived = append(arrived, start.Add(3*time.Millisecond*time.Duration(max(index, backlog))))
	}
	return arrived
}

var _ = Describe("arrivals", func() {
	It("are compared with the engine's after the backlog sent on joining", func() {
		const count, backlog = 40, 10
		start := time.Unix(0, 0)
		delays := arrivalsFrom(start.Add(time.Millisecond), 0, count).delaysBehind(arrivalsFrom(start, backlog, count))
		Expect(delays).To(HaveLen(count - backlog - 1 - joinBurstTokens))
		Expect(delays).To(HaveEach(time.Millisecond))
	})

	It("are not compared if joining failed", func() {
		Expect(arrivalsFrom(time.Unix(0, 0), 0, 5).delaysBehind(nil)).To(BeEmpty())
	})
})

var _ = Describe("table", func() {
	It("subtracts the first path round by round, and omits delays that were not measured", func() {
		round := func(path string, first, delay time.Duration) Round {
			return Round{Path: path, InFlight: 1, Calls: 2, FirstToken: LatencySummary{Median: first}, ForwardingDelay: LatencySummary{Median: delay}}
		}
		text := Table([]Round{
			round("direct", 4*time.Millisecond, time.Microsecond), round("chat", 6*time.Millisecond, 0),
			round("direct", 5*time.Millisecond, time.Microsecond), round("chat", 9*time.Millisecond, 0),
		})
		Expect(text).To(ContainSubstring("| 1 | chat, added | 4 | 0 | 4.000 (2.000 to 4.000) |"))
		Expect(text).To(ContainSubstring(" – | – | – |\n"))
	})
})
