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

var _ = Describe("The load status endpoint", func() {
	var node *Node

	BeforeEach(func() {
		logger, err := logging.New("error", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		node = &Node{settings: Settings{Name: "self", Zone: "a", Shards: 1}, members: newMembers(), logger: logger.Sampled(), engines: backend.NewDirectory(),
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

	serve := func(method, target string) *httptest.ResponseRecorder {
		response := httptest.NewRecorder()
		node.serveLoad(response, httptest.NewRequest(method, target, nil))
		return response
	}
	statusOf := func(target string) load.Status {
		response := serve(http.MethodGet, target)
		Expect(response.Code).To(Equal(http.StatusOK), response.Body.String())
		var status load.Status
		Expect(json.Unmarshal(response.Body.Bytes(), &status)).To(Succeed())
		return status
	}
	// overload sets a load view above the engines' capacity.
	overload := func(tenants int) {
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

	It("reports engine and service load over all nodes and waiting calls by priority", func() {
		overload(3)
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
		Expect(status.Routes).To(HaveLen(1), "tool calls are not programs")
		Expect(status.Routes[0].Route).To(Equal("r"))
		Expect(status.Routes[0].StartedPerSecond).To(BeNumerically("~", 30, 0.1))
		Expect(status.Routes[0].RefusedPerSecond).To(BeNumerically("~", 8, 0.1))
		Expect(status.Admission).NotTo(BeEmpty())
		Expect(status.Admission[0].Resource).To(Equal("slots"))
		Expect(status.UnreachableZones).To(BeEmpty())
	})

	It("lists the tenants with the most programs and counts the others", func() {
		overload(70)
		status := statusOf("/load")
		Expect(status.Tenants).To(HaveLen(load.MaxStatusTenants))
		Expect(status.Tenants[0].Tenant).To(Equal("t69"))
		Expect(status.Tenants[0].Programs).To(Equal(70))
		Expect(status.OtherTenants).To(Equal(20))
	})

	It("stays below 200 KB at the target size", func() {
		const engines, maxBytes = 600, 200_000
		overload(320)
		for number := range engines {
			node.engines.Upsert(backend.Instance{ID: fmt.Sprint("i-0123456", number), Service: "models", Zone: "a", Slots: 90}, time.Time{})
		}
		response := serve(http.MethodGet, "/load")
		GinkgoWriter.Println(response.Body.Len(), "bytes")
		Expect(response.Body.Len()).To(BeNumerically("<", maxBytes))
	})

	It("omits unknown figures without a load view", func() {
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

	It("reports unreachable zones and their engines", func() {
		now := time.Now()
		node.logHealth.lastResponse.set(now.Add(-2 * logUnresponsiveAfter))
		node.zones.RecordProbeTimeout("b", now, now)
		node.zones.RecordProbeTimeout("b", now, now)
		status := statusOf("/load")
		Expect(status.UnreachableZones).To(Equal([]string{"b"}))
		Expect(status.ZoneIsolated).To(BeTrue(), "the log is unresponsive too")
		Expect(status.Engines[2].Engine).To(Equal("tool"))
		Expect(status.Engines[2].ZoneReachable).To(BeFalse())
		Expect(status.Engines[2].AvoidReasons).To(ContainElement(string(backend.AvoidUnreachableZone)))
		Expect(status.Services[1].AvoidedEngines).To(Equal(1))
	})

	It("filters by service", func() {
		overload(1)
		status := statusOf("/load?service=tools")
		Expect(status.Services).To(HaveLen(1))
		Expect(status.Engines).To(HaveLen(1))
		Expect(status.Routes).To(BeEmpty())
	})

	DescribeTable("rejects invalid requests with an error code", func(method, target string, code resultcode.Code) {
		response := serve(method, target)
		Expect(response.Code).To(Equal(resultcode.Lookup(code).Status))
		var body httpserver.ErrorBody
		Expect(json.Unmarshal(response.Body.Bytes(), &body)).To(Succeed())
		Expect(body.Error.Code).To(Equal(code))
	},
		Entry("another method", http.MethodPost, "/load", resultcode.UnknownRoute),
		Entry("an unknown parameter", http.MethodGet, "/load?colour=red", resultcode.BadRequest),
		Entry("a repeated parameter", http.MethodGet, "/load?service=models&service=tools", resultcode.BadRequest),
		Entry("an unknown service", http.MethodGet, "/load?service=nowhere", resultcode.UnknownTarget),
	)
})
