package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/reach"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The load for operators", func() {
	var node *Node

	BeforeEach(func() {
		logger, err := logging.New("error", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		node = &Node{settings: Settings{Name: "self", Zone: "a", Shards: 1}, members: newMembers(), logger: logger.Bounded(), engines: backend.NewDirectory(),
			load: load.NewView(), routes: &routing.ActiveConfiguration{}, zones: reach.NewZones("a")}
		node.members.put(Member{Name: "self", Zone: "a"})
		node.members.put(Member{Name: "other", Zone: "b"})
		node.ownership = ownership.NewManager(context.Background(), durable.NewMemory(), logger.Logger, ownership.Identity{Node: "self"}, 1, ownership.Dependencies{})
		node.service = &forward.Service{ToolCalls: forward.NewToolCalls(), WaitQueue: backend.NewWaitQueue()}
		node.sharing = newLoadSharing(node)
		node.admission = newAdmitter(node)
		node.engines.SetZones(node.zones)
		node.engines.SetLoadView(node.load)
		for number := range 2 {
			node.engines.Upsert(backend.Instance{ID: fmt.Sprint("e", number), Service: "models", Zone: "a", Slots: 6}, time.Time{})
		}
		node.engines.Upsert(backend.Instance{ID: "tool", Service: "tools", Zone: "b", Slots: 4}, time.Time{})
	})

	ask := func(method, target string) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		node.serveLoad(answer, httptest.NewRequest(method, target, nil))
		return answer
	}
	statusOf := func(target string) load.Status {
		answer := ask(http.MethodGet, target)
		Expect(answer.Code).To(Equal(http.StatusOK), answer.Body.String())
		var status load.Status
		Expect(json.Unmarshal(answer.Body.Bytes(), &status)).To(Succeed())
		return status
	}
	// busy has the view tell of more than the engines have room for.
	busy := func(tenants int) {
		total := load.NewReport()
		total.Engines["e0"] = load.Engine{Running: 9}
		total.Engines["e1"] = load.Engine{Running: 7}
		total.Waiting[load.QueueKey{Service: "models", Priority: 2}] = 48
		total.Waiting[load.QueueKey{Service: "models", Priority: 0}] = 3
		total.Routes[admission.RouteName("r", "models", 2)] = load.Route{Service: "models", Priority: 2, Programs: 60, Turns: 50, ProgramsStarted: 15, Refused: 4}
		name, calls := admission.ToolCallRoute("tools", 5)
		total.Routes[name] = calls
		for number := range tenants {
			total.Tenants[load.TenantPriority{Tenant: fmt.Sprint("t", number), Priority: 2}] = number + 1
		}
		node.load.Update(total, load.NewReport(), 200*time.Millisecond, time.Now())
	}

	It("tells what all nodes have at engines and services, and who waits by rank", func() {
		busy(3)
		status := statusOf("/load")
		Expect(status.Node).To(Equal("self"))
		Expect(status.View.Known).To(BeTrue())
		Expect(*status.View.AgeMillis).To(BeNumerically(">=", 200))
		Expect(status.View.Nodes).To(Equal(2))
		Expect(status.Engines).To(HaveLen(3))
		Expect(*status.Engines[0].Running).To(Equal(9))
		Expect(status.Engines[0].ZoneReachable).To(BeTrue())
		Expect(status.Services).To(HaveLen(2))
		models, tools := status.Services[0], status.Services[1]
		Expect(models.Slots).To(Equal(12))
		Expect(models.HealthySlots).To(Equal(12))
		Expect(*models.Running).To(Equal(16))
		Expect(models.Waiting).To(Equal([]load.PriorityCalls{{Priority: 0, Calls: 3}, {Priority: 2, Calls: 48}}))
		Expect(models.ToolCalls).To(BeNil())
		Expect(*tools.ToolCalls).To(Equal(5))
		Expect(status.Routes).To(HaveLen(1), "calls of tools are no programs")
		Expect(status.Routes[0].Route).To(Equal("r"))
		Expect(status.Routes[0].StartedPerSecond).To(BeNumerically("~", 30, 0.1))
		Expect(status.Routes[0].RefusedPerSecond).To(BeNumerically("~", 8, 0.1))
		Expect(status.Admission).NotTo(BeEmpty())
		Expect(status.Admission[0].Resource).To(Equal("slots"))
		Expect(status.UnreachableZones).To(BeEmpty())
	})

	It("lists the tenants with the most programs, and counts the others", func() {
		busy(70)
		status := statusOf("/load")
		Expect(status.Tenants).To(HaveLen(load.MaxStatusTenants))
		Expect(status.Tenants[0].Tenant).To(Equal("t69"))
		Expect(status.Tenants[0].Programs).To(Equal(70))
		Expect(status.OtherTenants).To(Equal(20))
	})

	It("stays within some hundred KB at the target size", func() {
		const engines, most = 600, 200_000
		busy(320)
		for number := range engines {
			node.engines.Upsert(backend.Instance{ID: fmt.Sprint("i-0123456", number), Service: "models", Zone: "a", Slots: 90}, time.Time{})
		}
		answer := ask(http.MethodGet, "/load")
		GinkgoWriter.Println(answer.Body.Len(), "bytes")
		Expect(answer.Body.Len()).To(BeNumerically("<", most))
	})

	It("leaves out what is not known while there is no view", func() {
		status := statusOf("/load")
		Expect(status.View.Known).To(BeFalse())
		Expect(status.View.AgeMillis).To(BeNil())
		Expect(status.Engines).To(HaveLen(3))
		Expect(status.Engines[0].Running).To(BeNil())
		Expect(status.Services[0].Running).To(BeNil())
		Expect(status.Routes).To(BeEmpty())
		Expect(status.Tenants).To(BeEmpty())
		Expect(status.Admission).To(BeEmpty())
	})

	It("names zones out of reach, and their engines", func() {
		now := time.Now()
		node.logHealth.answered.set(now.Add(-2 * storeSilentAfter))
		node.zones.RecordProbeTimeout("b", now, now)
		node.zones.RecordProbeTimeout("b", now, now)
		status := statusOf("/load")
		Expect(status.UnreachableZones).To(Equal([]string{"b"}))
		Expect(status.ZoneIsolated).To(BeTrue(), "the store is silent too")
		Expect(status.Engines[2].Engine).To(Equal("tool"))
		Expect(status.Engines[2].ZoneReachable).To(BeFalse())
		Expect(status.Engines[2].AvoidReasons).To(ContainElement(string(backend.AvoidUnreachableZone)))
		Expect(status.Services[1].AvoidedEngines).To(Equal(1))
	})

	It("limits the answer to one service", func() {
		busy(1)
		status := statusOf("/load?service=tools")
		Expect(status.Services).To(HaveLen(1))
		Expect(status.Engines).To(HaveLen(1))
		Expect(status.Routes).To(BeEmpty())
	})

	DescribeTable("refuses what it does not serve, with a number", func(method, target string, code resultcode.Code) {
		answer := ask(method, target)
		Expect(answer.Code).To(Equal(resultcode.Lookup(code).Status))
		var body httpserver.ErrorBody
		Expect(json.Unmarshal(answer.Body.Bytes(), &body)).To(Succeed())
		Expect(body.Error.Code).To(Equal(code))
	},
		Entry("another method", http.MethodPost, "/load", resultcode.UnknownRoute),
		Entry("an unknown parameter", http.MethodGet, "/load?colour=red", resultcode.BadRequest),
		Entry("a parameter twice", http.MethodGet, "/load?service=models&service=tools", resultcode.BadRequest),
		Entry("an unknown service", http.MethodGet, "/load?service=nowhere", resultcode.UnknownTarget),
	)
})
