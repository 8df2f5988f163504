package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// loads lists the LoadAdapter effects as adapter@engine, in order.
func loads(effects []keeper.Effect) []string {
	var orders []string
	for _, effect := range effects {
		if load, ok := effect.(keeper.LoadAdapter); ok {
			orders = append(orders, load.Adapter+"@"+load.Engine)
		}
	}
	return orders
}

func queuedWithAdapter(program, adapter string) keeper.CallQueued {
	queued := request(program, 1, 1)
	queued.Adapter = adapter
	queued.WaitBound = 20 * time.Second
	return keeper.CallQueued{Request: queued}
}

func reportWith(engine string, limit int, loading bool, adapters ...string) keeper.EngineReported {
	reported := report(engine, limit)
	reported.Loading = loading
	reported.Adapters = adapters
	return reported
}

var _ = Describe("a call whose adapter no engine has", func() {
	for _, placement := range []string{"", "round-robin", "least-loaded", "affinity"} {
		It("waits for one load without blocking other calls, placement "+placement, func() {
			h := newHarness(keeper.Config{}, "", placement, "")
			h.step(report("e1", 2))
			h.step(report("e2", 4))
			effects := h.step(queuedWithAdapter("a", "dialect"))
			Expect(granted(effects)).To(BeEmpty())
			Expect(loads(effects)).To(Equal([]string{"dialect@e2"}))
			Expect(loads(h.step(queuedWithAdapter("b", "dialect")))).To(BeEmpty())
			Expect(granted(h.step(keeper.CallQueued{Request: request("plain", 1, 1)}))).To(Equal([]string{"plain"}))
			Expect(h.step(reportWith("e2", 4, true))).To(BeEmpty())
			effects = h.step(reportWith("e2", 4, false, "dialect"))
			Expect(granted(effects)).To(ConsistOf("a", "b"))
		})
	}

	It("triggers one adapter load at a time", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 4))
		Expect(loads(h.step(queuedWithAdapter("a", "x")))).To(Equal([]string{"x@e1"}))
		Expect(loads(h.step(queuedWithAdapter("b", "y")))).To(BeEmpty())
		effects := h.step(reportWith("e1", 4, false, "x"))
		Expect(granted(effects)).To(Equal([]string{"a"}))
		Expect(loads(effects)).To(Equal([]string{"y@e1"}))
	})

	It("triggers a load elsewhere when a load is rejected, does not start or times out", func() {
		h := newHarness(keeper.Config{LoadRetry: time.Hour}, "", "", "")
		for _, engine := range []string{"e1", "e2", "e3"} {
			h.step(report(engine, 4))
		}
		Expect(loads(h.step(queuedWithAdapter("a", "x")))).To(Equal([]string{"x@e1"}))
		Expect(loads(h.step(keeper.LoadFailed{Engine: "e1", Adapter: "x"}))).To(Equal([]string{"x@e2"}))
		h.now += keeper.DefaultConfig().LoadConfirmTimeout
		h.step(report("e3", 4))
		Expect(loads(h.step(report("e2", 4)))).To(Equal([]string{"x@e3"}))
		h.now += keeper.DefaultConfig().LoadConfirmTimeout
		Expect(loads(h.step(reportWith("e3", 4, true)))).To(BeEmpty())
		h.now += 10 * time.Second
		h.step(reportWith("e3", 4, true))
		refused := refusals(h.after(3 * time.Second))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(resultcode.NoBackEnd))
	})

	It("triggers a load elsewhere when the loading engine is lost", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 4))
		h.step(report("e2", 2))
		Expect(loads(h.step(queuedWithAdapter("a", "x")))).To(Equal([]string{"x@e1"}))
		Expect(loads(h.step(keeper.EngineLost{Engine: "e1"}))).To(Equal([]string{"x@e2"}))
	})

	It("is refused immediately when the predicted load time exceeds its wait bound", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 4))
		queued := queuedWithAdapter("a", "x")
		queued.Request.WaitBound = time.Second
		Expect(refusals(h.step(queued))).To(HaveLen(1))
	})

	It("waits for a load requested by an earlier keeper", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(reportWith("e1", 4, true))
		h.step(report("e2", 8))
		Expect(loads(h.step(queuedWithAdapter("a", "x")))).To(BeEmpty())
		effects := h.step(reportWith("e1", 4, false, "x"))
		Expect(granted(effects)).To(Equal([]string{"a"}))
		Expect(loads(effects)).To(BeEmpty())
	})
})

var _ = Describe("an adapter that one engine has", func() {
	It("is loaded on a second engine when calls wait too long for the first", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(reportWith("e1", 1, false, "x"))
		h.step(report("e2", 4))
		Expect(granted(h.step(queuedWithAdapter("a", "x")))).To(Equal([]string{"a"}))
		for _, waiting := range []string{"b", "c", "d"} {
			Expect(h.step(queuedWithAdapter(waiting, "x"))).To(BeEmpty())
		}
		Expect(granted(h.step(keeper.CallQueued{Request: request("plain", 1, 1)}))).To(Equal([]string{"plain"}))
		Expect(loads(h.after(keeper.DefaultConfig().AdapterWaitTimeout))).To(Equal([]string{"x@e2"}))
		Expect(granted(h.step(reportWith("e2", 4, false, "x")))).To(ConsistOf("b", "c", "d"))
	})

	It("is not loaded elsewhere while its engine is briefly not ready", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(reportWith("e1", 4, false, "x"))
		h.step(report("e2", 4))
		h.step(queuedWithAdapter("a", "x"))
		failed := finished("a", 1)
		failed.Failed = true
		h.step(failed)
		Expect(h.step(queuedWithAdapter("b", "x"))).To(BeEmpty())
		Expect(granted(h.step(reportWith("e1", 4, false, "x")))).To(Equal([]string{"b"}))
	})
})
