package admission_test

import (
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Table", func() {
	program := tenant.Program{Tenant: "t", ID: "p"}
	name := admission.RouteName("r", models, 2)
	var table *admission.Table
	var now time.Time
	var prompt int64

	BeforeEach(func() {
		table = admission.NewTable()
		now = time.Unix(1000, 0)
		prompt = 500
	})

	startTurn := func(request, session string, first bool) {
		table.RecordTurnStart(admission.Turn{Program: program, RequestID: request, Session: session, Route: "r", Service: models, Priority: 2, PromptTokens: prompt,
			ExpiresAt: now.Add(3 * time.Second), SoftDeadline: time.Unix(1002, 0), FirstTurn: first}, now)
	}
	after := func(wait time.Duration) load.Route {
		now = now.Add(wait)
		routes, _ := table.Report(now)
		return routes[name]
	}

	It("reports programs, turns and prompt tokens by route, and programs by tenant", func() {
		startTurn("1", "main", true)
		prompt = 800
		startTurn("2", "helper", false)
		startTurn("3", "other", false)
		routes, tenants := table.Report(now)
		Expect(routes[name]).To(Equal(load.Route{Service: models, Priority: 2, Programs: 1, Turns: 3, ProgramsStarted: 1, PromptTokens: 500 + 2*300}),
			"sub-agents' prompts share the main session's prefix")
		Expect(tenants).To(Equal(map[load.TenantPriority]int{{Tenant: "t", Priority: 2}: 1}))
	})

	It("counts the prompt of a sub-agent's session until the session is idle", func() {
		startTurn("1", "main", true)
		prompt = 900
		startTurn("2", "helper", false)
		Expect(after(1500*time.Millisecond).PromptTokens).To(BeEquivalentTo(900), "its turn is in flight")
		table.RecordTurnEnd(program, "2", now)
		Expect(after(100*time.Millisecond).PromptTokens).To(BeEquivalentTo(900), "the session may continue")
		Expect(after(900 * time.Millisecond).PromptTokens).To(BeEquivalentTo(500))
	})

	It("counts a program during pauses, and as finished soon after its last turn", func() {
		startTurn("1", "main", true)
		table.RecordTurnEnd(program, "1", now)
		Expect(after(200 * time.Millisecond).Programs).To(Equal(1))
		Expect(after(time.Second).Programs).To(BeZero())
		Expect(table.HasStarted(program)).To(BeTrue(), "it is not a new program if it continues")
		startTurn("2", "main", false)
		Expect(after(0).Programs).To(Equal(1))
		Expect(after(0).ProgramsStarted).To(BeNumerically("<", 1), "it started once")
		table.RecordTurnEnd(program, "2", now)
		after(2 * time.Minute)
		Expect(table.HasStarted(program)).To(BeFalse())
	})

	It("adapts to the duration of pauses", func() {
		for range 60 {
			startTurn("1", "main", false)
			table.RecordTurnEnd(program, "1", now)
			now = now.Add(600 * time.Millisecond)
		}
		Expect(after(600*time.Millisecond).Programs).To(Equal(1), "1.2 s after its last turn")
		Expect(after(2 * time.Second).Programs).To(BeZero())
	})

	It("expires a turn whose end is not reported, and ignores a repeated end", func() {
		startTurn("1", "main", true)
		table.RecordTurnEnd(program, "other", now)
		Expect(after(3 * time.Second).Turns).To(Equal(1))
		Expect(after(1100 * time.Millisecond).Turns).To(BeZero())
		table.RecordTurnEnd(program, "1", now)
		Expect(after(0).Programs).To(BeZero())
	})

	It("counts a program as late once, and only if it runs past its soft deadline", func() {
		startTurn("1", "main", true)
		Expect(after(1900 * time.Millisecond).Late).To(BeZero())
		Expect(after(200 * time.Millisecond).Late).To(BeNumerically("~", 1, 0.01))
		startTurn("2", "main", false)
		Expect(after(0).Late).To(BeNumerically("~", 1, 0.01))

		other := tenant.Program{Tenant: "t", ID: "in time"}
		table.RecordTurnStart(admission.Turn{Program: other, RequestID: "1", Route: "s", Service: models, ExpiresAt: now.Add(time.Second), SoftDeadline: now.Add(100 * time.Millisecond), FirstTurn: true}, now)
		table.RecordTurnEnd(other, "1", now.Add(50*time.Millisecond))
		routes, _ := table.Report(now.Add(150 * time.Millisecond))
		Expect(routes[admission.RouteName("s", models, 0)].Late).To(BeZero())
	})

	It("reports recent starts, refusals and late programs, and drops them once decayed", func() {
		startTurn("1", "main", true)
		table.RecordRefusal(admission.Request{Program: tenant.Program{ID: "q"}, Route: name, Service: models, Priority: 2}, now)
		Expect(after(0).Refused).To(BeNumerically("==", 1))
		Expect(after(admission.DecayTimeConstant).Refused).To(BeNumerically("~", 0.37, 0.01))
		now = now.Add(10 * time.Second)
		routes, _ := table.Report(now)
		Expect(routes).To(BeEmpty())
	})

	It("drops the programs of a shard that another node owns", func() {
		startTurn("1", "main", true)
		table.RemoveWhere(func(tenant.Program) bool { return true })
		Expect(table.HasStarted(program)).To(BeFalse())
		table.RecordTurnEnd(program, "1", now)
		Expect(after(0).Turns).To(BeZero())
	})
})
