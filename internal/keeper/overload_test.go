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
	It("predicts a backlog's wait from the grants it gets when memory and not slots bound the pool", func() {
		b := newBench(keeper.Config{}, "", "", "")
		small := report("e1", 100)
		small.BlocksTotal = 16
		b.step(small)
		for number := range 80 {
			b.step(keeper.CallQueued{Request: request(strconv.Itoa(number), 1, 1)})
		}
		running := "0"
		for range 15 {
			b.after(time.Second)
			b.step(small)
			next := granted(b.step(finished(running, 1)))
			Expect(next).To(HaveLen(1))
			running = next[0]
		}
		late := request("late", 1, 1)
		late.WaitBound = 20 * time.Second
		refused := refusals(b.step(keeper.CallQueued{Request: late}))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].RetryAfter).To(BeNumerically(">", 30*time.Second))
	})

	// A call was refused as overloaded, with a minute to come back, while all engines were
	// idle. Its keeper had just begun, or its engines had failed a call each: none was ready
	// yet, so the pool counted no slot and the predicted wait was 1,000 s. The refusal's line
	// said engines=0 ready=0 slots=0 predicted_wait=16m40s. Calls may wait for an engine as
	// long as NoEngineGrace; within it there is nothing to predict a wait from.
	It("lets calls wait while a new keeper has no report yet", func() {
		b := newBench(keeper.Config{}, "", "", "")
		bounded := request("a", 1, 1)
		bounded.WaitBound = 30 * time.Second
		Expect(b.step(keeper.CallQueued{Request: bounded})).To(BeEmpty())
		Expect(granted(b.step(report("e1", 1)))).To(Equal([]string{"a"}))
	})

	It("lets calls wait while the engines that failed a call have not reported again", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 8))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		failed := finished("a", 1)
		failed.Failed = true
		b.step(failed)
		bounded := request("b", 1, 1)
		bounded.WaitBound = 30 * time.Second
		Expect(b.step(keeper.CallQueued{Request: bounded})).To(BeEmpty())
		Expect(granted(b.step(report("e1", 8)))).To(Equal([]string{"b"}))
	})

	// A process that was frozen sees time jump with its first step after it. Nothing could be
	// granted meanwhile, and no call could wait: a band that was idle before the jump has no
	// backlog after it, and one with a backlog is as fast as it was.
	It("takes a freeze for no backlog", func() {
		b := newBench(keeper.Config{ReportTimeout: time.Hour}, "", "", "")
		b.step(report("e1", 1))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		b.step(finished("a", 1))
		b.step(keeper.Tick{})
		b.step(keeper.CallQueued{Request: request("b", 1, 1)})
		b.now += time.Minute
		bounded := request("c", 1, 1)
		bounded.WaitBound = 30 * time.Second
		Expect(b.step(keeper.CallQueued{Request: bounded})).To(BeEmpty())
	})

	It("predicts a backlog's wait as before a freeze", func() {
		b := newBench(keeper.Config{ReportTimeout: time.Hour}, "", "", "")
		b.step(report("e1", 1))
		for number := range 40 {
			b.step(keeper.CallQueued{Request: request(strconv.Itoa(number), 1, 1)})
		}
		running := "0"
		for range 15 {
			for range 10 {
				b.after(100 * time.Millisecond)
			}
			next := granted(b.step(finished(running, 1)))
			Expect(next).To(HaveLen(1))
			running = next[0]
		}
		b.now += time.Minute
		bounded := request("late", 1, 1)
		bounded.WaitBound = 50 * time.Second
		Expect(b.step(keeper.CallQueued{Request: bounded})).To(BeEmpty())
	})

	It("refuses at once, with when to come back, over the tier's wait bound", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 1))
		for number := range 20 {
			b.step(keeper.CallQueued{Request: request("a", number, 8)})
		}
		late := request("late", 1, 1)
		late.WaitBound = time.Second
		refused := refusals(b.step(keeper.CallQueued{Request: late}))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(resultcode.Overloaded))
		Expect(refused[0].RetryAfter).To(BeNumerically(">=", time.Second))
		top := request("top", 1, 64)
		top.WaitBound = 5 * time.Second
		Expect(b.step(keeper.CallQueued{Request: top})).To(BeEmpty())
	})

	It("gives a begun program a wider bound than a new one", func() {
		b := newBench(keeper.Config{InProgressFactor: 100}, "", "", "")
		b.step(report("e1", 1))
		for number := range 20 {
			b.step(keeper.CallQueued{Request: request("a", number, 1)})
		}
		begun := request("begun", 1, 1)
		begun.WaitBound = time.Second
		begun.AttainedService = 1
		Expect(b.step(keeper.CallQueued{Request: begun})).To(BeEmpty())
	})

	It("pushes the lightest tier's last call out of a full queue", func() {
		b := newBench(keeper.Config{MaxWaiting: 2}, "", "", "")
		b.step(report("e1", 1))
		b.step(keeper.CallQueued{Request: request("running", 1, 1)})
		b.step(keeper.CallQueued{Request: request("first", 1, 1)})
		b.step(keeper.CallQueued{Request: request("last", 1, 1)})
		pushedOut := refusals(b.step(keeper.CallQueued{Request: request("top", 1, 8)}))
		Expect(pushedOut).To(HaveLen(1))
		Expect(pushedOut[0].Request.Call.Program).To(Equal("last"))
		same := refusals(b.step(keeper.CallQueued{Request: request("same", 1, 1)}))
		Expect(same).To(HaveLen(1))
		Expect(same[0].Request.Call.Program).To(Equal("same"))
	})

	It("refuses a call whose deadline passes while it waits", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 1))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		waiting := request("b", 1, 1)
		waiting.Deadline = b.now + time.Second
		b.step(keeper.CallQueued{Request: waiting})
		refused := refusals(b.after(time.Second))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(resultcode.DeadlineNotRun))
	})

	It("preempts only a repeatable call of a much lighter tier", func() {
		b := newBench(keeper.Config{Preempt: true, PreemptWait: time.Millisecond}, "", "", "")
		b.step(report("e1", 2))
		b.step(keeper.CallQueued{Request: request("fixed", 1, 1)})
		loose := request("loose", 1, 1)
		loose.Repeatable = true
		b.step(keeper.CallQueued{Request: loose})
		effects := b.step(keeper.CallQueued{Request: request("top", 1, 8)})
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].(keeper.Preempt).Request.Call.Program).To(Equal("loose"))
		Expect(b.step(keeper.CallQueued{Request: request("top2", 1, 8)})).To(BeEmpty())
		failed := finished("loose", 1)
		failed.Failed = true
		Expect(granted(b.step(failed))).To(Equal([]string{"top"}))
	})
})

var _ = Describe("engines and leaders that go", func() {
	It("grants nothing on a draining, leaving or silent engine", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 4))
		b.step(keeper.EngineDraining{Engine: "e1"})
		Expect(b.step(keeper.CallQueued{Request: request("a", 1, 1)})).To(BeEmpty())
		Expect(b.step(report("e1", 4))).To(BeEmpty())
		Expect(granted(b.step(keeper.EngineResumed{Engine: "e1"}))).To(Equal([]string{"a"}))
		leaving := report("e1", 4)
		leaving.Leaving = true
		b.step(leaving)
		Expect(b.step(keeper.CallQueued{Request: request("b", 1, 1)})).To(BeEmpty())
		Expect(granted(b.step(report("e1", 4)))).To(Equal([]string{"b"}))
		b.after(keeper.DefaultConfig().ReportTimeout)
		Expect(b.step(keeper.CallQueued{Request: request("c", 1, 1)})).To(BeEmpty())
	})

	It("binds calls anew when the engine they were bound to is lost", func() {
		b := newBench(keeper.Config{}, "fcfs", "round-robin", "none")
		b.step(report("e1", 1))
		b.step(report("e2", 1))
		for number := range 4 {
			b.step(keeper.CallQueued{Request: request("a", number, 1)})
		}
		b.step(keeper.EngineLost{Engine: "e1"})
		Expect(granted(b.step(finished("a", 1)))).To(HaveLen(1))
		Expect(b.keeper.Snapshot().Waiting).To(Equal(1))
	})

	It("takes over the grants of an earlier keeper and ends unconfirmed ones", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 1))
		held := keeper.HeldGrant{Request: request("a", 1, 1), Engine: "e1"}
		b.step(keeper.GrantsHeld{Leader: "s1", Grants: []keeper.HeldGrant{held}})
		Expect(b.step(keeper.CallQueued{Request: request("b", 1, 1)})).To(BeEmpty())
		Expect(b.step(keeper.GrantsHeld{Leader: "s1"})).To(BeEmpty())
		b.now += keeper.DefaultConfig().GrantConfirm
		b.step(report("e1", 1))
		Expect(granted(b.step(keeper.GrantsHeld{Leader: "s1"}))).To(Equal([]string{"b"}))
	})

	It("drops a lost leader's calls and frees its slots", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 1))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		b.step(keeper.CallQueued{Request: request("b", 1, 1)})
		other := request("c", 1, 1)
		other.Leader = "s2"
		b.step(keeper.CallQueued{Request: other})
		Expect(granted(b.step(keeper.LeaderLost{Leader: "s1", Shard: 1}))).To(Equal([]string{"c"}))
	})
})
