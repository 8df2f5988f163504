package node

import (
	"context"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/assignment"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

var _ = Describe("A failing engine", func() {
	var node *Node
	engines := []string{"e0", "e1", "e2"}

	BeforeEach(func() {
		node = &Node{engines: backend.NewDirectory(), assigner: assignment.New(), routes: &routing.ActiveConfiguration{}}
		Expect(node.engines.SetPolicy("")).To(Succeed())
		for _, id := range engines {
			node.engines.Upsert(backend.Instance{ID: id, Service: "models", Zone: "a", Slots: 4}, time.Time{})
		}
	})
	turn := &nodev1.ReserveRequest{Program: "p", Session: "p", Service: "models", Zone: "a"}

	It("loses a program's session after a settlement reports a failed turn, if the feature is enabled", func() {
		first := node.assignEngine(turn)
		Expect(node.assignEngine(turn)).To(Equal(first))
		settlement := &nodev1.Settlement{Program: "p", Session: "p", FailedEngine: first}
		Expect(feature.Disable(string(feature.EngineBreaker))).To(Succeed())
		DeferCleanup(func() { _ = feature.Disable("") })
		node.recordFailedEngine(settlement)
		Expect(node.assignEngine(turn)).To(Equal(first))
		Expect(feature.Disable("")).To(Succeed())
		node.recordFailedEngine(&nodev1.Settlement{Program: "p", Session: "p"})
		Expect(node.assignEngine(turn)).To(Equal(first))
		node.recordFailedEngine(settlement)
		Expect(node.assignEngine(turn)).NotTo(Equal(first))
	})

	It("is assigned no sessions while its breaker is open, which is logged and exported", func() {
		core, logs := observer.New(zap.InfoLevel)
		node.logger = &logging.Logger{Logger: zap.New(core)}
		node.engines.OnBreakerChange(node.logBreakerChange)
		first := node.assignEngine(turn)
		now := time.Now()
		var sent []*backend.Engine
		for range 3 {
			sent = append(sent, node.engines.Pick(&backend.Request{Service: "models", Assigned: first}, now))
		}
		for _, engine := range sent {
			node.engines.Finish(engine, backend.EngineError, now)
		}
		Expect(node.assignEngine(turn)).NotTo(Equal(first))
		opened := logs.FilterMessage("engine breaker opened").All()
		Expect(opened).To(HaveLen(1))
		Expect(opened[0].ContextMap()).To(HaveKeyWithValue("engine", first))
		Expect(opened[0].ContextMap()).To(HaveKeyWithValue("failed", BeNumerically(">", 2.9)))

		registry := prometheus.NewRegistry()
		registry.MustRegister(breakerCollector{engines: node.engines})
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(families).To(HaveLen(1))
		Expect(families[0].GetMetric()[0].GetGauge().GetValue()).To(BeNumerically("==", 1))
		Expect(families[0].GetMetric()[0].GetLabel()[0].GetValue()).To(Equal("models"))
	})
})

var _ = Describe("Engine speeds", func() {
	It("are sent to nodes that request them", func() {
		node := newLogReader(0)
		node.engines.Upsert(backend.Instance{ID: "e0", Service: "models"}, time.Time{})
		node.engines.AddLatencyStats(map[string]backend.LatencyStats{"e0": {Weight: 5, Sum: 10}}, time.Now())
		learn := func(wants bool) map[string]float32 {
			reply, err := (&peerServer{node: node}).Learn(context.Background(), &nodev1.LearnRequest{WantsSpeeds: wants})
			Expect(err).NotTo(HaveOccurred())
			return reply.Speeds
		}
		Expect(learn(false)).To(BeEmpty())
		Expect(learn(true)["e0"]).To(BeNumerically("~", 1.5, 0.01))

		other := &learner{node: &Node{engines: backend.NewDirectory()}}
		other.node.engines.Upsert(backend.Instance{ID: "e0", Service: "models"}, time.Time{})
		other.applySpeeds(learn(false))
		Expect(other.speedsReceivedAt).To(BeZero())
		other.applySpeeds(learn(true))
		Expect(other.speedsReceivedAt).NotTo(BeZero())
		Expect(other.node.engines.Slowness("e0", time.Now())).To(BeNumerically("~", 1.5, 0.01))
	})
})
