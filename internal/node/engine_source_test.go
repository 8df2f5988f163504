package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// zoneOfReaders is a zone of 24 nodes: three of them are readers, the first two of which are
// served, or named by a dead address.
type zoneOfReaders struct {
	members *members
	readers []Member
}

func newZoneOfReaders(first, second *Node) *zoneOfReaders {
	zone := &zoneOfReaders{members: newMembers()}
	for number := range 3 * nodesPerReader {
		zone.members.put(Member{Name: "node-" + strconv.Itoa(number), Zone: "zone", Capacity: 800, Address: deadAddress})
	}
	zone.readers = zone.members.readersOf("zone")
	for place, served := range []*Node{first, second} {
		if served == nil {
			continue
		}
		server := httptest.NewServer(nodev1.NewNodeServer(&peerServer{node: served}))
		DeferCleanup(server.Close)
		reader := zone.readers[place]
		reader.Address = server.Listener.Addr().String()
		zone.members.put(reader)
	}
	zone.readers = zone.members.readersOf("zone")
	return zone
}

// deadAddress is one that nobody listens on.
const deadAddress = "127.0.0.1:1"

// member is a node of the zone.
func (zone *zoneOfReaders) member(self Member) *Node {
	node := newReader(0)
	node.members = zone.members
	node.settings = Settings{Name: self.Name, Zone: self.Zone}
	node.logger = &logging.Logger{Logger: zap.NewNop()}
	node.peers = newPeers(zone.members, http.DefaultClient)
	return node
}

// current and stale are readers whose list of engines is new, or too old to rely on.
func current() *Node { return newReader(0) }
func stale() *Node {
	node := newReader(0)
	node.engineView.checked.set(time.Now().Add(-time.Minute))
	return node
}

// Readers that found the one before them not current read the store themselves: on a full link
// 17 nodes read 6 MB a second instead of three, and nobody was current any more.
var _ = Describe("The engines of a node", func() {
	// reads tells whether a member has to read the store after an ask.
	reads := func(member *Node) bool {
		member.learner.engines.ask(context.Background(), time.Now())
		return !member.learner.engines.sparesStore()
	}

	It("are read by the zone's first reader, and told to the others", func() {
		zone := newZoneOfReaders(current(), nil)
		Expect(reads(zone.member(zone.readers[0]))).To(BeTrue())
		Expect(reads(zone.member(zone.readers[1]))).To(BeFalse())
		Expect(reads(zone.member(zone.readers[2]))).To(BeFalse())
	})

	It("are read by the second reader too while the first is not current, and by no other", func() {
		zone := newZoneOfReaders(stale(), current())
		Expect(reads(zone.member(zone.readers[1]))).To(BeTrue())
		Expect(reads(zone.member(zone.readers[2]))).To(BeFalse())
	})

	It("are not read by the others for a while where neither is current: they are held up by what holds up all", func() {
		zone := newZoneOfReaders(stale(), stale())
		third := zone.member(zone.readers[2])
		Expect(reads(third)).To(BeFalse())
		Expect(reads(third)).To(BeFalse())
		third.learner.engines.staleSince = time.Now().Add(-stalePatience)
		Expect(reads(third)).To(BeTrue())
	})

	It("are read by a node that reaches neither", func() {
		zone := newZoneOfReaders(nil, nil)
		Expect(reads(zone.member(zone.readers[2]))).To(BeTrue())
	})

	It("are not read by a node that has just started and knows its sources, and not before it knows the nodes", func() {
		zone := newZoneOfReaders(current(), current())
		started := zone.member(zone.readers[2])
		started.engineView = newRecordView("engines", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		started.learner.started = time.Now()
		Expect(started.learner.engines.sparesStore()).To(BeTrue())
		started.memberView.take(durable.Update{End: 1}, time.Now())
		Expect(started.learner.engines.sparesStore()).To(BeTrue())
		first := zone.member(zone.readers[0])
		first.engineView = newRecordView("engines", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		first.learner.started = time.Now()
		first.memberView.take(durable.Update{End: 1}, time.Now())
		Expect(first.learner.engines.sparesStore()).To(BeFalse())
		started.learner.started = time.Now().Add(-startPatience)
		Expect(started.learner.engines.sparesStore()).To(BeFalse())
	})
})
