package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
)

const testPool = testModel + "/r/0"

// keeperOf names the process that keeps the one pool, once there is one.
func (cluster *testCluster) keeperOf() string {
	found := ""
	cluster.runUntil(30*time.Second, func() bool {
		for _, name := range sortedKeys(cluster.nodes) {
			node := cluster.nodes[name]
			kept := node.core.pools[testPool]
			if !node.dead && !node.paused && kept != nil && kept.leads() {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

func (cluster *testCluster) endProgram(program string) {
	cluster.ask(cluster.leader(program), func(ask AskID) Event {
		return EndAsked{Ask: ask, Request: &schedulerv1.EndProgramRequest{
			ProgramId: program, Caller: &schedulerv1.Caller{Tenant: testTenant},
		}}
	})
}

// programLedElsewhere makes a program whose leader is not the given process.
func (cluster *testCluster) programLedElsewhere(process string) (program, leader string) {
	for number := 1; ; number++ {
		program = fmt.Sprintf("p%d", number)
		leader = cluster.leader(program)
		if leader != process {
			cluster.create(program)
			return program, leader
		}
	}
}

// loseOrders has orders to release get lost at all engines, or not any more.
func (cluster *testCluster) loseOrders(lost bool) {
	for _, engine := range cluster.engines {
		engine.loseOrders = lost
	}
}

func adapterCall(program, request string) *schedulerv1.CallRequest {
	call := testCall(program, request)
	call.Adapter = testAdapter
	return call
}

// totalLoads counts the orders to load that engines took.
func (cluster *testCluster) totalLoads() int {
	total := 0
	for _, engine := range cluster.engines {
		total += engine.loads
	}
	return total
}

var _ = Describe("loads of adapters", func() {
	It("brings an adapter in once for the calls that wait for it", func() {
		cluster := newTestCluster(21, 3)
		cluster.create("p1")
		Expect(cluster.call(adapterCall("p1", "r1"), 20*time.Second).text).To(HavePrefix("p1/r1:1"))
		Expect(cluster.call(adapterCall("p1", "r2"), 20*time.Second).text).To(HavePrefix("p1/r2:1"))
		Expect(cluster.totalLoads()).To(Equal(1))
		Expect(cluster.runsOf("p1/r1")).To(Equal(1))
	})

	It("takes another engine where the first refuses the order", func() {
		cluster := newTestCluster(22, 3)
		cluster.engines["e0"].refuseLoads = true
		cluster.create("p1")
		Expect(cluster.call(adapterCall("p1", "r1"), 20*time.Second).text).To(HavePrefix("p1/r1:1"))
		Expect(cluster.engines["e1"].adapters).To(Equal([]string{testAdapter}))
	})

	It("goes on under a new keeper, without a second order", func() {
		cluster := newTestCluster(23, 3)
		for _, engine := range cluster.engines {
			engine.loadTime = 10 * time.Second
		}
		cluster.create("p1")
		leader := cluster.leader("p1")
		cluster.nextAsk++
		cluster.nodes[leader].step(CallAsked{Ask: cluster.nextAsk, Request: adapterCall("p1", "r1")})
		Expect(cluster.runUntil(20*time.Second, func() bool { return cluster.totalLoads() == 1 })).To(BeTrue())
		cluster.nodes[cluster.keeperOf()].dead = true
		Expect(cluster.call(adapterCall("p1", "r1"), 30*time.Second).text).To(HavePrefix("p1/r1:1"))
		Expect(cluster.totalLoads()).To(Equal(1))
	})

	It("refuses an adapter that the service does not list", func() {
		cluster := newTestCluster(24, 3)
		cluster.create("p1")
		call := testCall("p1", "r1")
		call.Adapter = "unknown"
		Expect(cluster.call(call, 20*time.Second).failure.Code).To(BeEquivalentTo(resultcode.UnknownTarget))
		Expect(cluster.totalLoads()).To(BeZero())
	})
})

var _ = Describe("engines that serve no whole calls", func() {
	It("are ordered back, and calls wait meanwhile", func() {
		cluster := newTestCluster(43, 3)
		for _, engine := range cluster.engines {
			engine.role = "prefill"
		}
		cluster.create("p1")
		Expect(cluster.call(testCall("p1", "r1"), 20*time.Second).text).To(HavePrefix("p1/r1:1"))
		Expect(cluster.engines["e0"].role).To(Equal(keeper.RoleMixed))
	})
})

var _ = Describe("fences", func() {
	It("has engines refuse a replaced keeper before the new one grants anything", func() {
		cluster := newTestCluster(25, 4)
		cluster.create("p1")
		cluster.call(testCall("p1", "r1"), 20*time.Second)
		old := cluster.nodes[cluster.keeperOf()]
		stale := old.core.pools[testPool].fenceOf("e0")
		old.paused = true
		keeper := cluster.keeperOf()
		fence := cluster.nodes[keeper].core.pools[testPool].fenceOf("e0")
		Expect(fence.Epoch).To(BeNumerically(">", stale.Epoch))
		cluster.runFor(time.Second)
		for _, name := range []string{"e0", "e1"} {
			engine := cluster.engines[name]
			Expect(engine.fence).To(Equal(fence.Epoch))
			engine.held["p1"] = testCallBlocks
			engine.release(ReleaseCache{Program: "p1", Fence: stale})
			Expect(engine.held["p1"]).To(Equal(testCallBlocks))
			Expect(engine.admit(outside.GenerateRequest{Fence: stale})).To(Equal("stale fence"))
		}
	})

	It("has a call that a replaced keeper granted run once, by the next grant", func() {
		cluster := newTestCluster(26, 4)
		keeper := cluster.keeperOf()
		program, leader := cluster.programLedElsewhere(keeper)
		cluster.runDelay = 8 * time.Second
		cluster.nextAsk++
		call := testCall(program, "r1")
		call.Repeatable = false
		cluster.nodes[leader].step(CallAsked{Ask: cluster.nextAsk, Request: call})
		cluster.runFor(500 * time.Millisecond)
		cluster.runDelay = 0
		cluster.nodes[keeper].paused = true
		Expect(cluster.call(call, 30*time.Second).text).To(HavePrefix(program + "/r1#2:1"))
		Expect(cluster.runsOf(program + "/r1")).To(Equal(1))
		Expect(cluster.engines["e0"].stale + cluster.engines["e1"].stale).To(BeNumerically(">", 0))
	})

	It("raises its fence over one that an engine brings from another pool", func() {
		cluster := newTestCluster(27, 3)
		cluster.engines["e0"].fence = 1 << 50
		cluster.engines["e1"].fence = 1 << 50
		cluster.create("p1")
		Expect(cluster.call(testCall("p1", "r1"), 20*time.Second).text).To(HavePrefix("p1/r1:1"))
	})

	It("is announced again to an engine that has started anew", func() {
		cluster := newTestCluster(28, 3)
		fence := cluster.nodes[cluster.keeperOf()].core.pools[testPool].fenceOf("e0")
		cluster.runFor(time.Second)
		cluster.crashEngine("e0")
		Expect(cluster.runUntil(10*time.Second, func() bool { return cluster.engines["e0"].fence == fence.Epoch })).To(BeTrue())
	})
})

var _ = Describe("cache of programs that are gone", func() {
	const ordersLost = "the orders for a while"
	fail := func(cluster *testCluster, what string) {
		keeper, leader := cluster.nodes[cluster.keeperOf()], cluster.nodes[cluster.leader("p1")]
		switch what {
		case "the keeper":
			keeper.dead = true
		case "the leader":
			leader.dead = true
		case "both for a while":
			for _, node := range []*testNode{keeper, leader} {
				node.paused = true
				cluster.after(8*time.Second, node.wake)
			}
		}
	}
	for _, name := range []string{"the keeper", "the leader", "both for a while", ordersLost} {
		It("is released when "+name+" is lost", func() {
			for seed := int64(30); seed < 40; seed++ {
				cluster := newTestCluster(seed, 4)
				cluster.create("p1")
				cluster.create("p2")
				Expect(cluster.call(testCall("p1", "r1"), 20*time.Second).ended).To(BeTrue())
				Expect(cluster.call(testCall("p2", "r1"), 20*time.Second).ended).To(BeTrue())
				Expect(cluster.holders("p1")).NotTo(BeEmpty())
				cluster.loseOrders(true)
				cluster.endProgram("p1")
				if name == ordersLost {
					cluster.runFor(10 * time.Second)
				}
				fail(cluster, name)
				cluster.runFor(200 * time.Millisecond)
				cluster.loseOrders(false)
				Expect(cluster.holders("p1")).NotTo(BeEmpty())
				released := func() bool { return len(cluster.holders("p1")) == 0 }
				Expect(cluster.runUntil(60*time.Second, released)).To(BeTrue(), "seed %d", seed)
				if name == "the keeper" {
					// A live program's cache survives the sweep.
					Expect(cluster.holders("p2")).NotTo(BeEmpty(), "seed %d", seed)
				}
			}
		})
	}
})

var _ = Describe("a leaving back end", func() {
	It("gets no new call three seconds after its report, whatever the machine list says", func() {
		cluster := newTestCluster(29, 3)
		cluster.create("p1")
		cluster.call(testCall("p1", "r0"), 20*time.Second)
		leaving := cluster.engines["e0"]
		leaving.leaving = true
		since := cluster.now
		for number := 1; cluster.now < since+10*time.Second; number++ {
			cluster.call(testCall("p1", fmt.Sprintf("r%d", number)), 20*time.Second)
		}
		Expect(leaving.lastCall).To(BeNumerically("<", since+3*time.Second))
	})

	It("that refuses tool calls gets each call once at most, and others run it", func() {
		cluster := newTestCluster(41, 3)
		second := outside.Machine{
			ID: "t1", Role: outside.RoleTool, Region: "r", Zone: "z1", Address: "t1",
			State: outside.MachineLive, Service: testTool,
		}
		cluster.machines = append(cluster.machines, second)
		for _, node := range cluster.nodes {
			node.step(MachinesListed{Machines: cluster.machines})
		}
		cluster.create("p1")
		cluster.toolsDown = map[string]bool{"t0": true}
		for number := range 10 {
			call := testCall("p1", fmt.Sprintf("r%d", number))
			call.Kind = schedulerv1.CallKind_CALL_KIND_TOOL
			call.Target = testTool
			Expect(cluster.call(call, 20*time.Second).text).To(HavePrefix("tool:"))
		}
	})

	It("gets no tool call once the machine list shows it, by any leader", func() {
		cluster := newTestCluster(42, 3)
		cluster.create("p1")
		for index := range cluster.machines {
			if cluster.machines[index].ID == "t0" {
				cluster.machines[index].State = outside.MachineLeaving
			}
		}
		for _, node := range cluster.nodes {
			node.step(MachinesListed{Machines: cluster.machines})
		}
		call := testCall("p1", "r1")
		call.Kind = schedulerv1.CallKind_CALL_KIND_TOOL
		call.Target = testTool
		Expect(cluster.call(call, 20*time.Second).failure.Code).To(BeEquivalentTo(resultcode.NoBackEnd))
		Expect(cluster.lastTool).To(BeEmpty())
	})
})
