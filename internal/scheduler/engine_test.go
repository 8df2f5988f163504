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

// keeperProcess waits for a keeper of the test pool and returns its process.
func (cluster *testCluster) keeperProcess() string {
	found := ""
	cluster.runUntil(30*time.Second, func() bool {
		for _, name := range sortedKeys(cluster.nodes) {
			node := cluster.nodes[name]
			managed := node.core.pools[testPool]
			if !node.dead && !node.paused && managed != nil && managed.leads() {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

func (cluster *testCluster) endProgram(program string) {
	cluster.ask(cluster.leader(program), func(replyTo ReplyID) Event {
		return EndRequested{ReplyTo: replyTo, Request: &schedulerv1.EndProgramRequest{
			ProgramId: program, Caller: &schedulerv1.Caller{Tenant: testTenant},
		}}
	})
}

// programLedElsewhere creates a program whose leader is not the given process.
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

// loseReleases makes all engines lose release commands, or stops doing so.
func (cluster *testCluster) loseReleases(lost bool) {
	for _, engine := range cluster.engines {
		engine.loseReleases = lost
	}
}

func adapterCall(program, request string) *schedulerv1.CallRequest {
	call := testCall(program, request)
	call.Adapter = testAdapter
	return call
}

// totalLoads counts the load commands that engines accepted.
func (cluster *testCluster) totalLoads() int {
	total := 0
	for _, engine := range cluster.engines {
		total += engine.loads
	}
	return total
}

var _ = Describe("loading of adapters", func() {
	It("loads an adapter once for all calls that wait for it", func() {
		cluster := newTestCluster(21, 3)
		cluster.create("p1")
		Expect(cluster.call(adapterCall("p1", "r1"), 20*time.Second).text).To(HavePrefix("p1/r1:1"))
		Expect(cluster.call(adapterCall("p1", "r2"), 20*time.Second).text).To(HavePrefix("p1/r2:1"))
		Expect(cluster.totalLoads()).To(Equal(1))
		Expect(cluster.runsOf("p1/r1")).To(Equal(1))
	})

	It("uses another engine if the first rejects the load command", func() {
		cluster := newTestCluster(22, 3)
		cluster.engines["e0"].refuseLoads = true
		cluster.create("p1")
		Expect(cluster.call(adapterCall("p1", "r1"), 20*time.Second).text).To(HavePrefix("p1/r1:1"))
		Expect(cluster.engines["e1"].adapters).To(Equal([]string{testAdapter}))
	})

	It("continues under a new keeper without a second load command", func() {
		cluster := newTestCluster(23, 3)
		for _, engine := range cluster.engines {
			engine.loadTime = 10 * time.Second
		}
		cluster.create("p1")
		leader := cluster.leader("p1")
		cluster.lastReplyID++
		cluster.nodes[leader].step(CallRequested{ReplyTo: cluster.lastReplyID, Request: adapterCall("p1", "r1")})
		Expect(cluster.runUntil(20*time.Second, func() bool { return cluster.totalLoads() == 1 })).To(BeTrue())
		cluster.nodes[cluster.keeperProcess()].dead = true
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

var _ = Describe("engines with a role that can't serve complete calls", func() {
	It("are switched to the mixed role while calls wait", func() {
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
	It("makes engines reject a replaced keeper before the new one grants anything", func() {
		cluster := newTestCluster(25, 4)
		cluster.create("p1")
		cluster.call(testCall("p1", "r1"), 20*time.Second)
		old := cluster.nodes[cluster.keeperProcess()]
		stale := old.core.pools[testPool].fenceOf("e0")
		old.paused = true
		keeper := cluster.keeperProcess()
		fence := cluster.nodes[keeper].core.pools[testPool].fenceOf("e0")
		Expect(fence.Epoch).To(BeNumerically(">", stale.Epoch))
		cluster.runFor(time.Second)
		for _, name := range []string{"e0", "e1"} {
			engine := cluster.engines[name]
			Expect(engine.fence).To(Equal(fence.Epoch))
			engine.heldBlocks["p1"] = testCallBlocks
			engine.release(ReleaseCache{Program: "p1", Fence: stale})
			Expect(engine.heldBlocks["p1"]).To(Equal(testCallBlocks))
			Expect(engine.admit(outside.GenerateRequest{Fence: stale})).To(Equal("stale fence"))
		}
	})

	It("runs a call that a replaced keeper granted once, under the next grant", func() {
		cluster := newTestCluster(26, 4)
		keeper := cluster.keeperProcess()
		program, leader := cluster.programLedElsewhere(keeper)
		cluster.runDelay = 8 * time.Second
		cluster.lastReplyID++
		call := testCall(program, "r1")
		call.Repeatable = false
		cluster.nodes[leader].step(CallRequested{ReplyTo: cluster.lastReplyID, Request: call})
		cluster.runFor(500 * time.Millisecond)
		cluster.runDelay = 0
		cluster.nodes[keeper].paused = true
		Expect(cluster.call(call, 30*time.Second).text).To(HavePrefix(program + "/r1#2:1"))
		Expect(cluster.runsOf(program + "/r1")).To(Equal(1))
		Expect(cluster.engines["e0"].staleCommands + cluster.engines["e1"].staleCommands).To(BeNumerically(">", 0))
	})

	It("raises the fence above that of an engine from another pool", func() {
		cluster := newTestCluster(27, 3)
		cluster.engines["e0"].fence = 1 << 50
		cluster.engines["e1"].fence = 1 << 50
		cluster.create("p1")
		Expect(cluster.call(testCall("p1", "r1"), 20*time.Second).text).To(HavePrefix("p1/r1:1"))
	})

	It("announces the fence again to a restarted engine", func() {
		cluster := newTestCluster(28, 3)
		fence := cluster.nodes[cluster.keeperProcess()].core.pools[testPool].fenceOf("e0")
		cluster.runFor(time.Second)
		cluster.crashEngine("e0")
		Expect(cluster.runUntil(10*time.Second, func() bool { return cluster.engines["e0"].fence == fence.Epoch })).To(BeTrue())
	})
})

var _ = Describe("cache of ended programs", func() {
	const commandsLost = "commands for a while"
	fail := func(cluster *testCluster, what string) {
		keeper, leader := cluster.nodes[cluster.keeperProcess()], cluster.nodes[cluster.leader("p1")]
		switch what {
		case "the keeper":
			keeper.dead = true
		case "the leader":
			leader.dead = true
		case "both for a while":
			for _, node := range []*testNode{keeper, leader} {
				node.paused = true
				cluster.after(8*time.Second, node.resume)
			}
		}
	}
	for _, name := range []string{"the keeper", "the leader", "both for a while", commandsLost} {
		It("is released after the loss of "+name+"", func() {
			for seed := int64(30); seed < 40; seed++ {
				cluster := newTestCluster(seed, 4)
				cluster.create("p1")
				cluster.create("p2")
				Expect(cluster.call(testCall("p1", "r1"), 20*time.Second).ended).To(BeTrue())
				Expect(cluster.call(testCall("p2", "r1"), 20*time.Second).ended).To(BeTrue())
				Expect(cluster.holders("p1")).NotTo(BeEmpty())
				cluster.loseReleases(true)
				cluster.endProgram("p1")
				if name == commandsLost {
					cluster.runFor(10 * time.Second)
				}
				fail(cluster, name)
				cluster.runFor(200 * time.Millisecond)
				cluster.loseReleases(false)
				Expect(cluster.holders("p1")).NotTo(BeEmpty())
				released := func() bool { return len(cluster.holders("p1")) == 0 }
				Expect(cluster.runUntil(60*time.Second, released)).To(BeTrue(), "seed %d", seed)
				if name == "the keeper" {
					// The sweep must not release a live program's cache.
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

	It("is skipped for tool calls if it refuses connections", func() {
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

	It("gets no tool call from any leader once the machine list shows that it is leaving", func() {
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
		Expect(cluster.lastToolCall).To(BeEmpty())
	})
})
