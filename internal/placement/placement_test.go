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
	call := placement.Call{Model: "m", PromptTokens: 4000, KVTokens: 4200}

	It("waits for the engine with the cached prefix only if the wait is short", func() {
		other, cached := engine("e1"), engine("e2")
		other.Running = 10
		cached.CachedTokens = 4000
		cached.FreeSlots = 0
		cached.PredictedWait = 50 * time.Millisecond
		Expect(place("", call, other, cached)).To(Equal(1))
		cached.PredictedWait = 30 * time.Second
		Expect(place("", call, other, cached)).To(Equal(0))
	})

	It("rejects engines that are not ready, serve another model or would evict higher-ranked prefixes", func() {
		unready, otherModel, evicting := engine("e1"), engine("e2"), engine("e3")
		unready.Ready = false
		otherModel.Model = "other"
		evicting.EvictsHigherRanked = true
		Expect(place("", call, unready, otherModel, evicting)).To(Equal(placement.None))
		mayEvict := call
		mayEvict.MayEvict = true
		Expect(place("", mayEvict, unready, otherModel, evicting)).To(Equal(2))
	})
})

var _ = Describe("bind-on-arrival policies", func() {
	It("pick the least loaded, the most cached or the next engine", func() {
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

	It("reject an unknown name and an affinity over 100 percent", func() {
		_, err := placement.ByName("random", 0)
		Expect(err).To(HaveOccurred())
		_, err = placement.ByName("", 101)
		Expect(err).To(HaveOccurred())
	})
})
