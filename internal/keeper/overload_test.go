package keeper_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/resultcode"
)

var _ = Describe("overload", func() {
	It("predicts the wait of a backlog from its grant rate when memory is the bottleneck", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		small := report("e1", 100)
		small.BlocksTotal = 16
		h.step(small)
		for number := range 80 {
			h.step(keeper.CallQueued{Request: request(strconv.Itoa(number), 1, 1)})
		}
		running := "0"
		for range 15 {
			h.after(time.Second)
			h.step(small)
			next := granted(h.step(finished(running, 1)))
			Expect(next).To(HaveLen(1))
			running = next[0]
		}
		late := request("late", 1, 1)
		late.WaitBound = 20 * time.Second
		refused := refusals(h.step(keeper.CallQueued{Request: late}))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].RetryAfter).To(BeNumerically(">", 30*time.Second))
	})

	// Guards against refusing calls as overloaded within NoEngineGrace because no
	// engine is ready yet and the pool counts no slots.
	It("queues calls while a new keeper has no report yet", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		bounded := request("a", 1, 1)
		bounded.WaitBound = 30 * time.Second
		Expect(h.step(keeper.CallQueued{Request: bounded})).To(BeEmpty())
		Expect(granted(h.step(report("e1", 1)))).To(Equal([]string{"a"}))
	})

	It("queues calls while no engine has reported since it failed a call", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 8))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		failed := finished("a", 1)
		failed.Failed = true
		h.step(failed)
		bounded := request("b", 1, 1)
		bounded.WaitBound = 30 * time.Second
		Expect(h.step(keeper.CallQueued{Request: bounded})).To(BeEmpty())
		Expect(granted(h.step(report("e1", 8)))).To(Equal([]string{"b"}))
	})

	// Guards against counting a suspension of the process as time in which a band
	// had a backlog and got no grants.
	It("does not count a suspension of the process as backlog", func() {
		h := newHarness(keeper.Config{ReportTimeout: time.Hour}, "", "", "")
		h.step(report("e1", 1))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		h.step(finished("a", 1))
		h.step(keeper.Tick{})
		h.step(keeper.CallQueued{Request: request("b", 1, 1)})
		h.now += time.Minute
		bounded := request("c", 1, 1)
		bounded.WaitBound = 30 * time.Second
		Expect(h.step(keeper.CallQueued{Request: bounded})).To(BeEmpty())
	})

	It("predicts the same wait for a backlog after a suspension", func() {
		h := newHarness(keeper.Config{ReportTimeout: time.Hour}, "", "", "")
		h.step(report("e1", 1))
		for number := range 40 {
			h.step(keeper.CallQueued{Request: request(strconv.Itoa(number), 1, 1)})
		}
		running := "0"
		for range 15 {
			for range 10 {
				h.after(100 * time.Millisecond)
			}
			next := granted(h.step(finished(running, 1)))
			Expect(next).To(HaveLen(1))
			running = next[0]
		}
		h.now += time.Minute
		bounded := request("late", 1, 1)
		bounded.WaitBound = 50 * time.Second
		Expect(h.step(keeper.CallQueued{Request: bounded})).To(BeEmpty())
	})

	It("refuses immediately, with a retry delay, over the tier's wait bound", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 1))
		for number := range 20 {
			h.step(keeper.CallQueued{Request: request("a", number, 8)})
		}
		late := request("late", 1, 1)
		late.WaitBound = time.Second
		refused := refusals(h.step(keeper.CallQueued{Request: late}))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(resultcode.Overloaded))
		Expect(refused[0].RetryAfter).To(BeNumerically(">=", time.Second))
		top := request("top", 1, 64)
		top.WaitBound = 5 * time.Second
		Expect(h.step(keeper.CallQueued{Request: top})).To(BeEmpty())
	})

	It("allows a program in progress a longer wait than a new one", func() {
		h := newHarness(keeper.Config{InProgressFactor: 100}, "", "", "")
		h.step(report("e1", 1))
		for number := range 20 {
			h.step(keeper.CallQueued{Request: request("a", number, 1)})
		}
		started := request("started", 1, 1)
		started.WaitBound = time.Second
		started.AttainedService = 1
		Expect(h.step(keeper.CallQueued{Request: started})).To(BeEmpty())
	})

	It("displaces the last call of the lowest tier from a full queue", func() {
		h := newHarness(keeper.Config{MaxWaiting: 2}, "", "", "")
		h.step(report("e1", 1))
		h.step(keeper.CallQueued{Request: request("running", 1, 1)})
		h.step(keeper.CallQueued{Request: request("first", 1, 1)})
		h.step(keeper.CallQueued{Request: request("last", 1, 1)})
		displaced := refusals(h.step(keeper.CallQueued{Request: request("top", 1, 8)}))
		Expect(displaced).To(HaveLen(1))
		Expect(displaced[0].Request.Call.Program).To(Equal("last"))
		same := refusals(h.step(keeper.CallQueued{Request: request("same", 1, 1)}))
		Expect(same).To(HaveLen(1))
		Expect(same[0].Request.Call.Program).To(Equal("same"))
	})

	It("refuses a call whose deadline passes while it waits", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 1))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		waiting := request("b", 1, 1)
		waiting.Deadline = h.now + time.Second
		h.step(keeper.CallQueued{Request: waiting})
		refused := refusals(h.after(time.Second))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(resultcode.DeadlineNotRun))
	})

	It("preempts only a repeatable call of a much lower tier", func() {
		h := newHarness(keeper.Config{Preempt: true, PreemptWait: time.Millisecond}, "", "", "")
		h.step(report("e1", 2))
		h.step(keeper.CallQueued{Request: request("fixed", 1, 1)})
		repeatable := request("repeatable", 1, 1)
		repeatable.Repeatable = true
		h.step(keeper.CallQueued{Request: repeatable})
		effects := h.step(keeper.CallQueued{Request: request("top", 1, 8)})
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].(keeper.Preempt).Request.Call.Program).To(Equal("repeatable"))
		Expect(h.step(keeper.CallQueued{Request: request("top2", 1, 8)})).To(BeEmpty())
		failed := finished("repeatable", 1)
		failed.Failed = true
		Expect(granted(h.step(failed))).To(Equal([]string{"top"}))
	})
})

var _ = Describe("loss of engines and leaders", func() {
	It("grants nothing on an engine that is draining, leaving or not reporting", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 4))
		h.step(keeper.EngineDraining{Engine: "e1"})
		Expect(h.step(keeper.CallQueued{Request: request("a", 1, 1)})).To(BeEmpty())
		Expect(h.step(report("e1", 4))).To(BeEmpty())
		Expect(granted(h.step(keeper.EngineResumed{Engine: "e1"}))).To(Equal([]string{"a"}))
		leaving := report("e1", 4)
		leaving.Leaving = true
		h.step(leaving)
		Expect(h.step(keeper.CallQueued{Request: request("b", 1, 1)})).To(BeEmpty())
		Expect(granted(h.step(report("e1", 4)))).To(Equal([]string{"b"}))
		h.after(keeper.DefaultConfig().ReportTimeout)
		Expect(h.step(keeper.CallQueued{Request: request("c", 1, 1)})).To(BeEmpty())
	})

	It("rebinds calls when the engine they were bound to is lost", func() {
		h := newHarness(keeper.Config{}, "fcfs", "round-robin", "none")
		h.step(report("e1", 1))
		h.step(report("e2", 1))
		for number := range 4 {
			h.step(keeper.CallQueued{Request: request("a", number, 1)})
		}
		h.step(keeper.EngineLost{Engine: "e1"})
		Expect(granted(h.step(finished("a", 1)))).To(HaveLen(1))
		Expect(h.keeper.Snapshot().Waiting).To(Equal(1))
	})

	It("restores the grants of an earlier keeper and ends unconfirmed ones", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 1))
		held := keeper.HeldGrant{Request: request("a", 1, 1), Engine: "e1"}
		h.step(keeper.GrantsHeld{Leader: "s1", Grants: []keeper.HeldGrant{held}})
		Expect(h.step(keeper.CallQueued{Request: request("b", 1, 1)})).To(BeEmpty())
		Expect(h.step(keeper.GrantsHeld{Leader: "s1"})).To(BeEmpty())
		h.now += keeper.DefaultConfig().GrantConfirmTimeout
		h.step(report("e1", 1))
		Expect(granted(h.step(keeper.GrantsHeld{Leader: "s1"}))).To(Equal([]string{"b"}))
	})

	It("drops a lost leader's calls and frees its slots", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 1))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		h.step(keeper.CallQueued{Request: request("b", 1, 1)})
		other := request("c", 1, 1)
		other.Leader = "s2"
		h.step(keeper.CallQueued{Request: other})
		Expect(granted(h.step(keeper.LeaderLost{Leader: "s1", Shard: 1}))).To(Equal([]string{"c"}))
	})
})
