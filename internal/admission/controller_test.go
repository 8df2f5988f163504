package admission_test

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	. "github.com/onsi/ginkgo/v2"
)

// Short programs of 1.2 s are most of the load, long ones of 3.6 s use two slots once
// their sub-agents have begun. Together they use loadShare of 270 slots.
func kindsAt(loadShare float64) []*kind {
	const shortSlots, longSlots = 1.2 * 0.8, 3.6 * 1.5 * 0.8
	return []*kind{
		{route: "short", rate: steadyRate(loadShare * 150 / shortSlots), life: 1200 * time.Millisecond, width: 1, loops: 0.03},
		{route: "long", rank: 2, rate: steadyRate(loadShare * 120 / longSlots), life: 3600 * time.Millisecond, width: 2},
	}
}

const (
	settled   = 12 * time.Second
	burstEnds = settled + 5*time.Second
	played    = burstEnds + 4*time.Second
)

func burst(share, times float64) []*kind {
	kinds := kindsAt(share)
	kinds[0].rate = burstRate(kinds[0].rate(0), times, settled, burstEnds)
	return kinds
}

var _ = Describe("Replay", func() {
	for _, owners := range []int{1, 14} {
		for _, steady := range []bool{true, false} {
			It(fmt.Sprintf("probe %d %v", owners, steady), func() {
				run := &replay{kinds: burst(0.75, 2.4), owners: owners, age: 300 * time.Millisecond, steady: steady, toolsPerTurn: 0.12}
				run.play(played)
				for at := 10 * time.Second; at < played; at += 500 * time.Millisecond {
					sum := run.within(at, at+500*time.Millisecond)
					fmt.Println(owners, steady, at, sum.demand, run.most(at, at+500*time.Millisecond), sum.asked, sum.refused, sum.reasons)
				}
			})
		}
	}
	It("probe 0.9", func() {
		for seed := range uint64(4) {
			run := &replay{kinds: kindsAt(0.9), owners: 14, age: 300 * time.Millisecond, toolsPerTurn: 0.12, seed: seed}
			run.play(30 * time.Second)
			sum := run.within(0, 30*time.Second)
			fmt.Println(sum.demand, run.most(0, 30*time.Second), sum.asked, sum.refused, sum.reasons)
		}
	})
	_ = admission.NoSlots
})
