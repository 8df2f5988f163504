package scheduler

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

func testCall(program, requestID string) *schedulerv1.CallRequest {
	return &schedulerv1.CallRequest{
		ProgramId: program,
		RequestId: requestID,
		Caller:    &schedulerv1.Caller{Tenant: testTenant, Tier: testTier},
		Kind:      schedulerv1.CallKind_CALL_KIND_MODEL,
		Target:    testModel,
		Messages:  []*schedulerv1.Message{{Role: "user", Content: "why is the token refused"}},
		MaxTokens: 50,
		Digest:    []byte(requestID),
	}
}

func (cluster *testCluster) create(program string) *schedulerv1.ProgramReply {
	leader := cluster.leader(program)
	answer, answered := cluster.ask(leader, func(replyTo ReplyID) Event {
		return CreateRequested{ReplyTo: replyTo, Request: &schedulerv1.CreateProgramRequest{
			ProgramId: program, Kind: "dispute", Caller: &schedulerv1.Caller{Tenant: testTenant, Tier: testTier},
		}}
	})
	Expect(answered).To(BeTrue())
	return answer.message.(*schedulerv1.ProgramReply)
}

var _ = Describe("scheduler core", func() {
	It("founds groups, and runs and records a call", func() {
		cluster := newTestCluster(1, 3)
		Expect(cluster.create("p1").Error).To(BeNil())
		final := cluster.call(testCall("p1", "r1"), 20*time.Second)
		Expect(final.failure).To(BeNil())
		Expect(final.text).To(HavePrefix("p1/r1:1 "))
		again := cluster.call(testCall("p1", "r1"), 20*time.Second)
		Expect(again.text).To(Equal(final.text))
		Expect(cluster.runs["p1/r1"]).To(Equal(1))
	})

	It("refuses a request id that is reused with another body", func() {
		cluster := newTestCluster(2, 3)
		cluster.create("p1")
		cluster.call(testCall("p1", "r1"), 20*time.Second)
		other := testCall("p1", "r1")
		other.Digest = []byte("other")
		Expect(cluster.call(other, time.Second).failure.Code).To(BeEquivalentTo(resultcode.RequestIDReused))
	})

	It("answers another tenant's program as an unknown one", func() {
		cluster := newTestCluster(3, 3)
		cluster.create("p1")
		foreign := testCall("p1", "r1")
		foreign.Caller = &schedulerv1.Caller{Tenant: "other", Tier: "other"}
		absent := testCall("p9", "r1")
		absent.Caller = foreign.Caller
		refused := cluster.call(foreign, time.Second).failure
		Expect(refused.Code).To(BeEquivalentTo(resultcode.UnknownProgram))
		Expect(cluster.call(absent, time.Second).failure.Code).To(Equal(refused.Code))
	})

	It("stops an endless loop at the program's cap without charging more", func() {
		cluster := newTestCluster(4, 3)
		cluster.create("p1")
		var last outcome
		for turn := 0; turn < 1000 && last.failure == nil; turn++ {
			last = cluster.call(testCall("p1", string(rune('a'+turn%26))+string(rune('a'+turn/26))), 20*time.Second)
		}
		Expect(last.failure.Code).To(BeEquivalentTo(resultcode.ProgramCapReached))
		host := cluster.nodes[cluster.leader("p1")].core.leadingHost("p1")
		program := host.state.Program("p1")
		Expect(program.Spent() + program.Reserved()).To(BeNumerically("<=", program.Created().CapMicros))
	})

	It("continues a call after its leader dies", func() {
		cluster := newTestCluster(5, 3)
		cluster.create("p1")
		cluster.callSteps = 100
		leader := cluster.leader("p1")
		cluster.after(300*time.Millisecond, func() { cluster.nodes[leader].dead = true })
		final := cluster.call(testCall("p1", "r1"), 30*time.Second)
		Expect(final.failure).To(BeNil())
		Expect(final.text).To(ContainSubstring("p1/r1:100 "))
		Expect(cluster.runs["p1/r1"]).To(Equal(1))
	})

	It("adds a restarted process as a new member", func() {
		cluster := newTestCluster(6, 3)
		cluster.create("p1")
		cluster.call(testCall("p1", "r1"), 20*time.Second)
		leader := cluster.leader("p1")
		cluster.start(leader)
		cluster.runFor(10 * time.Second)
		second := cluster.leader("p1")
		cluster.start(second)
		cluster.runFor(10 * time.Second)
		final := cluster.call(testCall("p1", "r1"), 20*time.Second)
		Expect(final.text).To(HavePrefix("p1/r1:1 "))
		Expect(cluster.runs["p1/r1"]).To(Equal(1))
	})

	It("rebuilds its groups from the log when every process is replaced at once", func() {
		cluster := newTestCluster(8, 3)
		cluster.create("p1")
		first := cluster.call(testCall("p1", "r1"), 20*time.Second)
		cluster.runFor(time.Second)
		for _, name := range sortedKeys(cluster.nodes) {
			cluster.start(name)
		}
		again := cluster.call(testCall("p1", "r1"), 60*time.Second)
		Expect(again.text).To(Equal(first.text))
		Expect(cluster.runs["p1/r1"]).To(Equal(1))
		next := cluster.call(testCall("p1", "r2"), 20*time.Second)
		Expect(next.failure).To(BeNil())
	})

	It("rebuilds a group that has lost two of three members", func() {
		cluster := newTestCluster(9, 3)
		cluster.create("p1")
		first := cluster.call(testCall("p1", "r1"), 20*time.Second)
		cluster.runFor(time.Second)
		cluster.start("s0")
		cluster.start("s1")
		again := cluster.call(testCall("p1", "r1"), 60*time.Second)
		Expect(again.text).To(Equal(first.text))
		Expect(cluster.runs["p1/r1"]).To(Equal(1))
	})

	It("keeps entries of a surviving member when two of three die during a log outage", func() {
		cluster := newTestCluster(14, 3)
		cluster.create("p1")
		cluster.call(testCall("p1", "r1"), 20*time.Second)
		cluster.runFor(time.Second)
		cluster.log.down = true
		answered := cluster.call(testCall("p1", "r2"), 20*time.Second)
		Expect(answered.failure).To(BeNil())
		cluster.start("s0")
		cluster.start("s1")
		cluster.runFor(10 * time.Second)
		cluster.log.down = false
		// Otherwise the engine would answer a second attempt from memory.
		cluster.crashEngine("e0")
		cluster.crashEngine("e1")
		again := cluster.call(testCall("p1", "r2"), 90*time.Second)
		Expect(again.text).To(Equal(answered.text))
		Expect(cluster.runs["p1/r2"]).To(Equal(1))
	})

	It("does not rebuild a group whose majority is only partitioned", func() {
		cluster := newTestCluster(10, 3)
		cluster.create("p1")
		cluster.call(testCall("p1", "r1"), 20*time.Second)
		cluster.partitioned = func(from, to string) bool { return from == "s0" || to == "s0" }
		cluster.runFor(60 * time.Second)
		cluster.partitioned = func(string, string) bool { return false }
		cluster.runFor(20 * time.Second)
		for _, name := range sortedKeys(cluster.nodes) {
			for _, host := range cluster.nodes[name].core.hosts {
				Expect(host.generation).To(BeEquivalentTo(1))
			}
		}
	})

	It("stops a program whose cap covers no further call", func() {
		cluster := newTestCluster(11, 3)
		cluster.create("p1")
		var last outcome
		for turn := 0; last.failure == nil; turn++ {
			last = cluster.call(testCall("p1", fmt.Sprintf("r%d", turn)), 20*time.Second)
		}
		small := testCall("p1", "small")
		small.MaxTokens = 1
		for last.failure.Code == uint32(resultcode.ProgramCapReached) {
			small.RequestId += "+"
			small.Digest = []byte(small.RequestId)
			last = cluster.call(small, 20*time.Second)
			if last.failure == nil {
				last.failure = &schedulerv1.Error{Code: uint32(resultcode.ProgramCapReached)}
			}
		}
		Expect(last.failure.Code).To(BeEquivalentTo(resultcode.ProgramOver))
		Expect(cluster.runUntil(10*time.Second, func() bool { return len(cluster.holders("p1")) == 0 })).To(BeTrue())
	})

	It("loses no tool call in a planned stop", func() {
		cluster := newTestCluster(12, 3)
		cluster.create("p1")
		leader := cluster.leader("p1")
		var requestStop func()
		requestStop = func() {
			cluster.nodes[leader].step(StopRequested{})
			cluster.after(50*time.Millisecond, requestStop)
		}
		cluster.after(10*time.Millisecond, requestStop)
		for number := range 5 {
			tool := testCall("p1", fmt.Sprintf("tool%d", number))
			tool.Kind = schedulerv1.CallKind_CALL_KIND_TOOL
			tool.Target = testTool
			final := cluster.call(tool, 20*time.Second)
			Expect(final.failure).To(BeNil())
			Expect(cluster.runs["p1/"+tool.RequestId]).To(Equal(1))
		}
		Expect(cluster.leader("p1")).NotTo(Equal(leader))
	})

	// Guards against a planned stop that transfers leadership while a call is in transit to its
	// engine: the next leader attached to a run that had not arrived yet, and the engine then
	// rejected it. The delays place each stop between a call's sending and its arrival.
	for _, repeatable := range []bool{true, false} {
		It(fmt.Sprintf("loses no call in transit to its engine in a planned stop, repeatable %t", repeatable), func() {
			for wait := range 12 {
				cluster := newTestCluster(14, 3)
				cluster.runDelay = 50 * time.Millisecond
				cluster.dropUnattachedSends = true
				cluster.create("p1")
				Expect(cluster.call(testCall("p1", "before"), 20*time.Second).failure).To(BeNil())
				leader := cluster.leader("p1")
				var requestStop func()
				requestStop = func() {
					cluster.nodes[leader].step(StopRequested{})
					cluster.after(50*time.Millisecond, requestStop)
				}
				cluster.after(time.Duration(wait)*5*time.Millisecond, requestStop)
				for number := range 3 {
					call := testCall("p1", fmt.Sprintf("call%d", number))
					call.Repeatable = repeatable
					final := cluster.call(call, 20*time.Second)
					Expect(final.failure).To(BeNil(), "stopped %d ms after the first call", 5*wait)
					Expect(cluster.runsOf("p1/" + call.RequestId)).To(Equal(1))
				}
				Expect(cluster.leader("p1")).NotTo(Equal(leader))
			}
		})
	}

	It("refuses new calls during a long log outage, and accepts them again afterwards", func() {
		cluster := newTestCluster(13, 3)
		cluster.backlog = 64 << 10
		for _, name := range sortedKeys(cluster.nodes) {
			cluster.start(name)
		}
		cluster.create("p1")
		cluster.runFor(time.Second)
		cluster.log.down = true
		var refused outcome
		answered := 0
		for ; refused.failure == nil && answered < 400; answered++ {
			request := testCall(fmt.Sprintf("single%d", answered), "r1")
			request.SingleCall = true
			request.Messages[0].Content = strings.Repeat("reading ", 256)
			refused = cluster.call(request, 20*time.Second)
		}
		Expect(refused.failure.Code).To(BeEquivalentTo(resultcode.ArchiveBacklogFull))
		Expect(refused.failure.RetryAfterMs).NotTo(BeZero())
		cluster.log.down = false
		cluster.runFor(2 * time.Second)
		Expect(cluster.call(testCall("p1", "after"), 20*time.Second).failure).To(BeNil())
	})

	It("reports grants to a keeper from the first offer on, since the answer may be lost", func() {
		cluster := newTestCluster(11, 3)
		cluster.create("p1")
		leader := cluster.nodes[cluster.leader("p1")].core
		clear(leader.grantReportsLeft)
		Expect(cluster.call(testCall("p1", "r1"), 20*time.Second).ended).To(BeTrue())
		Expect(leader.grantReportsLeft).To(HaveKey(testPool))
	})

	It("releases the cache of a stopped program", func() {
		cluster := newTestCluster(7, 3)
		cluster.create("p1")
		cluster.call(testCall("p1", "r1"), 20*time.Second)
		Expect(cluster.holders("p1")).NotTo(BeEmpty())
		cluster.ask(cluster.leader("p1"), func(replyTo ReplyID) Event {
			return EndRequested{ReplyTo: replyTo, Request: &schedulerv1.EndProgramRequest{
				ProgramId: "p1", Stop: true, Caller: &schedulerv1.Caller{Tenant: testTenant},
			}}
		})
		Expect(cluster.runUntil(10*time.Second, func() bool { return len(cluster.holders("p1")) == 0 })).To(BeTrue())
	})
})
