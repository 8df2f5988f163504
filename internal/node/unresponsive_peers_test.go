package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against nodes that are lost for good being probed as often as others, and against one that returns being
// passed over for long.
func TestLostNodesAreProbedEverLessOften(t *testing.T) {
	expect := NewWithT(t)
	members := newMembers()
	members.put(Member{Name: "lost"})
	lostAt := time.Unix(1000, 0)
	peers := newUnresponsivePeers(time.Second)
	peers.recordSilence("lost", lostAt)
	var probes []time.Duration
	for after := time.Duration(0); after < time.Hour; after += 100 * time.Millisecond {
		if len(peers.due(members, lostAt.Add(after))) > 0 {
			probes = append(probes, after)
			peers.recordSilence("lost", lostAt.Add(after))
		}
	}
	expect.Expect(len(probes)).To(BeNumerically("<=", 100))
	previous := time.Duration(0)
	for _, probe := range probes {
		expect.Expect(probe - previous).To(BeNumerically("<=", max(time.Second, previous/probeDivisor)+100*time.Millisecond))
		previous = probe
	}
	expect.Expect(peers.passesOver("lost", lostAt)).To(BeTrue())
	expect.Expect(peers.recordAnswer("lost")).To(BeTrue())
	expect.Expect(peers.passesOver("lost", lostAt)).To(BeFalse())
}

// Guards against nodes that have left being probed for good.
func TestNodesThatHaveLeftAreNotProbed(t *testing.T) {
	expect := NewWithT(t)
	members := newMembers()
	members.put(Member{Name: "left", Draining: true})
	peers := newUnresponsivePeers(time.Second)
	peers.recordSilence("left", time.Unix(1000, 0))
	expect.Expect(peers.due(members, time.Unix(1001, 0))).To(BeEmpty())
	expect.Expect(peers.byName).To(BeEmpty())
}
