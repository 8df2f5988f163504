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

// slowPartitions is a log whose reads end only when they are let go on.
type slowPartitions struct {
	*durable.Memory
	reading atomic.Int64
	goOn    chan struct{}
}

func (log *slowPartitions) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	log.reading.Add(1)
	defer log.reading.Add(-1)
	select {
	case <-log.goOn:
		return log.Memory.Read(ctx, partition, from, wait)
	case <-ctx.Done():
		return durable.Batch{}, ctx.Err()
	}
}

// lonelyReader is the only node known, owns none of some shards, and reads them from a log.
func lonelyReader(log durable.Log, shards int) (*Node, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	node := &Node{settings: Settings{Name: "self", Shards: shards}, members: newMembers(), turns: history.NewStore(1 << 20), foreign: make(chan struct{}, foreignReadings)}
	node.members.put(Member{Name: "self"})
	node.programs = newPrograms(node)
	node.reader = history.NewReader(log, node.turns, shards)
	node.reader.SetRemoteLookup(node.lineElsewhere)
	node.ownership = ownership.NewManager(ctx, log, zap.NewNop(), ownership.Identity{Node: "self"}, shards, ownership.Dependencies{})
	return node, ctx
}

var _ = Describe("Partitions of other nodes' shards", func() {
	const shards = 16
	// The load is the loss of all nodes: a node is asked for turns of each of 16 shards, again
	// and again, behind a link over which one partition takes as long as askers wait.
	It("are read one at a time, however often the node is asked", func() {
		log := &slowPartitions{Memory: durable.NewMemory(), goOn: make(chan struct{})}
		node, ctx := lonelyReader(log, shards)
		ended := make(chan error, 1)
		go func() {
			_, err := node.lineHere(ctx, 0, history.Key{ID: "turn"}, 0)
			ended <- err
		}()
		Eventually(log.reading.Load, patience).Should(BeEquivalentTo(1))
		for shard := range shards {
			_, err := node.lineHere(ctx, shard, history.Key{ID: "turn"}, 0)
			Expect(err).To(MatchError(errStillReading))
		}
		Expect(log.reading.Load()).To(BeEquivalentTo(1))
		close(log.goOn)
		Eventually(ended, patience).Should(Receive(BeNil()))
		_, err := node.lineHere(ctx, 1, history.Key{ID: "turn"}, findTimeout)
		Expect(err).NotTo(HaveOccurred())
	})

	// A search for a turn that never was looks into all shards at once, on the only node.
	It("are all read in turn for a search that nobody else can tell for", func() {
		log := &slowPartitions{Memory: durable.NewMemory(), goOn: make(chan struct{})}
		node, ctx := lonelyReader(log, shards)
		found := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			lookup, err := node.reader.Find(ctx, 0, history.Key{ID: "never was"})
			Expect(lookup.Found).To(BeFalse())
			found <- err
		}()
		Eventually(log.reading.Load, patience).Should(BeEquivalentTo(1))
		close(log.goOn)
		Eventually(found, patience).Should(Receive(BeNil()))
	})
})

var _ = Describe("A second allowance", func() {
	It("is claimed only once all nodes say that they count it", func() {
		known := newMembers()
		known.put(Member{Name: "new", ProtocolVersion: understandsSecondAllowance})
		Expect(known.allUnderstand(understandsSecondAllowance)).To(BeTrue())
		known.put(Member{Name: "old"})
		Expect(known.allUnderstand(understandsSecondAllowance)).To(BeFalse())
		known.put(Member{Name: "old", Draining: true})
		Expect(known.allUnderstand(understandsSecondAllowance)).To(BeTrue(), "one that leaves owns nothing more")
	})
})
