package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
)

var _ = Describe("an engine that serves no whole calls", func() {
	inRole := func(role string) keeper.EngineReported {
		reported := report("e1", 4)
		reported.Role = role
		return reported
	}

	for _, role := range []string{"prefill", "decode"} {
		It("is ordered back from "+role+" and gets no grant before it reports so", func() {
			b := newBench(keeper.Config{}, "", "", "")
			b.step(keeper.CallQueued{Request: request("a", 1, 1)})
			order := []keeper.Effect{keeper.SetRole{Engine: "e1", Role: keeper.RoleMixed}}
			Expect(b.step(inRole(role))).To(Equal(order))
			Expect(b.step(inRole(role))).To(BeEmpty())
			b.now += keeper.DefaultConfig().RoleRetry
			Expect(b.step(inRole(role))).To(Equal(order))
			Expect(granted(b.step(inRole(keeper.RoleMixed)))).To(Equal([]string{"a"}))
		})
	}

	It("is left alone while it is drained", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(keeper.EngineDraining{Engine: "e1"})
		Expect(b.step(inRole("prefill"))).To(BeEmpty())
		b.step(keeper.EngineResumed{Engine: "e1"})
		Expect(b.step(inRole("prefill"))).To(HaveLen(1))
	})
})
