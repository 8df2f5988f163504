package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/reach"
)

// lonelyNode returns a node that heard neither the store nor other nodes since a
// time, of which it knows the given addresses.
func lonelyNode(heard time.Time, addresses ...string) *Node {
	node := &Node{settings: Settings{Name: "self", Shards: 1}, members: newMembers(), zones: reach.NewZones("")}
	node.logger = &logging.Logger{Logger: zap.NewNop()}
	for number, address := range addresses {
		node.members.put(Member{Name: fmt.Sprint("other", number), Address: address, Incarnation: "1"})
	}
	node.following = []*follower{{pause: func() time.Duration { return 0 }}}
	node.following[0].lastAnswer.set(heard)
	node.contact.heard.set(heard)
	node.peers = newPeers(node.members, &http.Client{Transport: node.contact.transport(http.DefaultTransport)})
	node.programs = newPrograms(node)
	return node
}

var _ = Describe("A node that hears nobody", func() {
	longAgo := time.Now().Add(-time.Hour)

	It("is cut off, unless the store or another node answers, or it knows of none", func() {
		Expect(lonelyNode(longAgo, "a").isolated()).To(BeTrue())
		Expect(lonelyNode(longAgo).isolated()).To(BeFalse())
		answered := lonelyNode(longAgo, "a")
		answered.following[0].lastAnswer.set(time.Now())
		Expect(answered.isolated()).To(BeFalse())
	})

	It("hears another node by its answers and by its calls", func() {
		other := httptest.NewServer(http.NotFoundHandler())
		defer other.Close()
		node := lonelyNode(longAgo, "a")
		response, err := node.peers.http.Get(other.URL)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(node.isolated()).To(BeFalse())

		node = lonelyNode(longAgo, "a")
		node.contact.handler(http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
		Expect(node.isolated()).To(BeFalse())
	})

	It("ends its search for an owner after two nodes that let their time pass", func() {
		var asked atomic.Int64
		ended := make(chan struct{})
		DeferCleanup(func() { close(ended) })
		var addresses []string
		for range 5 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			go func() {
				// Held until the end: an unused connection is closed with the garbage.
				connection, failure := listener.Accept()
				if failure == nil {
					asked.Add(1)
					<-ended
					_ = connection.Close()
				}
			}()
			addresses = append(addresses, listener.Addr().String())
		}
		node := lonelyNode(time.Now(), addresses...)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		node.ownership = ownership.NewManager(ctx, durable.NewMemory(), zap.NewNop(), ownership.Identity{Node: "self"}, 1, ownership.Dependencies{})
		_, elsewhere := node.programs.ask(ctx, 0, "r", &nodev1.ReserveRequest{Program: "p"})
		Expect(elsewhere).To(BeTrue())
		Eventually(asked.Load).Should(BeEquivalentTo(2))
	})
})
