package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
)

var _ = Describe("an engine that failed a call", func() {
	It("gets no grant before it has reported again", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 4))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		failed := finished("a", 1)
		failed.Failed = true
		b.step(failed)
		again := request("a", 1, 1)
		again.Call.Attempt = 2
		Expect(b.step(keeper.CallQueued{Request: again})).To(BeEmpty())
		Expect(granted(b.step(report("e2", 4)))).To(Equal([]string{"a"}))
		b.step(keeper.CallQueued{Request: request("b", 1, 1)})
		b.step(keeper.EngineLost{Engine: "e2"})
		b.step(keeper.CallQueued{Request: request("c", 1, 1)})
		Expect(granted(b.step(report("e1", 4)))).To(Equal([]string{"c"}))
	})
})
