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

// tokensFrom returns tokens that come each 3 ms, those of the backlog at once.
func tokensFrom(begun time.Time, backlog, count int) arrivals {
	var came arrivals
	for index := range count {
		came = append(came, begun.Add(3*time.Millisecond*time.Duration(max(index, backlog))))
	}
	return came
}

var _ = Describe("arrivals", func() {
	It("are compared with the engine's from past the backlog of the joining on", func() {
		const count, backlog = 40, 10
		begun := time.Unix(0, 0)
		delays := tokensFrom(begun.Add(time.Millisecond), 0, count).after(tokensFrom(begun, backlog, count))
		Expect(delays).To(HaveLen(count - backlog - 1 - catchUp))
		Expect(delays).To(HaveEach(time.Millisecond))
	})

	It("are not compared where the joining failed", func() {
		Expect(tokensFrom(time.Unix(0, 0), 0, 5).after(nil)).To(BeEmpty())
	})
})

var _ = Describe("table", func() {
	It("subtracts the first way round by round, and leaves out delays that were not taken", func() {
		round := func(way string, first, delay time.Duration) Round {
			return Round{Way: way, InFlight: 1, Calls: 2, First: Spread{Median: first}, Delay: Spread{Median: delay}}
		}
		text := Table([]Round{
			round("direct", 4*time.Millisecond, time.Microsecond), round("chat", 6*time.Millisecond, 0),
			round("direct", 5*time.Millisecond, time.Microsecond), round("chat", 9*time.Millisecond, 0),
		})
		Expect(text).To(ContainSubstring("| 1 | chat, added | 4 | 0 | 4.000 (2.000 to 4.000) |"))
		Expect(text).To(ContainSubstring(" – | – | – |\n"))
	})
})
