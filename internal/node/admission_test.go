package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/admission"
	"github.com/magpielug/magpielug/internal/assignment"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

var _ = Describe("Admission at a shard owner", func() {
	const program = "p"
	name := admission.RouteName("r", "models", 2)
	var node *Node

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		logger, err := logging.New("error", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		node = &Node{settings: Settings{Name: "self", Shards: 1}, members: newMembers(), logger: logger.Sampled(), engines: backend.NewDirectory(),
			load: load.NewView(), routes: &routing.ActiveConfiguration{}, assigner: assignment.New()}
		node.members.put(Member{Name: "self"})
		node.peers = newPeers(node.members, &http.Client{})
		node.ownership = ownership.NewManager(ctx, durable.NewMemory(), logger.Logger, ownership.Identity{Node: "self", Incarnation: "life", Address: "self"}, 1,
			ownership.Dependencies{LogUnavailable: func() bool { return false }})
		go node.ownership.Run()
		node.programs = newPrograms(node)
		node.service = &forward.Service{ToolCalls: forward.NewToolCalls()}
		node.admission = newAdmitter(node)
		for number := range 2 {
			node.engines.Upsert(backend.Instance{ID: fmt.Sprint("e", number), Service: "models", Address: fmt.Sprint("10.0.0.", number, ":1"), Slots: 6}, time.Time{})
		}
	})

	reserve := func(id, request, previous string) *nodev1.ReserveReply {
		return node.handleReserve(context.Background(), 0, &nodev1.ReserveRequest{Program: id, Tenant: "t", Request: request, Previous: previous, Route: "r", Rank: 2,
			Service: "models", Session: id, Budget: 10_000, Most: 100, Prompt: 700, TimeLeftMs: 3000, TakeOver: true})
	}
	// overload sets a load view far above the engines' capacity.
	overload := func() {
		total := load.NewReport()
		total.Routes[name] = load.Route{Service: "models", Priority: 2, Programs: 60, Turns: 60, ProgramsStarted: 15}
		total.Engines["e0"] = load.Engine{Running: 6}
		total.Engines["e1"] = load.Engine{Running: 6}
		total.Waiting[load.QueueKey{Service: "models", Priority: 2}] = 48
		now := time.Now()
		node.load.Update(total, load.NewReport(), 0, now)
		for step := range 20 {
			node.admission.controller.Observe(node.admission.state(now), now.Add(time.Duration(step-20)*200*time.Millisecond))
		}
	}
	// acquireShard makes the node the shard's owner and skips the warm-up.
	acquireShard := func() {
		Expect(reserve(program, program+"/0", "").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		node.admission.warmUp = 0
	}

	It("refuses a new program without reserving tokens, with a retry delay", func() {
		acquireShard()
		overload()
		reply := reserve("q", "q/0", "")
		Expect(reply.Verdict).To(Equal(nodev1.Verdict_VERDICT_NO_ROOM))
		Expect(reply.Reason).To(Equal(string(admission.ReasonSlots)))
		Expect(reply.RetryAfterMs).To(And(BeNumerically(">=", 150), BeNumerically("<=", 1000)))
		Expect(node.admission.table.HasStarted(tenant.Program{Tenant: "t", ID: "q"})).To(BeFalse())
		routes, _ := node.admission.report()
		Expect(routes[name].Refused).To(BeNumerically("~", 1, 0.5))
		Expect(routes[name].Programs).To(Equal(1))
		node.load.Update(load.NewReport(), load.NewReport(), 0, time.Now())
		Expect(reserve("q", "q/1", "").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED), "admitted on retry once there is capacity")
	})

	It("admits further turns of a started program regardless of the load", func() {
		acquireShard()
		overload()
		Expect(reserve(program, program+"/1", "").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED), "a program without recorded turns")
		Expect(reserve("elsewhere", "elsewhere/1", "turn-1").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED), "a program whose turn names a previous one")
	})

	It("admits a program's other turns while its first one is being reserved", func() {
		acquireShard()
		overload()
		first := &nodev1.ReserveRequest{Program: "q", Tenant: "t", Request: "q/0", Route: "r", Rank: 2, Service: "models", Session: "q", Prompt: 700}
		second := &nodev1.ReserveRequest{Program: "q", Tenant: "t", Request: "q/1", Route: "r", Rank: 2, Service: "models", Session: "helper", Prompt: 700}
		Expect(node.admission.isFirstTurn(first)).To(BeTrue())
		node.load.Update(load.NewReport(), load.NewReport(), 0, time.Now())
		Expect(node.admission.admit(0, first, &nodev1.ReserveReply{})).To(BeTrue())
		overload()
		Expect(node.admission.isFirstTurn(second)).To(BeFalse(), "it was admitted")
		node.admission.finishFirstTurn(first)
		Expect(node.admission.isFirstTurn(second)).To(BeTrue(), "its reservation ended without a turn")
	})

	It("admits every program during the warm-up after acquiring a shard", func() {
		Expect(reserve(program, program+"/0", "").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		overload()
		Expect(reserve("q", "q/0", "").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("admits every program without a load view or with the feature disabled", func() {
		acquireShard()
		Expect(reserve("q", "q/0", "").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
		overload()
		Expect(feature.Disable(string(feature.Admission))).To(Succeed())
		DeferCleanup(func() { Expect(feature.Disable("")).To(Succeed()) })
		Expect(reserve("s", "s/0", "").Verdict).To(Equal(nodev1.Verdict_VERDICT_GRANTED))
	})

	It("counts turns from reservation to settlement", func() {
		acquireShard()
		turns := func() int {
			routes, _ := node.admission.report()
			return routes[name].Turns
		}
		Expect(turns()).To(Equal(1))
		node.settle(&nodev1.Settlement{Program: program, Tenant: "t", Request: program + "/0", Tokens: 5}, false)
		Expect(turns()).To(BeZero())
	})

	It("exports its inputs and outcomes as metrics", func() {
		acquireShard()
		overload()
		reserve("q", "q/0", "")
		registry := prometheus.NewRegistry()
		registry.MustRegister(node.admission.metrics)
		response := httptest.NewRecorder()
		promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		Expect(response.Body.String()).To(ContainSubstring(`magpielug_programs_refused_total{rank="2",reason="slots",route="r"} 1`))
		Expect(response.Body.String()).To(ContainSubstring(`magpielug_admission_capacity{resource="slots",service="models"} 12`))
		Expect(response.Body.String()).To(ContainSubstring(`magpielug_programs_under_way{rank="2",route="r"} 1`))
	})
})
