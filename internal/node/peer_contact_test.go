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

// newNodeLastContacted returns a node that last heard from the log and from other nodes at a given
// time and knows nodes at the given addresses.
func newNodeLastContacted(lastContact time.Time, addresses ...string) *Node {
	node := &Node{settings: Settings{Name: "self", Shards: 1}, members: newMembers(), zones: reach.NewZones("")}
	node.logger = &logging.Logger{Logger: zap.NewNop()}
	for number, address := range addresses {
		node.members.put(Member{Name: fmt.Sprint("other", number), Address: address, Incarnation: "1"})
	}
	node.followers = []*follower{{interval: func() time.Duration { return 0 }}}
	node.followers[0].lastResponse.set(lastContact)
	node.contact.last.set(lastContact)
	node.peers = newPeers(node.members, &http.Client{Transport: node.contact.transport(http.DefaultTransport)})
	node.programs = newPrograms(node)
	return node
}

var _ = Describe("A node without contact to others", func() {
	longAgo := time.Now().Add(-time.Hour)

	It("is isolated unless the log or a peer answers, or it knows no peers", func() {
		Expect(newNodeLastContacted(longAgo, "a").isolated()).To(BeTrue())
		Expect(newNodeLastContacted(longAgo).isolated()).To(BeFalse())
		answered := newNodeLastContacted(longAgo, "a")
		answered.followers[0].lastResponse.set(time.Now())
		Expect(answered.isolated()).To(BeFalse())
	})

	It("counts responses and requests of peers as contact", func() {
		other := httptest.NewServer(http.NotFoundHandler())
		defer other.Close()
		node := newNodeLastContacted(longAgo, "a")
		response, err := node.peers.http.Get(other.URL)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(node.isolated()).To(BeFalse())

		node = newNodeLastContacted(longAgo, "a")
		node.contact.handler(http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
		Expect(node.isolated()).To(BeFalse())
	})

	It("ends an owner search after two timeouts", func() {
		var contacted atomic.Int64
		done := make(chan struct{})
		DeferCleanup(func() { close(done) })
		var addresses []string
		for range 5 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			go func() {
				// Keep the connection referenced: the garbage collector would close it.
				connection, failure := listener.Accept()
				if failure == nil {
					contacted.Add(1)
					<-done
					_ = connection.Close()
				}
			}()
			addresses = append(addresses, listener.Addr().String())
		}
		node := newNodeLastContacted(time.Now(), addresses...)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		node.ownership = ownership.NewManager(ctx, durable.NewMemory(), zap.NewNop(), ownership.Identity{Node: "self"}, 1, ownership.Dependencies{})
		_, tryOtherNode := node.programs.reserveAtOwner(ctx, 0, "r", &nodev1.ReserveRequest{Program: "p"})
		Expect(tryOtherNode).To(BeTrue())
		Eventually(contacted.Load).Should(BeEquivalentTo(2))
	})
})
