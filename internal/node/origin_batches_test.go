package node

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/streamversion"
	. "github.com/onsi/gomega"
)

// keepersOf counts the nodes other than the first that know the origin of a stream.
func (fleet *lossFleet) keepersOf(number int) int {
	count := 0
	for _, node := range fleet.nodes[1:] {
		if _, known := node.origins.table.Find(streamKey(number), time.Now()); known {
			count++
		}
	}
	return count
}

// Guards against keepers that do not know the streams of the last second when a rollout begins.
func TestCollectedOriginsAreSentOnceASecondVersionIsKnown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		expect := NewWithT(t)
		fleet := newLossFleet(t, 12, 3)
		node := fleet.nodes[0]
		node.dependencies.VersionTopic = "versions"
		node.dependencies.DecodeEngine = func(record durable.KeyedRecord) (backend.Instance, bool) {
			return backend.Instance{ID: record.Key, Service: firstVersion.Service, Version: string(record.Value)}, true
		}
		node.applyEngine(durable.KeyedRecord{Key: "engine-1", Value: []byte(firstVersion.Version)})
		begin(node, 0)
		time.Sleep(soleOriginBatchDelay / 2)
		expect.Expect(fleet.keepersOf(0)).To(BeZero(), "one version is known")
		node.applyEngine(durable.KeyedRecord{Key: "engine-2", Value: []byte("v9")})
		time.Sleep(10 * time.Millisecond)
		expect.Expect(fleet.keepersOf(0)).To(Equal(streamversion.Copies))
		begin(node, 1)
		time.Sleep(2 * originBatchDelay)
		expect.Expect(fleet.keepersOf(1)).To(Equal(streamversion.Copies), "two versions are known")
		time.Sleep(time.Minute)
	})
}

// Guards against the two keys of a stream travelling to different nodes, or in two messages.
func TestBothKeysOfAStreamAreKeptByTheSameNodes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 60, 4)
		content := streamversion.NewContentKey("session", []byte("fingerprint"))
		for _, key := range []streamversion.Key{streamversion.NewKey("tenant", "attempt").PlacedWith(content), content} {
			fleet.nodes[0].origins.Began(streamversion.Record{Key: key, Origin: firstVersion})
		}
		time.Sleep(time.Second)
		NewWithT(t).Expect(fleet.messages.Load()).To(Equal(int64(streamversion.Copies)))
	})
}
