package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magpielug/magpielug/internal/streamversion"
	. "github.com/onsi/gomega"
)

var firstVersion = streamversion.Origin{Service: "models", Version: "v1"}

func streamKey(number int) streamversion.Key {
	return streamversion.NewKey("tenant", fmt.Sprint("attempt-", number))
}

// finds reports whether a node finds the origin of a stream.
func finds(node *Node, number int) bool {
	origin, known := node.origins.Find(context.Background(), streamKey(number), firstVersion.Service)
	return known && origin == firstVersion
}

// begin records the origin of a stream at the node that runs it.
func begin(node *Node, number int) {
	node.origins.Began(streamversion.Record{Key: streamKey(number), Origin: firstVersion})
}

// countFound returns how many of a number of streams a node finds, and the longest time that took.
func countFound(node *Node, streams int) (found int, slowest time.Duration) {
	for number := range streams {
		began := time.Now()
		if finds(node, number) {
			found++
		}
		slowest = max(slowest, time.Since(began))
	}
	return found, slowest
}

// Guards against a stream that is unknown once the node and the zone that began it are lost.
func TestStreamOriginsOutliveTheZoneThatBeganThem(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 60
		fleet := newLossFleet(t, 60, 4)
		for number := range streams {
			begin(fleet.nodes[4*(number%15)], number) // Nodes of zone-0.
		}
		time.Sleep(20 * time.Millisecond)
		for _, node := range fleet.nodes {
			if node.settings.Zone == "zone-0" {
				fleet.freeze(node.settings.Name)
			}
		}
		found, slowest := countFound(fleet.nodes[1], streams)
		NewWithT(t).Expect(found).To(Equal(streams))
		NewWithT(t).Expect(slowest).To(BeNumerically("<=", secondRoundDelay))
	})
}

// Guards against a keeper that does not respond taking a copy's place.
func TestStreamOriginsAreKeptByOtherNodesWhereKeepersAreFrozen(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 40
		fleet := newLossFleet(t, 40, 4)
		for number := 20; number < 40; number++ {
			fleet.freeze(fleet.nodes[number].settings.Name)
		}
		for number := range streams {
			begin(fleet.nodes[0], number)
		}
		time.Sleep(time.Second)
		fleet.freeze(fleet.nodes[0].settings.Name)
		found, slowest := countFound(fleet.nodes[1], streams)
		NewWithT(t).Expect(found).To(Equal(streams))
		NewWithT(t).Expect(slowest).To(BeNumerically("<=", findOriginTimeout))
	})
}

// Guards against nodes that are lost and start again one after another taking all copies of an origin.
func TestStreamOriginsOutliveAllNodesRestartedInTurn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 60
		fleet := newLossFleet(t, 12, 3)
		for number := range streams {
			begin(fleet.nodes[number%12], number)
		}
		time.Sleep(100 * time.Millisecond)
		for _, restarted := range fleet.nodes {
			synctest.Wait()
			restarted.origins.table = streamversion.NewTable(time.Now())
			for _, other := range fleet.nodes {
				if other != restarted {
					other.origins.refill(restarted.self())
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		found, _ := countFound(fleet.nodes[0], streams)
		NewWithT(t).Expect(found).To(Equal(streams))
	})
}

// Guards against a stream that is begun before its node knows others, which is lost with it.
func TestStreamOriginsReachNodesThatBecomeKnownLater(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 12, 3)
		late := fleet.newNode(t, 12, 3)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go late.origins.run(ctx)
		begin(late, 0)
		time.Sleep(500 * time.Millisecond)
		for _, other := range fleet.nodes {
			late.members.put(other.self())
			other.members.put(late.self())
		}
		time.Sleep(2*incompleteInterval + 50*time.Millisecond)
		fleet.freeze(late.settings.Name)
		NewWithT(t).Expect(finds(fleet.nodes[1], 0)).To(BeTrue())
	})
}

// Guards against an unknown stream being taken for a known one, and against a search without an end.
func TestUnknownStreamsAreNotFound(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 12, 3)
		for number := 3; number < 12; number++ {
			fleet.freeze(fleet.nodes[number].settings.Name)
		}
		began := time.Now()
		NewWithT(t).Expect(finds(fleet.nodes[0], 0)).To(BeFalse())
		NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<=", findOriginTimeout))
	})
}

// Shows what a stream costs at the target size: three messages, and none for nodes beyond that.
func TestStreamOriginsAtTheTargetSize(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 390
		fleet := newLossFleet(t, 390, 6)
		for number := range streams {
			begin(fleet.nodes[number], number)
		}
		time.Sleep(time.Second)
		messages, bytes := fleet.messages.Load(), fleet.bytes.Load()
		t.Logf("%d streams: %d messages, %d bytes without headers", streams, messages, bytes)
		NewWithT(t).Expect(messages).To(BeNumerically("<=", streamversion.Copies*streams))
		found, slowest := countFound(fleet.nodes[7], streams)
		asked := fleet.messages.Load() - messages
		t.Logf("%d found, slowest after %s, %d messages", found, slowest, asked)
		NewWithT(t).Expect(found).To(Equal(streams))
	})
}

// Guards against an origin being out of reach because its only keeper did not respond once, or leaves.
func TestSuspectedAndDrainingKeepersAreAsked(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 12, 3)
		fleet.nodes[5].origins.table.Put(streamversion.Record{Key: streamKey(0), Origin: firstVersion}, time.Now())
		for number, node := range fleet.nodes {
			if number%3 == 2 && number != 5 {
				fleet.freeze(node.settings.Name)
			}
		}
		searching := fleet.nodes[0]
		searching.origins.suspects.add("node-5", time.Now().Add(originPeerSuspicion))
		NewWithT(t).Expect(finds(searching, 0)).To(BeTrue())
		leaving := fleet.nodes[5].self()
		leaving.Draining = true
		fleet.nodes[1].members.put(leaving)
		NewWithT(t).Expect(finds(fleet.nodes[1], 0)).To(BeTrue())
	})
}
