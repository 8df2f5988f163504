package node

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"
)

// fakeNetwork carries requests between nodes in one process without sockets.
type fakeNetwork struct {
	mutex sync.Mutex
	nodes map[string]http.Handler
	// cut holds pairs of caller and callee between which requests fail.
	cut map[[2]string]bool
}

var errPartitioned = errors.New("network partitioned")

// clientFor returns the HTTP client of a node.
func (network *fakeNetwork) clientFor(name string) *http.Client {
	return &http.Client{Transport: roundTripperFunc(func(request *http.Request) (*http.Response, error) {
		network.mutex.Lock()
		handler := network.nodes[request.URL.Host]
		cut := network.cut[[2]string{name, request.URL.Host}]
		network.mutex.Unlock()
		if cut || handler == nil {
			return nil, errPartitioned
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder.Result(), nil
	})}
}

// delayedClientFor returns the HTTP client of a node whose requests take a time on their way, and get
// no response from frozen nodes.
func (network *fakeNetwork) delayedClientFor(name string, transit time.Duration, isFrozen func(name string) bool) *http.Client {
	direct := network.clientFor(name)
	return &http.Client{Transport: roundTripperFunc(func(request *http.Request) (*http.Response, error) {
		time.Sleep(transit)
		if isFrozen(request.URL.Host) {
			<-request.Context().Done()
			return nil, request.Context().Err()
		}
		return direct.Transport.RoundTrip(request)
	})}
}

// isolate cuts a node off from all others.
func (network *fakeNetwork) isolate(name string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for other := range network.nodes {
		network.cut[[2]string{name, other}] = true
		network.cut[[2]string{other, name}] = true
	}
}

// partition cuts two groups of nodes off from each other.
func (network *fakeNetwork) partition(left, right []*Node) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, first := range left {
		for _, second := range right {
			network.cut[[2]string{first.settings.Name, second.settings.Name}] = true
			network.cut[[2]string{second.settings.Name, first.settings.Name}] = true
		}
	}
}

var _ = Describe("Load shared between nodes", func() {
	var network *fakeNetwork
	var nodes []*Node

	// start creates nodes spread over some zones, each with one request at engine e and one at an
	// engine of its own.
	start := func(count, zones int) {
		logger, err := logging.New("error", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		network = &fakeNetwork{nodes: map[string]http.Handler{}, cut: map[[2]string]bool{}}
		nodes = nil
		for number := range count {
			name := "node-" + strconv.Itoa(number)
			node := &Node{settings: Settings{Name: name, Zone: "zone-" + strconv.Itoa(number%zones), Shards: 4}, members: newMembers(), meter: newMeter(),
				logger: logger.Sampled(), engines: backend.NewDirectory(), load: load.NewView(),
				ownership: ownership.NewManager(context.Background(), nil, logger.Logger, ownership.Identity{}, 4, ownership.Dependencies{})}
			node.peers = newPeers(node.members, network.clientFor(name))
			node.sharing = newLoadSharing(node)
			node.memberView = newRecordView("nodes", logger.Logger, func(durable.KeyedRecord) bool { return false })
			node.memberView.merge(durable.Update{EndOffset: 1}, time.Now())
			for engine := range count {
				node.engines.Upsert(backend.Instance{ID: "engine-" + strconv.Itoa(engine), Service: "s"}, time.Time{})
			}
			node.engines.Upsert(backend.Instance{ID: "e", Service: "t"}, time.Time{})
			node.engines.Pick(&backend.Request{Service: "t"}, time.Now())
			node.engines.Pick(&backend.Request{Service: "s", Assigned: "engine-" + strconv.Itoa(number)}, time.Now())
			network.nodes[name] = nodev1.NewNodeServer(&peerServer{node: node})
			nodes = append(nodes, node)
		}
		for _, node := range nodes {
			for _, other := range nodes {
				node.members.put(Member{Name: other.settings.Name, Address: other.settings.Name, Zone: other.settings.Zone, Capacity: 800})
			}
		}
	}

	run := func() {
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		for _, node := range nodes {
			go node.sharing.run(ctx)
		}
	}

	remoteRunning := func(node *Node, engine string) func() int {
		return func() int {
			remote, known := node.load.RemoteEngine(engine, time.Now())
			if !known {
				return -1
			}
			return remote.Running
		}
	}

	const eventuallyTimeout = 5 * time.Second

	It("reaches every node from all zones", func() {
		start(7, 2)
		run()
		for _, node := range nodes {
			Eventually(remoteRunning(node, "e"), eventuallyTimeout).Should(Equal(6))
			Expect(remoteRunning(node, "engine-3")()).To(Equal(map[bool]int{true: 0, false: 1}[node.settings.Name == "node-3"]))
		}
	})

	It("continues after the loss of an aggregator", func() {
		start(6, 2)
		run()
		aggregator := nodes[0].sharing.aggregatorOf("zone-0", time.Now())
		for _, node := range nodes {
			Eventually(remoteRunning(node, "e"), eventuallyTimeout).Should(Equal(5))
		}
		network.isolate(aggregator)
		for _, node := range nodes {
			if node.settings.Name != aggregator {
				Eventually(remoteRunning(node, "e"), eventuallyTimeout).Should(Equal(4))
			}
		}
	})

	It("reaches a node that alone cannot reach its aggregator", func() {
		start(6, 2)
		var zone []string
		for _, candidate := range nodes[0].members.candidates(loadPseudoShard) {
			if candidate.Zone == "zone-0" {
				zone = append(zone, candidate.Name)
			}
		}
		aggregator, last := zone[0], zone[len(zone)-1]
		network.cut[[2]string{last, aggregator}] = true
		run()
		for _, node := range nodes {
			Eventually(remoteRunning(node, "e"), eventuallyTimeout).Should(Equal(5), node.settings.Name)
		}
	})

	It("covers one side of a partition between zones", func() {
		start(6, 2)
		run()
		var left, right []*Node
		for _, node := range nodes {
			Eventually(remoteRunning(node, "e"), eventuallyTimeout).Should(Equal(5))
			if node.settings.Zone == "zone-0" {
				left = append(left, node)
			} else {
				right = append(right, node)
			}
		}
		network.partition(left, right)
		for _, node := range nodes {
			Eventually(remoteRunning(node, "e"), eventuallyTimeout).Should(Equal(2))
		}
	})

	It("is unknown to a node that reaches no other node of its zone", func() {
		start(6, 1)
		network.isolate("node-3")
		run()
		for _, node := range nodes {
			if node.settings.Name != "node-3" {
				Eventually(remoteRunning(node, "e"), eventuallyTimeout).Should(Equal(4))
			}
		}
		Expect(remoteRunning(nodes[3], "e")()).To(Equal(-1))
		Expect(nodes[3].runningByEngine()).To(BeEmpty(), "owners do not assign engines here")
	})

	It("covers engines that only some nodes know", func() {
		start(4, 2)
		run()
		for _, node := range nodes {
			Eventually(remoteRunning(node, "e"), eventuallyTimeout).Should(Equal(3))
		}
		nodes[1].engines.Upsert(backend.Instance{ID: "new", Service: "n"}, time.Time{})
		nodes[1].engines.Pick(&backend.Request{Service: "n"}, time.Now())
		for _, node := range nodes {
			if node.settings.Name != "node-1" {
				Eventually(remoteRunning(node, "new"), eventuallyTimeout).Should(Equal(1))
			}
		}
	})

	It("includes programs for owners only and waiting calls for all nodes", func() {
		start(3, 1)
		queue := load.QueueKey{Service: "s", Priority: 1}
		nodes[2].waitingCalls = func() map[load.QueueKey]int { return map[load.QueueKey]int{queue: 4} }
		nodes[2].programLoad = func() (map[string]load.Route, map[load.TenantPriority]int) {
			return map[string]load.Route{"r": {Service: "s", Programs: 2}}, map[load.TenantPriority]int{{Tenant: "t"}: 2}
		}
		replyTotal := func(ownsPrograms bool) load.Report {
			aggregator := nodes[0]
			request := &nodev1.ShareLoadRequest{Node: "node-2", Zone: "zone-0", OwnsPrograms: ownsPrograms, Sequence: 1, Report: toLoadReport(nodes[2].localLoad(), engineList{})}
			_, err := aggregator.sharing.handleReport(request, time.Now())
			Expect(err).NotTo(HaveOccurred())
			request.Sequence++
			reply, err := aggregator.sharing.handleReport(request, time.Now().Add(2*totalTTL))
			Expect(err).NotTo(HaveOccurred())
			message, err := decompressReport(reply.Total)
			Expect(err).NotTo(HaveOccurred())
			list, err := readEngineList(reply.List, reply.Engines)
			Expect(err).NotTo(HaveOccurred())
			return fromLoadReport(message, list)
		}
		Expect(replyTotal(true).Routes).To(HaveKey("r"))
		Expect(replyTotal(true).Tenants).To(HaveLen(1))
		Expect(replyTotal(true).Waiting).To(HaveKeyWithValue(queue, 4))
		Expect(replyTotal(false).Routes).To(BeEmpty())
		Expect(replyTotal(false).Waiting).To(HaveKeyWithValue(queue, 4))
	})

	It("includes programs for the standby owners of a shard", func() {
		start(30, 1)
		count := 0
		for _, node := range nodes {
			if node.ownsPrograms() {
				count++
			}
		}
		Expect(count).To(BeNumerically(">=", standbyOwners))
		Expect(count).To(BeNumerically("<=", 4*standbyOwners), "four shards")
	})

	It("is unknown before the nodes' records have been read", func() {
		start(2, 1)
		nodes[0].memberView = newRecordView("nodes", nodes[0].logger.Logger, func(durable.KeyedRecord) bool { return false })
		nodes[0].sharing.aggregateLocally(nodes[0].localLoad(), time.Now())
		Expect(remoteRunning(nodes[0], "e")()).To(Equal(-1), "the node would consider itself the only one")
	})

	It("does not extend the suspicion of an aggregator for concurrent failures", func() {
		start(2, 1)
		for range 3 {
			nodes[0].sharing.suspect("node-1", errPartitioned)
		}
		Expect(nodes[0].sharing.suspects.contains("node-1", time.Now().Add(2*minAggregatorSuspicion))).To(BeFalse())
	})

	It("skips nodes of older versions or with the feature disabled for longer", func() {
		start(3, 1)
		network.nodes["node-1"] = nodev1.NewNodeServer(&peerServer{node: nodes[1]}, twirp.WithServerPathPrefix("/older"))
		network.nodes["node-2"] = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			Expect(twirp.WriteError(writer, errNoLoadSharing)).To(Succeed())
		})
		sharing := nodes[0].sharing
		for _, name := range []string{"node-1", "node-2"} {
			_, err := sharing.sendReport(context.Background(), name, nodes[0].localLoad())
			Expect(err).To(HaveOccurred())
			Expect(sharing.suspects.contains(name, time.Now().Add(2*maxAggregatorSuspicion))).To(BeTrue(), name)
			Expect(sharing.failures).NotTo(HaveKey(name), "it answers")
		}
		Expect(sharing.aggregatorOf("zone-0", time.Now())).To(Equal("node-0"))
	})

	It("is not shared with the feature disabled", func() {
		start(2, 1)
		Expect(feature.Disable(string(feature.LoadSharing))).To(Succeed())
		DeferCleanup(func() { Expect(feature.Disable("")).To(Succeed()) })
		nodes[0].sharing.run(context.Background())
		_, err := (&peerServer{node: nodes[1]}).ShareLoad(context.Background(), &nodev1.ShareLoadRequest{})
		Expect(err).To(MatchError(errNoLoadSharing))
		Expect(remoteRunning(nodes[0], "e")()).To(Equal(-1))
	})

	It("is exported by service", func() {
		start(2, 1)
		nodes[0].sharing.aggregateLocally(nodes[0].localLoad(), time.Now())
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(&loadCollector{node: nodes[0]})
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		values := map[string]float64{}
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				name := family.GetName()
				for _, label := range metric.GetLabel() {
					name += "/" + label.GetValue()
				}
				values[name] = metric.GetGauge().GetValue()
			}
		}
		Expect(values).To(HaveKeyWithValue("magpielug_load_running/s", 1.0))
		Expect(values).To(HaveKeyWithValue("magpielug_load_running/t", 1.0))
		Expect(values).To(HaveKey("magpielug_load_view_age_seconds"))
	})
})
