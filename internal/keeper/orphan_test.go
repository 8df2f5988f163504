package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
)

var _ = Describe("a grant whose leader is gone", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 1))
		Expect(granted(h.step(keeper.CallQueued{Request: request("a", 1, 1)}))).To(Equal([]string{"a"}))
		h.now += 20 * time.Second
		h.step(report("e1", 1))
		waiting := request("b", 1, 1)
		waiting.Leader, waiting.Shard = "s3", 2
		Expect(h.step(keeper.CallQueued{Request: waiting})).To(BeEmpty())
	})

	It("ends when the shard's new leader does not hold it", func() {
		Expect(h.step(keeper.ProgramsLive{Leader: "s2", Shard: 1, Programs: []string{"a"}})).To(BeEmpty())
		Expect(granted(h.step(keeper.GrantsHeld{Leader: "s2"}))).To(Equal([]string{"b"}))
	})

	It("does not keep cache after its program has ended", func() {
		h.step(keeper.ProgramEnded{Program: "a"})
		h.step(keeper.ProgramsLive{Leader: "s2", Shard: 1})
		h.step(keeper.GrantsHeld{Leader: "s2"})
		h.now += 3 * time.Second
		holding := report("e1", 1)
		holding.ProgramBlocks = map[string]int{"a": 4}
		Expect(released(h.step(holding))).To(Equal([]string{"a@e1"}))
	})
})
