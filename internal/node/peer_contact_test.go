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
		silent := newSilentPeers(5)
		node := newSearchingNode(time.Now(), silent.addresses)
		_, tryOtherNode := node.programs.reserveAtOwner(context.Background(), 0, "r", &nodev1.ReserveRequest{Program: "p"})
		Expect(tryOtherNode).To(BeTrue())
		Eventually(silent.contacted.Load).Should(BeEquivalentTo(2))
	})

	It("comes to the only node left in a few owner searches", func() {
		silent := newSilentPeers(5)
		node := newSearchingNode(time.Now(), append(silent.addresses, "self"))
		target := ""
		for range silent.count() {
			_, _ = node.programs.reserveAtOwner(context.Background(), 0, "r", &nodev1.ReserveRequest{Program: "p"})
			time.Sleep(ownerSuspicion)
			target, _ = node.programs.nextTarget(0, map[string]bool{})
			if target == nameOfLast {
				break
			}
		}
		Expect(target).To(Equal(nameOfLast))

		node.contact.record()
		target, _ = node.programs.nextTarget(0, map[string]bool{})
		Expect(target).NotTo(Equal(nameOfLast), "others may answer again")
	})
})

// Guards against programs that no node serves where the first nodes for their shard are lost for good.
var _ = Describe("A node in contact with others", func() {
	It("goes on with an owner search after two timeouts, and asks the silent nodes last for a while", func() {
		silent := newSilentPeers(2)
		var asked atomic.Int64
		last := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			writer.WriteHeader(http.StatusNotFound)
		}))
		DeferCleanup(last.Close)
		node := newSearchingNode(time.Now().Add(-time.Hour), append(silent.addresses, last.Listener.Addr().String()))
		inContact, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		node.contact.record()
		go func() {
			for inContact.Err() == nil {
				node.contact.record()
				time.Sleep(10 * time.Millisecond)
			}
		}()
		_, tryOtherNode := node.programs.reserveAtOwner(context.Background(), 0, "r", &nodev1.ReserveRequest{Program: "p"})
		Expect(tryOtherNode).To(BeFalse())
		Expect(asked.Load()).To(BeNumerically(">", 0))
		Expect(silent.contacted.Load()).To(BeEquivalentTo(2))
		time.Sleep(ownerSuspicion)
		target, _ := node.programs.nextTarget(0, map[string]bool{})
		Expect(target).To(Equal(nameOfLast))
	})
})

// nameOfLast is the last candidate in newSearchingNode.
const nameOfLast = "last"

// newSearchingNode is newNodeLastContacted with one shard. The other nodes are its candidates in the order of
// their addresses.
func newSearchingNode(lastContact time.Time, addresses []string) *Node {
	node := newNodeLastContacted(lastContact)
	var candidates []Member
	for number, address := range addresses {
		member := Member{Name: fmt.Sprint("other", number), Address: address, Incarnation: "1"}
		if number == len(addresses)-1 {
			member.Name = nameOfLast
		}
		node.members.put(member)
		candidates = append(candidates, member)
	}
	node.members.candidatesByShard[0] = candidates
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	node.ownership = ownership.NewManager(ctx, durable.NewMemory(), zap.NewNop(), ownership.Identity{Node: "self"}, 1, ownership.Dependencies{})
	return node
}

// silentPeers accept connections and answer nothing.
type silentPeers struct {
	addresses []string
	contacted atomic.Int64
}

func newSilentPeers(count int) *silentPeers {
	peers := &silentPeers{}
	done := make(chan struct{})
	DeferCleanup(func() { close(done) })
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			// Keep the connection referenced: the garbage collector would close it.
			connection, failure := listener.Accept()
			if failure == nil {
				peers.contacted.Add(1)
				<-done
				_ = connection.Close()
			}
		}()
		peers.addresses = append(peers.addresses, listener.Addr().String())
	}
	return peers
}

func (peers *silentPeers) count() int { return len(peers.addresses) }
