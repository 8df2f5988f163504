package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/ownership"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// blockingLog blocks reads until release is closed.
type blockingLog struct {
	*durable.Memory
	reading atomic.Int64
	release chan struct{}
}

func (log *blockingLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	log.reading.Add(1)
	defer log.reading.Add(-1)
	select {
	case <-log.release:
		return log.Memory.Read(ctx, partition, from, wait)
	case <-ctx.Done():
		return durable.Batch{}, ctx.Err()
	}
}

// newSingleNode returns a node that knows no other. It owns no shards, and reads their partitions
// from the log.
func newSingleNode(log durable.Log, shards int) (*Node, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	node := &Node{settings: Settings{Name: "self", Shards: shards}, members: newMembers(), turns: history.NewStore(1 << 20), unownedReads: make(chan struct{}, maxUnownedReads)}
	node.members.put(Member{Name: "self"})
	node.programs = newPrograms(node)
	node.reader = history.NewReader(log, node.turns, shards)
	node.reader.SetRemoteLookup(node.remotePartialChain)
	node.ownership = ownership.NewManager(ctx, log, zap.NewNop(), ownership.Identity{Node: "self"}, shards, ownership.Dependencies{})
	return node, ctx
}

var _ = Describe("Partitions of other nodes' shards", func() {
	const shards = 16
	// Guards against concurrent partition reads over a slow link after the loss of all nodes.
	It("are read one at a time regardless of the number of requests", func() {
		log := &blockingLog{Memory: durable.NewMemory(), release: make(chan struct{})}
		node, ctx := newSingleNode(log, shards)
		done := make(chan error, 1)
		go func() {
			_, err := node.localPartialChain(ctx, 0, history.Key{ID: "turn"}, 0)
			done <- err
		}()
		Eventually(log.reading.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
		for shard := range shards {
			_, err := node.localPartialChain(ctx, shard, history.Key{ID: "turn"}, 0)
			Expect(err).To(MatchError(errStillReading))
		}
		Expect(log.reading.Load()).To(BeEquivalentTo(1))
		close(log.release)
		Eventually(done, eventuallyTimeout).Should(Receive(BeNil()))
		_, err := node.localPartialChain(ctx, 1, history.Key{ID: "turn"}, findTimeout)
		Expect(err).NotTo(HaveOccurred())
	})

	// A search for an unknown turn reads all shards at once on the only node.
	It("are all read in turn for a search on the only node", func() {
		log := &blockingLog{Memory: durable.NewMemory(), release: make(chan struct{})}
		node, ctx := newSingleNode(log, shards)
		found := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			lookup, err := node.reader.Find(ctx, 0, history.Key{ID: "unknown turn"})
			Expect(lookup.Found).To(BeFalse())
			found <- err
		}()
		Eventually(log.reading.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
		close(log.release)
		Eventually(found, eventuallyTimeout).Should(Receive(BeNil()))
	})
})

var _ = Describe("A second token allowance", func() {
	It("is used only once all nodes support it", func() {
		nodes := newMembers()
		nodes.put(Member{Name: "new", ProtocolVersion: protocolSecondAllowance})
		Expect(nodes.allSupport(protocolSecondAllowance)).To(BeTrue())
		nodes.put(Member{Name: "old"})
		Expect(nodes.allSupport(protocolSecondAllowance)).To(BeFalse())
		nodes.put(Member{Name: "old", Draining: true})
		Expect(nodes.allSupport(protocolSecondAllowance)).To(BeTrue(), "draining nodes do not count")
	})
})
