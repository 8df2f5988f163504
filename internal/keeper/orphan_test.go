package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
)

var _ = Describe("a grant whose leader is gone", func() {
	var b *bench
	BeforeEach(func() {
		b = newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 1))
		Expect(granted(b.step(keeper.CallQueued{Request: request("a", 1, 1)}))).To(Equal([]string{"a"}))
		b.now += 20 * time.Second
		b.step(report("e1", 1))
		waiting := request("b", 1, 1)
		waiting.Leader, waiting.Shard = "s3", 2
		Expect(b.step(keeper.CallQueued{Request: waiting})).To(BeEmpty())
	})

	It("ends when the shard's next leader does not hold it", func() {
		Expect(b.step(keeper.ProgramsLive{Leader: "s2", Shard: 1, Programs: []string{"a"}})).To(BeEmpty())
		Expect(granted(b.step(keeper.GrantsHeld{Leader: "s2"}))).To(Equal([]string{"b"}))
	})

	It("holds no cache after its program's end", func() {
		b.step(keeper.ProgramEnded{Program: "a"})
		b.step(keeper.ProgramsLive{Leader: "s2", Shard: 1})
		b.step(keeper.GrantsHeld{Leader: "s2"})
		b.now += 3 * time.Second
		holding := report("e1", 1)
		holding.ProgramBlocks = map[string]int{"a": 4}
		Expect(released(b.step(holding))).To(Equal([]string{"a@e1"}))
	})
})
