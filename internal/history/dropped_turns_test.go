package history_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/history"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// countingLog counts the records that reads have returned.
type countingLog struct {
	*durable.Memory
	records atomic.Int64
}

func (log *countingLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	batch, err := log.Memory.Read(ctx, partition, from, wait)
	log.records.Add(int64(len(batch.Records)))
	return batch, err
}

var _ = Describe("Reader of turns that its store has dropped", func() {
	const shard = 1
	var log *countingLog
	var ctx context.Context
	var store *history.Store
	var reader *history.Reader

	record := func(turn *history.Turn) {
		Expect(history.NewRecorder(log, shards).Record(ctx, shard, turn)).To(Succeed())
	}
	laterTurn := func(id, previous string) *history.Turn {
		later := turn(id, previous, "x", "y\n")
		later.EndedAt = time.Now().Add(2 * time.Minute)
		return later
	}
	readAll := func() {
		_, err := reader.Find(ctx, shard, key("unknown"))
		Expect(err).NotTo(HaveOccurred())
	}

	BeforeEach(func() {
		log = &countingLog{Memory: durable.NewMemory()}
		ctx = context.Background()
		store = history.NewStore(1 << 20)
		reader = history.NewReader(log, store, shards)
		record(turn("a", "", "hello", "hi\n"))
		record(turn("b", "a", "more", "some\n"))
		readAll()
		store.Expire(time.Now().Add(90 * time.Second))
		Expect(store.Size()).To(BeZero())
	})

	// Guards against conversations lost at a node that did not follow their partition while they went on.
	It("finds a chain whose beginning it had dropped before it read the later turns", func() {
		record(laterTurn("c", "b"))
		found, err := reader.Find(ctx, shard, key("c"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Chain).To(HaveLen(3))
		Expect(string(history.BuildPrompt(found.Chain, nil))).To(Equal("hellohi\nmoresome\nxy\n"))
	})

	// Guards against a 404 for a turn that later turns keep, when a second line goes on from it.
	It("finds a turn that it had dropped, named by its id alone", func() {
		record(laterTurn("c", "a"))
		found, err := reader.Find(ctx, shard, key("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Found).To(BeTrue())
	})

	// Guards against nodes that read partitions again for ids that never were.
	It("reads no record again for an unknown id", func() {
		before := log.records.Load()
		for number := range 100 {
			found, err := reader.Find(ctx, shard, key(fmt.Sprintf("unknown-%d", number)))
			Expect(err).NotTo(HaveOccurred())
			Expect(found.Found).To(BeFalse())
		}
		Expect(log.records.Load()).To(Equal(before))
	})

	It("reports a gap that the log has dropped too", func() {
		record(laterTurn("c", "b"))
		log.Trim(durable.Partition{Topic: history.Topic, Number: shard}, 1)
		_, err := reader.Find(ctx, shard, key("c"))
		var incomplete *history.IncompleteChainError
		Expect(err).To(BeAssignableToTypeOf(incomplete))
	})

	It("fails while the log does not answer, and finds the chain afterwards", func() {
		record(laterTurn("c", "b"))
		log.Intercept = func(string, durable.Partition) error { return durable.ErrUnavailable }
		_, err := reader.Find(ctx, shard, key("c"))
		Expect(err).To(HaveOccurred())
		log.Intercept = nil
		found, err := reader.Find(ctx, shard, key("c"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Chain).To(HaveLen(3))
	})

	It("does not read them again without the feature", func() {
		Expect(feature.Disable(string(feature.RereadTurns))).To(Succeed())
		DeferCleanup(func() { _ = feature.Disable("") })
		record(laterTurn("c", "b"))
		_, err := reader.Find(ctx, shard, key("c"))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Reader with a small store", func() {
	const turns = 60
	const turnBytes = 10_000
	var log *durable.Memory
	var ctx context.Context
	var reader *history.Reader

	BeforeEach(func() {
		log = durable.NewMemory()
		ctx = context.Background()
		recorder := history.NewRecorder(log, shards)
		previous := ""
		for number := range turns {
			id := fmt.Sprintf("turn-%d", number)
			Expect(recorder.Record(ctx, 1, turn(id, previous, string(bytes.Repeat([]byte{'x'}, turnBytes)), "y\n"))).To(Succeed())
			previous = id
		}
		reader = history.NewReader(log, history.NewStore(turns*turnBytes/4), shards)
	})

	// Guards against chains that are refused for good once the node has evicted part of them.
	It("finds a chain that is larger than the store", func() {
		found, err := reader.Find(ctx, 1, key(fmt.Sprintf("turn-%d", turns-1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Chain).To(HaveLen(turns))
		Expect(found.Chain[0].ID).To(Equal("turn-0"))
	})

	// Guards against refusals of unknown ids as undecided, for good, after a single eviction.
	It("still tells turns that never existed", func() {
		_, err := reader.Find(ctx, 1, key("turn-0"))
		Expect(err).NotTo(HaveOccurred())
		found, err := reader.Find(ctx, 1, key("unknown"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Found).To(BeFalse())
	})
})

var _ = Describe("Store with a very long chain", func() {
	// Guards against prompts without their beginning: turns beyond the limit were left out.
	It("does not return a part of it as the whole", func() {
		const longer = 4097
		store := history.NewStore(1 << 30)
		previous := ""
		for number := range longer {
			id := fmt.Sprintf("turn-%d", number)
			store.Add(turn(id, previous, "x", "y\n"))
			previous = id
		}
		_, _, complete := store.Chain(key(previous))
		Expect(complete).To(BeFalse())
		_, err := history.NewReader(durable.NewMemory(), store, shards).Find(context.Background(), 0, key(previous))
		Expect(err).To(HaveOccurred())
	})
})
