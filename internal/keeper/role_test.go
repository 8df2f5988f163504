package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
)

var _ = Describe("an engine with a prefill or decode role", func() {
	inRole := func(role string) keeper.EngineReported {
		reported := report("e1", 4)
		reported.Role = role
		return reported
	}

	for _, role := range []string{"prefill", "decode"} {
		It("is told to leave role "+role+" and gets no grant before it reports the mixed role", func() {
			h := newHarness(keeper.Config{}, "", "", "")
			h.step(keeper.CallQueued{Request: request("a", 1, 1)})
			order := []keeper.Effect{keeper.SetRole{Engine: "e1", Role: keeper.RoleMixed}}
			Expect(h.step(inRole(role))).To(Equal(order))
			Expect(h.step(inRole(role))).To(BeEmpty())
			h.now += keeper.DefaultConfig().RoleRetry
			Expect(h.step(inRole(role))).To(Equal(order))
			Expect(granted(h.step(inRole(keeper.RoleMixed)))).To(Equal([]string{"a"}))
		})
	}

	It("gets no role command while it is draining", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(keeper.EngineDraining{Engine: "e1"})
		Expect(h.step(inRole("prefill"))).To(BeEmpty())
		h.step(keeper.EngineResumed{Engine: "e1"})
		Expect(h.step(inRole("prefill"))).To(HaveLen(1))
	})
})
