package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// loads lists adapter@engine of the orders to load, in order.
func loads(effects []keeper.Effect) []string {
	var orders []string
	for _, effect := range effects {
		if load, ok := effect.(keeper.LoadAdapter); ok {
			orders = append(orders, load.Adapter+"@"+load.Engine)
		}
	}
	return orders
}

func adapted(program, adapter string) keeper.CallQueued {
	asked := request(program, 1, 1)
	asked.Adapter = adapter
	asked.WaitBound = 20 * time.Second
	return keeper.CallQueued{Request: asked}
}

func reportWith(engine string, limit int, loading bool, adapters ...string) keeper.EngineReported {
	reported := report(engine, limit)
	reported.Loading = loading
	reported.Adapters = adapters
	return reported
}

var _ = Describe("a call whose adapter no engine has", func() {
	for _, placed := range []string{"", "round-robin", "least-loaded", "affinity"} {
		It("waits for one load and holds up no other call, placement "+placed, func() {
			b := newBench(keeper.Config{}, "", placed, "")
			b.step(report("e1", 2))
			b.step(report("e2", 4))
			effects := b.step(adapted("a", "dialect"))
			Expect(granted(effects)).To(BeEmpty())
			Expect(loads(effects)).To(Equal([]string{"dialect@e2"}))
			Expect(loads(b.step(adapted("b", "dialect")))).To(BeEmpty())
			Expect(granted(b.step(keeper.CallQueued{Request: request("plain", 1, 1)}))).To(Equal([]string{"plain"}))
			Expect(b.step(reportWith("e2", 4, true))).To(BeEmpty())
			effects = b.step(reportWith("e2", 4, false, "dialect"))
			Expect(granted(effects)).To(ConsistOf("a", "b"))
		})
	}

	It("is loaded one adapter at a time, in turns", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 4))
		Expect(loads(b.step(adapted("a", "x")))).To(Equal([]string{"x@e1"}))
		Expect(loads(b.step(adapted("b", "y")))).To(BeEmpty())
		effects := b.step(reportWith("e1", 4, false, "x"))
		Expect(granted(effects)).To(Equal([]string{"a"}))
		Expect(loads(effects)).To(Equal([]string{"y@e1"}))
	})

	It("is loaded elsewhere when the order is refused, does nothing or takes too long", func() {
		b := newBench(keeper.Config{LoadRetry: time.Hour}, "", "", "")
		for _, engine := range []string{"e1", "e2", "e3"} {
			b.step(report(engine, 4))
		}
		Expect(loads(b.step(adapted("a", "x")))).To(Equal([]string{"x@e1"}))
		Expect(loads(b.step(keeper.LoadFailed{Engine: "e1", Adapter: "x"}))).To(Equal([]string{"x@e2"}))
		b.now += keeper.DefaultConfig().LoadConfirm
		b.step(report("e3", 4))
		Expect(loads(b.step(report("e2", 4)))).To(Equal([]string{"x@e3"}))
		b.now += keeper.DefaultConfig().LoadConfirm
		Expect(loads(b.step(reportWith("e3", 4, true)))).To(BeEmpty())
		b.now += 10 * time.Second
		b.step(reportWith("e3", 4, true))
		refused := refusals(b.after(3 * time.Second))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(resultcode.NoBackEnd))
	})

	It("is loaded elsewhere when its engine is lost", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 4))
		b.step(report("e2", 2))
		Expect(loads(b.step(adapted("a", "x")))).To(Equal([]string{"x@e1"}))
		Expect(loads(b.step(keeper.EngineLost{Engine: "e1"}))).To(Equal([]string{"x@e2"}))
	})

	It("is refused at once when the load is expected to outlast its bound", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 4))
		hurried := adapted("a", "x")
		hurried.Request.WaitBound = time.Second
		Expect(refusals(b.step(hurried))).To(HaveLen(1))
	})

	It("waits for a load that an earlier keeper has ordered", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(reportWith("e1", 4, true))
		b.step(report("e2", 8))
		Expect(loads(b.step(adapted("a", "x")))).To(BeEmpty())
		effects := b.step(reportWith("e1", 4, false, "x"))
		Expect(granted(effects)).To(Equal([]string{"a"}))
		Expect(loads(effects)).To(BeEmpty())
	})
})

var _ = Describe("an adapter that one engine has", func() {
	It("is loaded on a second when calls wait long for the first", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(reportWith("e1", 1, false, "x"))
		b.step(report("e2", 4))
		Expect(granted(b.step(adapted("a", "x")))).To(Equal([]string{"a"}))
		for _, waiting := range []string{"b", "c", "d"} {
			Expect(b.step(adapted(waiting, "x"))).To(BeEmpty())
		}
		Expect(granted(b.step(keeper.CallQueued{Request: request("plain", 1, 1)}))).To(Equal([]string{"plain"}))
		Expect(loads(b.after(keeper.DefaultConfig().AdapterPatience))).To(Equal([]string{"x@e2"}))
		Expect(granted(b.step(reportWith("e2", 4, false, "x")))).To(ConsistOf("b", "c", "d"))
	})

	It("is not loaded again while its engine is out for a moment", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(reportWith("e1", 4, false, "x"))
		b.step(report("e2", 4))
		b.step(adapted("a", "x"))
		failed := finished("a", 1)
		failed.Failed = true
		b.step(failed)
		Expect(b.step(adapted("b", "x"))).To(BeEmpty())
		Expect(granted(b.step(reportWith("e1", 4, false, "x")))).To(Equal([]string{"b"}))
	})
})
