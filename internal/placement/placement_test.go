package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/placement"
)

func engine(name string) placement.Candidate {
	return placement.Candidate{
		Engine: name, Model: "m", Ready: true, FreeSlots: 1, Limit: 16,
		FreeTokens: 100000, PrefillPerToken: 20 * time.Microsecond,
	}
}

func place(name string, call placement.Call, candidates ...placement.Candidate) int {
	policy, err := placement.ByName(name, 0)
	Expect(err).NotTo(HaveOccurred())
	return policy.Place(&call, candidates)
}

var _ = Describe("affinity-balanced", func() {
	call := placement.Call{Model: "m", PromptTokens: 4000, NeedTokens: 4200}

	It("waits a moment for the engine with the prefix, but not long", func() {
		other, cached := engine("e1"), engine("e2")
		other.Running = 10
		cached.CachedTokens = 4000
		cached.FreeSlots = 0
		cached.Wait = 50 * time.Millisecond
		Expect(place("", call, other, cached)).To(Equal(1))
		cached.Wait = 30 * time.Second
		Expect(place("", call, other, cached)).To(Equal(0))
	})

	It("keeps off engines that are not ready, of another model, or crowded", func() {
		unready, foreign, crowded := engine("e1"), engine("e2"), engine("e3")
		unready.Ready = false
		foreign.Model = "other"
		crowded.Crowded = true
		Expect(place("", call, unready, foreign, crowded)).To(Equal(placement.None))
		due := call
		due.Due = true
		Expect(place("", due, unready, foreign, crowded)).To(Equal(2))
	})
})

var _ = Describe("baselines", func() {
	It("take engines in turn, the least loaded, or the most cached", func() {
		busy, cached := engine("e1"), engine("e2")
		busy.Running = 3
		cached.Waiting = 5
		cached.CachedTokens = 10
		call := placement.Call{PromptTokens: 20}
		Expect(place("least-loaded", call, busy, cached)).To(Equal(0))
		Expect(place("affinity", call, busy, cached)).To(Equal(1))
		policy, _ := placement.ByName("round-robin", 0)
		turns := []int{}
		for range 3 {
			turns = append(turns, policy.Place(&call, []placement.Candidate{busy, cached}))
		}
		Expect(turns).To(Equal([]int{0, 1, 0}))
	})

	It("refuse an unknown name and a weight over 100", func() {
		_, err := placement.ByName("random", 0)
		Expect(err).To(HaveOccurred())
		_, err = placement.ByName("", 101)
		Expect(err).To(HaveOccurred())
	})
})
