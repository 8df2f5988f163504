package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
)

var _ = Describe("an engine that failed a call", func() {
	It("gets no grant before its next report", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 4))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		failed := finished("a", 1)
		failed.Failed = true
		h.step(failed)
		retry := request("a", 1, 1)
		retry.Call.Attempt = 2
		Expect(h.step(keeper.CallQueued{Request: retry})).To(BeEmpty())
		Expect(granted(h.step(report("e2", 4)))).To(Equal([]string{"a"}))
		h.step(keeper.CallQueued{Request: request("b", 1, 1)})
		h.step(keeper.EngineLost{Engine: "e2"})
		h.step(keeper.CallQueued{Request: request("c", 1, 1)})
		Expect(granted(h.step(report("e1", 4)))).To(Equal([]string{"c"}))
	})
})
