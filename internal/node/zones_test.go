package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/reach"
	"github.com/magpielug/magpielug/internal/wait"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// newZonedNode returns a node in zone a that knows a peer there and one in zone b at the given
// address. The log has been unresponsive for a long time.
func newZonedNode(remoteAddress string) *Node {
	node := newNodeLastContacted(time.Now().Add(-time.Hour))
	node.settings.Zone = "a"
	node.zones = reach.NewZones("a")
	node.engines = backend.NewDirectory()
	node.engines.SetZones(node.zones)
	node.members.put(Member{Name: "near", Address: "near", Zone: "a"})
	node.members.put(Member{Name: "far", Address: remoteAddress, Zone: "b"})
	node.peers = newPeers(node.members, &http.Client{Transport: node.zoneTransport(http.DefaultTransport)})
	node.createViews()
	node.programs = newPrograms(node)
	return node
}

// newUnresponsiveServer returns a server that accepts connections and never answers.
func newUnresponsiveServer() *httptest.Server {
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-done }))
	DeferCleanup(server.Close)
	DeferCleanup(func() { close(done) })
	return server
}

// simulatePeerContact records contact with a peer until ctx ends.
func simulatePeerContact(ctx context.Context, node *Node) {
	node.contact.record()
	go func() {
		for ctx.Err() == nil {
			node.contact.record()
			wait.Sleep(ctx, isolatedAfter/10)
		}
	}()
}

var _ = Describe("An isolated zone", func() {
	It("makes its nodes isolated even while they reach each other", func() {
		node := newZonedNode(newUnresponsiveServer().Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		simulatePeerContact(ctx, node)
		Expect(node.isolated()).To(BeFalse(), "no probe was sent yet")
		go node.probeZones(ctx)
		Eventually(node.isolated, "10s").Should(BeTrue())
		node.logHealth.observe(durable.OperationRead, 0, nil)
		Expect(node.isolated()).To(BeFalse(), "the log answers")
	})

	It("is not assumed while a node of another zone answers", func() {
		other := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(other.Close)
		node := newZonedNode(other.Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		node.contact.record()
		go node.probeZones(ctx)
		Consistently(func() bool { return node.zoneIsolated(time.Now()) }, "1500ms").Should(BeFalse())
	})

	It("is not assumed if a zone's only node is unresponsive while its engines answer", func() {
		node := newZonedNode(newUnresponsiveServer().Listener.Addr().String())
		node.engines.Upsert(backend.Instance{ID: "e", Service: "s", Zone: "b"}, time.Time{})
		finishRequest := func(outcome backend.Outcome) {
			node.engines.Finish(node.engines.Pick(&backend.Request{Service: "s"}, time.Now()), outcome, time.Now())
		}
		finishRequest(backend.Succeeded)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go node.probeZones(ctx)
		reachable := func() bool { return node.nodeReachable("far", time.Now()) }
		Consistently(reachable, "2s").Should(BeTrue(), "an engine there has answered")
		finishRequest(backend.NoResponse)
		Eventually(reachable, "10s").Should(BeFalse())
	})

	// Guards against probes that transfer the full engine list, from every probed zone on every
	// probe.
	It("is probed without transferring records", func() {
		probed := newLogReader(0)
		update := durable.Update{EndOffset: 3000}
		for offset := range update.EndOffset {
			update.Records = append(update.Records, durable.KeyedRecord{Key: strconv.FormatInt(offset, 10), Value: make([]byte, 250), Offset: offset})
		}
		probed.engineView.merge(update, time.Now())
		prober := newLogReader(0)
		fullReply, err := (&peerServer{node: probed}).Learn(context.Background(), prober.learnRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Size(fullReply)).To(BeNumerically(">", 3000*250))
		reply, err := (&peerServer{node: probed}).Learn(context.Background(), prober.probeRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Size(reply)).To(BeNumerically("<", 100))
	})

	It("refuses a turn with an unreachable owner at once, with a retry delay", func() {
		node := newZonedNode("beyond")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		node.ownership = ownership.NewManager(ctx, durable.NewMemory(), zap.NewNop(), ownership.Identity{Node: "self"}, 1, ownership.Dependencies{})
		node.programs.owners[0] = ownership.Owner{Node: "far", Epoch: 1}
		node.zones.RecordProbeTimeout("b", time.Now(), time.Now())
		node.zones.RecordProbeTimeout("b", time.Now(), time.Now())
		reply, tryOtherNode := node.programs.reserveAtOwner(ctx, 0, "r", &nodev1.ReserveRequest{Program: "p"})
		Expect(tryOtherNode).To(BeFalse(), "other nodes of the zone are isolated too")
		Expect(reply.Verdict).To(Equal(nodev1.Verdict_VERDICT_UNSURE))
		Expect(reply.RetryAfterMs).To(Equal(forward.IsolatedRetryAfter.Milliseconds()))
		node.programs.owners[0] = ownership.Owner{Node: "near", Epoch: 1}
		Expect(node.programs.isolationRefusal(0)).To(BeNil(), "an owner in the same zone is reachable")
	})

	It("has its nodes skipped by the other zones without waiting", func() {
		node := newZonedNode("beyond")
		node.logHealth.observe(durable.OperationRead, 0, nil)
		Expect(node.nodeReachable("far", time.Now())).To(BeTrue())
		node.zones.RecordProbeTimeout("b", time.Now(), time.Now())
		node.zones.RecordProbeTimeout("b", time.Now(), time.Now())
		Expect(node.nodeReachable("far", time.Now())).To(BeFalse())
		Expect(node.nodeReachable("near", time.Now())).To(BeTrue())
		Expect(node.zoneIsolated(time.Now())).To(BeFalse(), "the log answers this zone")
	})
})
