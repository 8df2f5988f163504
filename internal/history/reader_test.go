package history_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const shards = 4

// key returns the key of a turn that was recorded without a tenant.
func key(id string) history.Key { return history.Key{ID: id} }

func turn(id, previous, input, output string) *history.Turn {
	return &history.Turn{ID: id, Program: "p", PreviousID: previous, Input: []byte(input), Output: []byte(output),
		EndedAt: time.Now(), Retention: time.Minute}
}

var _ = Describe("Reader", func() {
	var log *durable.Memory
	var ctx context.Context

	BeforeEach(func() {
		log = durable.NewMemory()
		ctx = context.Background()
		recorder := history.NewRecorder(log, shards)
		Expect(recorder.Record(ctx, 1, turn("a", "", "hello", "hi\n"))).To(Succeed())
		Expect(recorder.Record(ctx, 1, turn("b", "a", "more", "some\n"))).To(Succeed())
	})

	newReader := func() *history.Reader {
		return history.NewReader(log, history.NewStore(1<<20), shards)
	}

	It("finds a chain written by a process that has ended", func() {
		found, err := newReader().Find(ctx, 1, key("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Found).To(BeTrue())
		Expect(string(history.BuildPrompt(found.Chain, []byte("next")))).To(Equal("hellohi\nmoresome\nnext"))
	})

	It("finds a turn of another program in that program's shard", func() {
		found, err := newReader().Find(ctx, 3, key("b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Found).To(BeTrue())
	})

	It("reads the partitions of other shards through the nodes that read them", func() {
		Expect(history.NewRecorder(log, shards).Record(ctx, 3, turn("c", "b", "x", "y\n"))).To(Succeed())
		var mutex sync.Mutex
		reads := map[durable.Partition]int{}
		log.Intercept = func(operation string, partition durable.Partition) error {
			mutex.Lock()
			defer mutex.Unlock()
			if operation == "read" {
				reads[partition]++
			}
			return nil
		}
		nodes := make([]*history.Reader, shards)
		for shard := range shards {
			nodes[shard] = newReader()
		}
		for _, node := range nodes {
			node.SetRemoteLookup(func(ctx context.Context, shard int, id history.Key) ([]*history.Turn, error) {
				return nodes[shard].PartialChain(ctx, shard, id)
			})
		}
		for shard, node := range nodes {
			found, err := node.Find(ctx, shard, key("c"))
			Expect(err).NotTo(HaveOccurred())
			Expect(found.Chain).To(HaveLen(3))
		}
		for shard := range shards {
			// One read of the records, and one empty read per later search.
			Expect(reads[durable.Partition{Topic: history.Topic, Number: shard}]).To(BeNumerically("<=", shards+1))
		}
	})

	It("joins a chain that spans two shards", func() {
		Expect(history.NewRecorder(log, shards).Record(ctx, 3, turn("c", "b", "x", "y\n"))).To(Succeed())
		found, err := newReader().Find(ctx, 0, key("c"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(history.BuildPrompt(found.Chain, nil))).To(Equal("hellohi\nmoresome\nxy\n"))
	})

	It("reports that a turn does not exist only if every partition was read", func() {
		found, err := newReader().Find(ctx, 1, key("forged"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Found).To(BeFalse())

		log.Intercept = func(_ string, partition durable.Partition) error {
			if partition.Number == 2 {
				return durable.ErrUnavailable
			}
			return nil
		}
		_, err = newReader().Find(ctx, 1, key("forged"))
		Expect(err).To(HaveOccurred())
	})

	It("records a turn in another partition if its own does not respond, and finds it", func() {
		log.Intercept = func(operation string, partition durable.Partition) error {
			if operation == "append" && partition == (durable.Partition{Topic: history.Topic, Number: 1}) {
				return durable.ErrUnavailable
			}
			return nil
		}
		Expect(history.NewRecorder(log, shards).Record(ctx, 1, turn("c", "b", "x", "y\n"))).To(Succeed())
		found, err := newReader().Find(ctx, 1, key("c"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Chain).To(HaveLen(3))
	})

	It("records a turn through another node if the log refuses this one", func() {
		refused := durable.NewMemory()
		refused.Intercept = func(string, durable.Partition) error { return durable.ErrUnavailable }
		other := history.NewRecorder(log, shards)
		recorder := history.NewRecorder(refused, shards)
		recorder.SetRelay(other.RecordLocally)
		bounded, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		Expect(recorder.Record(bounded, 1, turn("c", "b", "x", "y\n"))).To(Succeed())
		Expect(recorder.AppendFailedRecently()).To(BeTrue())
		Expect(other.AppendFailedRecently()).To(BeFalse())
		found, err := newReader().Find(ctx, 1, key("c"))
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Chain).To(HaveLen(3))
	})

	It("backs off while the store refuses", func() {
		var calls atomic.Int32
		log.Intercept = func(operation string, _ durable.Partition) error {
			calls.Add(1)
			return durable.ErrUnavailable
		}
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		Expect(history.NewRecorder(log, shards).Record(bounded, 1, turn("c", "b", "x", "y\n"))).NotTo(Succeed())
		// The backoff is 40, 80, 160 and then 250 ms; a constant 40 ms would make 25 calls.
		Expect(calls.Load()).To(BeNumerically("<=", 10))
	})

	It("reads from the oldest retained record", func() {
		log.Trim(durable.Partition{Topic: history.Topic, Number: 1}, 1)
		_, err := newReader().Find(ctx, 1, key("b"))
		Expect(err).To(MatchError(ContainSubstring("turn a of the chain is missing")))
	})
})
