package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// beginAtAll records the origins of streams that the nodes of a fleet begin in turn.
func (fleet *durableFleet) beginAtAll(streams int) {
	for number := range streams {
		begin(fleet.nodes[number%durableFleetNodes], number)
	}
}

// Guards against streams that no node can take up once all nodes are lost.
func TestStreamOriginsOutliveAllNodes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 300
		fleet := newDurableFleet(t)
		fleet.beginAtAll(streams)
		time.Sleep(2*originInterval + 100*time.Millisecond)
		fleet.restart(t)
		found, slowest := countFound(fleet.nodes[7], streams)
		NewWithT(t).Expect(found).To(Equal(streams))
		NewWithT(t).Expect(slowest).To(BeNumerically("<=", findOriginTimeout))
		fleet.restart(t)
		found, _ = countFound(fleet.nodes[2], streams)
		NewWithT(t).Expect(found).To(Equal(streams))
	})
}

// Guards against a zone's relay that does not respond keeping origins from the log, and from those who ask.
func TestStreamOriginsAreRecordedWhereRelaysAreFrozen(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 60
		fleet := newDurableFleet(t)
		freezeRelay := func() string {
			relay := fleet.nodes[0].members.relayOf("zone-1", time.Now(), newSuspects())
			fleet.freeze(relay)
			return relay
		}
		frozen := freezeRelay()
		for number := range streams {
			begin(fleet.nodes[1], number) // A node of zone-1.
			if fleet.nodes[1].settings.Name == frozen {
				begin(fleet.nodes[5], number)
			}
		}
		time.Sleep(4 * originInterval)
		fleet.restart(t)
		frozen = freezeRelay()
		asking := fleet.nodes[1]
		if asking.settings.Name == frozen {
			asking = fleet.nodes[5]
		}
		found, slowest := countFound(asking, streams)
		NewWithT(t).Expect(found).To(Equal(streams))
		NewWithT(t).Expect(slowest).To(BeNumerically("<=", findOriginTimeout+recallTimeout))
	})
}

// freezeRelays freezes the first candidates for the relay of the only zone, and returns the last candidate.
func (fleet *durableFleet) freezeRelays(count int) *Node {
	order := fleet.nodes[0].members.candidates(loadPseudoShard)
	for _, member := range order[:count] {
		fleet.freeze(member.Name)
	}
	last := order[len(order)-1].Name
	return fleet.nodes[slices.IndexFunc(fleet.nodes, func(node *Node) bool { return node.settings.Name == last })]
}

// Guards against streams that cannot be taken up while several candidates for a zone's relay are lost, since
// they were not recorded or are not found.
func TestStreamOriginsAreRecordedAndFoundWhereSeveralRelaysAreLost(t *testing.T) {
	const streams = 20
	for _, lost := range []int{1, 2, 3, 6, 11} {
		t.Run(fmt.Sprintf("found with %d of 12 lost", lost), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet := newDurableFleetIn(t, 1)
				fleet.beginAtAll(streams)
				time.Sleep(2*originInterval + 100*time.Millisecond)
				fleet.restart(t)
				asking := fleet.freezeRelays(lost)
				for number := range streams {
					began := time.Now()
					NewWithT(t).Expect(finds(asking, number)).To(BeTrue(), "stream %d", number)
					NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<=", findOriginTimeout+2*recallTimeout))
					time.Sleep(time.Second)
				}
			})
		})
		t.Run(fmt.Sprintf("recorded with %d of 12 lost", lost), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet := newDurableFleetIn(t, 1)
				beginning := fleet.freezeRelays(lost)
				for number := range streams {
					begin(beginning, number)
					time.Sleep(time.Second)
				}
				fleet.restart(t)
				found, _ := countFound(fleet.nodes[1], streams)
				NewWithT(t).Expect(found).To(Equal(streams))
			})
		})
	}
}

// Guards against origins of streams that began while the log was away never being recorded.
func TestStreamOriginsAreRecordedOnceTheLogIsBack(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 100
		fleet := newDurableFleet(t)
		fleet.away.Store(true)
		fleet.beginAtAll(streams)
		time.Sleep(5 * time.Second)
		fleet.away.Store(false)
		time.Sleep(2 * originInterval)
		fleet.restart(t)
		found, _ := countFound(fleet.nodes[3], streams)
		NewWithT(t).Expect(found).To(Equal(streams))
		fleet.away.Store(true)
		fleet.beginAtAll(streams)
		time.Sleep(2 * originRetryPeriod)
		appends := fleet.appends.Load()
		time.Sleep(originRetryPeriod)
		NewWithT(t).Expect(fleet.appends.Load()).To(Equal(appends), "appends are not tried forever")
	})
}

// Guards against calls of the log that grow with the number of streams or nodes.
func TestStreamOriginsAreRecordedInFewAppends(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const duration = 10 * time.Second
		fleet := newDurableFleet(t)
		before := fleet.appends.Load()
		for number := range 2000 {
			begin(fleet.nodes[number%durableFleetNodes], number)
			time.Sleep(duration / 2000)
		}
		NewWithT(t).Expect(fleet.appends.Load() - before).To(BeNumerically("<=", durableFleetZones*int64(duration/originInterval+2)))
	})
}

// Guards against each resumption of an unknown stream reading the log.
func TestUnknownStreamsReadTheLogRarely(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		before := fleet.calls.Load()
		started := time.Now()
		for number := range 100 {
			NewWithT(t).Expect(finds(fleet.nodes[number%durableFleetNodes], number)).To(BeFalse())
		}
		const callsPerRead = 2
		reads := durableFleetZones * (int64(time.Since(started)/recallInterval) + 1)
		NewWithT(t).Expect(fleet.calls.Load() - before).To(BeNumerically("<=", callsPerRead*reads))
	})
}
