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

// zonedNode is a node of zone a that knows a neighbour there and a node of zone b, whose
// address is given. The store has answered nobody for long.
func zonedNode(beyond string) *Node {
	node := lonelyNode(time.Now().Add(-time.Hour))
	node.settings.Zone = "a"
	node.zones = reach.NewZones("a")
	node.engines = backend.NewDirectory()
	node.engines.SetZones(node.zones)
	node.members.put(Member{Name: "near", Address: "near", Zone: "a"})
	node.members.put(Member{Name: "far", Address: beyond, Zone: "b"})
	node.peers = newPeers(node.members, &http.Client{Transport: node.zoneTransport(http.DefaultTransport)})
	node.newViews()
	node.programs = newPrograms(node)
	return node
}

// deafListener takes connections and never answers.
func deafListener() *httptest.Server {
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
	DeferCleanup(server.Close)
	DeferCleanup(func() { close(ended) })
	return server
}

// neighbourAnswers has a node hear another one of its zone until ctx ends.
func neighbourAnswers(ctx context.Context, node *Node) {
	node.contact.note()
	go func() {
		for ctx.Err() == nil {
			node.contact.note()
			wait.Sleep(ctx, isolatedAfter/10)
		}
	}()
}

var _ = Describe("A zone that is cut off", func() {
	It("is known to its nodes though they hear each other, and they are not ready", func() {
		node := zonedNode(deafListener().Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		neighbourAnswers(ctx, node)
		Expect(node.isolated()).To(BeFalse(), "nothing was asked yet")
		go node.probeZones(ctx)
		Eventually(node.isolated, "10s").Should(BeTrue())
		node.logHealth.observe(nil)
		Expect(node.isolated()).To(BeFalse(), "the store answers")
	})

	It("is not taken for cut off while a node of another zone answers", func() {
		other := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(other.Close)
		node := zonedNode(other.Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		node.contact.note()
		go node.probeZones(ctx)
		Consistently(func() bool { return node.zoneCutOff(time.Now()) }, "1500ms").Should(BeFalse())
	})

	It("is not one whose only node is silent while its engines answer", func() {
		node := zonedNode(deafListener().Listener.Addr().String())
		node.engines.Upsert(backend.Instance{ID: "e", Service: "s", Zone: "b"}, time.Time{})
		end := func(outcome backend.Outcome) {
			node.engines.Finish(node.engines.Pick(&backend.Request{Service: "s"}, time.Now()), outcome, time.Now())
		}
		end(backend.Succeeded)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go node.probeZones(ctx)
		reached := func() bool { return node.reaches("far", time.Now()) }
		Consistently(reached, "2s").Should(BeTrue(), "an engine there has answered")
		end(backend.NoResponse)
		Eventually(reached, "10s").Should(BeFalse())
	})

	// Nodes that had just started knew no engine and did not reach the store: each zone that they
	// probed, six times a second, sent them its whole list, 0.75 MB of 3,000 engines.
	It("is probed without its nodes' records, also by a node that knows none", func() {
		probed := newReader(0)
		update := durable.Update{End: 3000}
		for offset := range update.End {
			update.Records = append(update.Records, durable.KeyedRecord{Key: strconv.FormatInt(offset, 10), Value: make([]byte, 250), Offset: offset})
		}
		probed.engineView.take(update, time.Now())
		prober := newReader(0)
		whole, err := (&peerServer{node: probed}).Learn(context.Background(), prober.learnRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Size(whole)).To(BeNumerically(">", 3000*250))
		reply, err := (&peerServer{node: probed}).Learn(context.Background(), prober.probeRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Size(reply)).To(BeNumerically("<", 100))
	})

	It("refuses a turn at once whose owner is beyond the cut, with when callers reach another zone", func() {
		node := zonedNode("beyond")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		node.ownership = ownership.NewManager(ctx, durable.NewMemory(), zap.NewNop(), ownership.Identity{Node: "self"}, 1, ownership.Dependencies{})
		node.programs.owners[0] = ownership.Owner{Node: "far", Epoch: 1}
		node.zones.RecordProbeTimeout("b", time.Now(), time.Now())
		node.zones.RecordProbeTimeout("b", time.Now(), time.Now())
		reply, elsewhere := node.programs.ask(ctx, 0, "r", &nodev1.ReserveRequest{Program: "p"})
		Expect(elsewhere).To(BeFalse(), "no other node of the zone does better")
		Expect(reply.Verdict).To(Equal(nodev1.Verdict_VERDICT_UNSURE))
		Expect(reply.RetryAfterMs).To(Equal(forward.IsolatedRetryAfter.Milliseconds()))
		node.programs.owners[0] = ownership.Owner{Node: "near", Epoch: 1}
		Expect(node.programs.cutOff(0)).To(BeNil(), "an owner in the zone is asked")
	})

	It("has its owners passed over by the other zones without waiting for them", func() {
		node := zonedNode("beyond")
		node.logHealth.observe(nil)
		Expect(node.reaches("far", time.Now())).To(BeTrue())
		node.zones.RecordProbeTimeout("b", time.Now(), time.Now())
		node.zones.RecordProbeTimeout("b", time.Now(), time.Now())
		Expect(node.reaches("far", time.Now())).To(BeFalse())
		Expect(node.reaches("near", time.Now())).To(BeTrue())
		Expect(node.zoneCutOff(time.Now())).To(BeFalse(), "the store answers this zone")
	})
})
