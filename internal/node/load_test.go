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
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// network carries calls between nodes of one process, without sockets.
type network struct {
	mutex sync.Mutex
	nodes map[string]http.Handler
	// cut holds pairs of nodes, caller first, between which nothing passes.
	cut map[[2]string]bool
}

var errCut = errors.New("nothing passes")

// clientOf returns the client of one node.
func (network *network) clientOf(name string) *http.Client {
	return &http.Client{Transport: roundTrip(func(request *http.Request) (*http.Response, error) {
		network.mutex.Lock()
		handler := network.nodes[request.URL.Host]
		cut := network.cut[[2]string{name, request.URL.Host}]
		network.mutex.Unlock()
		if cut || handler == nil {
			return nil, errCut
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder.Result(), nil
	})}
}

// lose cuts a node off from all.
func (network *network) lose(name string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for other := range network.nodes {
		network.cut[[2]string{name, other}] = true
		network.cut[[2]string{other, name}] = true
	}
}

// cutBetween lets nothing pass between two groups of nodes.
func (network *network) cutBetween(some, others []*Node) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, one := range some {
		for _, other := range others {
			network.cut[[2]string{one.settings.Name, other.settings.Name}] = true
			network.cut[[2]string{other.settings.Name, one.settings.Name}] = true
		}
	}
}

var _ = Describe("Load shared between nodes", func() {
	var lines *network
	var nodes []*Node

	// start makes nodes of a number of zones, each with one request under way at engine e
	// and one at an engine of its own.
	start := func(count, zones int) {
		logger, err := logging.New("error", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		lines = &network{nodes: map[string]http.Handler{}, cut: map[[2]string]bool{}}
		nodes = nil
		for number := range count {
			name := "node-" + strconv.Itoa(number)
			node := &Node{settings: Settings{Name: name, Zone: "zone-" + strconv.Itoa(number%zones), Shards: 4}, members: newMembers(), meter: newMeter(),
				logger: logger.Bounded(), engines: backend.NewDirectory(), load: load.NewView(),
				ownership: ownership.NewManager(context.Background(), nil, logger.Logger, ownership.Identity{}, 4, ownership.Around{})}
			node.peers = newPeers(node.members, lines.clientOf(name))
			node.sharing = newLoadSharing(node)
			for engine := range count {
				node.engines.Put(backend.Instance{ID: "engine-" + strconv.Itoa(engine), Service: "s"})
			}
			node.engines.Put(backend.Instance{ID: "e", Service: "t"})
			node.engines.Pick(&backend.Request{Service: "t"}, time.Now())
			node.engines.Pick(&backend.Request{Service: "s", Assigned: "engine-" + strconv.Itoa(number)}, time.Now())
			lines.nodes[name] = nodev1.NewNodeServer(&peerServer{node: node})
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

	othersAt := func(node *Node, engine string) func() int {
		return func() int {
			others, known := node.load.Others(engine, time.Now())
			if !known {
				return -1
			}
			return others.Running
		}
	}

	const patience = 5 * time.Second

	It("comes to every node from all zones", func() {
		start(7, 2)
		run()
		for _, node := range nodes {
			Eventually(othersAt(node, "e"), patience).Should(Equal(6))
			Expect(othersAt(node, "engine-3")()).To(Equal(map[bool]int{true: 0, false: 1}[node.settings.Name == "node-3"]))
		}
	})

	It("goes on where a gatherer is lost", func() {
		start(6, 2)
		run()
		lost := nodes[0].sharing.gathererOf("zone-0", time.Now())
		for _, node := range nodes {
			Eventually(othersAt(node, "e"), patience).Should(Equal(5))
		}
		lines.lose(lost)
		for _, node := range nodes {
			if node.settings.Name != lost {
				Eventually(othersAt(node, "e"), patience).Should(Equal(4))
			}
		}
	})
})
