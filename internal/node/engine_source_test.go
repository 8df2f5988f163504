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

// readerZone is a zone of 24 nodes with three log readers, of which the first two may be served.
type readerZone struct {
	members *members
	readers []Member
}

func newReaderZone(first, second *Node) *readerZone {
	zone := &readerZone{members: newMembers()}
	for number := range 3 * nodesPerReader {
		zone.members.put(Member{Name: "node-" + strconv.Itoa(number), Zone: "zone", Capacity: 800, Address: unusedAddress})
	}
	zone.readers = zone.members.logReaders("zone")
	for index, served := range []*Node{first, second} {
		if served == nil {
			continue
		}
		zone.serve(zone.readers[index], served)
	}
	zone.readers = zone.members.logReaders("zone")
	return zone
}

// serve lets a node answer for a member.
func (zone *readerZone) serve(member Member, served *Node) {
	server := httptest.NewServer(nodev1.NewNodeServer(&peerServer{node: served}))
	DeferCleanup(server.Close)
	member.Address = server.Listener.Addr().String()
	zone.members.put(member)
}

// unusedAddress has no listener.
const unusedAddress = "127.0.0.1:1"

// member returns a node of the zone.
func (zone *readerZone) member(self Member) *Node {
	node := newLogReader(0)
	node.members = zone.members
	node.settings = Settings{Name: self.Name, Zone: self.Zone}
	node.logger = &logging.Logger{Logger: zap.NewNop()}
	node.peers = newPeers(zone.members, http.DefaultClient)
	return node
}

// newCurrentReader and newStaleReader return readers with a current and an outdated engine list.
func newCurrentReader() *Node { return newLogReader(0) }
func newStaleReader() *Node {
	node := newLogReader(0)
	node.engineView.confirmedAt.set(time.Now().Add(-time.Minute))
	return node
}

// Guards against readers that all fall back to reading the log when the reader before them is not
// current, which saturates a slow link.
var _ = Describe("The engine records of a zone", func() {
	// readsLog reports whether a member has to read the log after a refresh.
	readsLog := func(member *Node) bool {
		member.learner.engineSource.refresh(context.Background(), time.Now())
		return !member.learner.engineSource.skipsLog()
	}

	It("are read from the log by the first reader and passed on to the others", func() {
		zone := newReaderZone(newCurrentReader(), nil)
		Expect(readsLog(zone.member(zone.readers[0]))).To(BeTrue())
		Expect(readsLog(zone.member(zone.readers[1]))).To(BeFalse())
		Expect(readsLog(zone.member(zone.readers[2]))).To(BeFalse())
	})

	It("are read by the second reader, and no other, while the first is not current", func() {
		zone := newReaderZone(newStaleReader(), newCurrentReader())
		Expect(readsLog(zone.member(zone.readers[1]))).To(BeTrue())
		Expect(readsLog(zone.member(zone.readers[2]))).To(BeFalse())
	})

	It("are not read by further nodes before their lists are too old if no source is current", func() {
		zone := newReaderZone(newStaleReader(), newStaleReader())
		further := zone.member(zone.members.logReaderCandidates("zone")[maxSources+firstGroupSize])
		further.engineView.confirmedAt.set(time.Now().Add(-maxCurrentAge))
		Expect(readsLog(further)).To(BeFalse())
		Expect(readsLog(further)).To(BeFalse())
		further.engineView.confirmedAt.set(time.Now().Add(-further.learner.engineSource.maxListAge()))
		Expect(readsLog(further)).To(BeTrue())
	})

	// Guards against a node of a large zone that believes a list for longer than an engine serves on.
	It("are read by every node before its list is as old as the engines' drain time", func() {
		zone := newReaderZone(newStaleReader(), newStaleReader())
		byAge := map[time.Duration]int{}
		for _, candidate := range zone.members.logReaderCandidates("zone")[maxSources:] {
			member := zone.member(candidate)
			member.settings.EngineDrainTime = 3 * time.Second
			byAge[member.learner.engineSource.maxListAge()]++
		}
		Expect(byAge).To(Equal(map[time.Duration]int{1350 * time.Millisecond: 2, 1700 * time.Millisecond: 4, 2050 * time.Millisecond: 8, 2400 * time.Millisecond: 8}))
	})

	// Guards against requests to engines that leave while both readers of a zone are cut off from the log.
	It("are read by the first group at once if no source is current, and passed on to the others", func() {
		zone := newReaderZone(newStaleReader(), newStaleReader())
		candidates := zone.members.logReaderCandidates("zone")
		firstGroup := candidates[maxSources : maxSources+firstGroupSize]
		for _, member := range firstGroup {
			first := zone.member(member)
			first.engineView.confirmedAt.set(time.Now().Add(-maxCurrentAge))
			Expect(readsLog(first)).To(BeTrue())
		}
		zone.serve(firstGroup[1], newCurrentReader())
		further := zone.member(candidates[maxSources+firstGroupSize])
		further.engineView.confirmedAt.set(time.Now().Add(-time.Minute))
		Expect(readsLog(further)).To(BeFalse())
		Expect(further.learner.engineSource.readsItself).To(BeFalse())
		Expect(further.learner.engineSource.currentSource.Name).To(Equal(firstGroup[1].Name))
	})

	It("are read by a node that reaches neither source", func() {
		zone := newReaderZone(nil, nil)
		Expect(readsLog(zone.member(zone.readers[2]))).To(BeTrue())
	})

	It("are not read by a newly started node with sources before firstListTimeout", func() {
		zone := newReaderZone(newCurrentReader(), newCurrentReader())
		started := zone.member(zone.readers[2])
		started.engineView = newRecordView("engines", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		started.learner.started = time.Now()
		Expect(started.learner.engineSource.skipsLog()).To(BeTrue())
		started.memberView.merge(durable.Update{EndOffset: 1}, time.Now())
		Expect(started.learner.engineSource.skipsLog()).To(BeTrue())
		first := zone.member(zone.readers[0])
		first.engineView = newRecordView("engines", zap.NewNop(), func(durable.KeyedRecord) bool { return false })
		first.learner.started = time.Now()
		first.memberView.merge(durable.Update{EndOffset: 1}, time.Now())
		Expect(first.learner.engineSource.skipsLog()).To(BeFalse())
		started.learner.started = time.Now().Add(-firstListTimeout)
		Expect(started.learner.engineSource.skipsLog()).To(BeFalse())
	})
})
