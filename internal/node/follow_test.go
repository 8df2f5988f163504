package node

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

const eventuallyTimeout = 10 * time.Second

// staleLog returns queued old snapshots before current ones, as a log may after trimming.
type staleLog struct {
	*durable.Memory
	mutex     sync.Mutex
	stale     []durable.Snapshot
	fullReads int
}

func (log *staleLog) Latest(ctx context.Context, topic string) (durable.Snapshot, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.fullReads++
	if len(log.stale) > 0 {
		snapshot := log.stale[0]
		log.stale = log.stale[1:]
		return snapshot, nil
	}
	return log.Memory.Latest(ctx, topic)
}

func (log *staleLog) fullReadCount() int {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.fullReads
}

var _ = Describe("A follower", func() {
	var log *staleLog
	var view *recordView
	var seen sync.Map
	partition := durable.Partition{Topic: "t"}

	put := func(key, value string) {
		_, err := log.Append(context.Background(), partition, [][]byte{durable.EncodeKeyed(key, []byte(value))}, durable.Condition{})
		Expect(err).NotTo(HaveOccurred())
	}
	value := func(key string) func() string {
		return func() string {
			found, known := seen.Load(key)
			if !known {
				return ""
			}
			return found.(string)
		}
	}

	BeforeEach(func() {
		log = &staleLog{Memory: durable.NewMemory()}
		seen.Clear()
		view = newRecordView("t", zap.NewNop(), func(record durable.KeyedRecord) bool {
			seen.Store(record.Key, string(record.Value))
			return true
		})
		reader := &follower{topic: durable.NewTopicFollower(log, "t"), name: "t", logger: zap.NewNop(), apply: view.merge,
			interval: func() time.Duration { return time.Millisecond }}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		put("a", "1")
		put("b", "1")
		go reader.run(ctx)
		Eventually(value("b"), eventuallyTimeout).Should(Equal("1"))
	})

	// Guards against counting a wait without changes as age, which made confirmed configurations
	// look out of date.
	It("dates a read that waited without a change to the end of the wait", func() {
		const waited = 200 * time.Millisecond
		ages := make(chan time.Duration, 64)
		waiting := &follower{topic: durable.NewTopicFollower(log, "t"), name: "t", logger: zap.NewNop(), maxWait: waited, interval: func() time.Duration { return 0 },
			apply: func(update durable.Update, asOf time.Time) {
				if len(update.Records) == 0 {
					ages <- time.Since(asOf)
				}
			}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go waiting.run(ctx)
		var age time.Duration
		Eventually(ages, eventuallyTimeout).Should(Receive(&age))
		Expect(age).To(BeNumerically("<", waited))
	})

	It("does not revert to an older state after trimming, and reaches the newest", func() {
		old, err := log.Memory.Latest(context.Background(), "t")
		Expect(err).NotTo(HaveOccurred())
		old.EndOffset--
		put("a", "2")
		Eventually(value("a"), eventuallyTimeout).Should(Equal("2"))
		log.mutex.Lock()
		log.stale = []durable.Snapshot{old}
		log.mutex.Unlock()
		put("a", "3")
		put("b", "3")
		log.Trim(partition, 5)
		Eventually(value("b"), eventuallyTimeout).Should(Equal("3"))
		Eventually(value("a"), eventuallyTimeout).Should(Equal("3"))
	})

	It("rereads the topic at most once after trimming", func() {
		before := log.fullReadCount()
		put("a", "2")
		put("a", "3")
		log.Trim(partition, 4)
		Eventually(value("a"), eventuallyTimeout).Should(Equal("3"))
		put("b", "4")
		Eventually(value("b"), eventuallyTimeout).Should(Equal("4"))
		Expect(log.fullReadCount() - before).To(BeNumerically("<=", 1))
	})

	It("deletes a key missing from a full read", func() {
		log.mutex.Lock()
		log.stale = []durable.Snapshot{{Records: []durable.KeyedRecord{{Key: "a", Value: []byte("1"), Offset: 0}}, EndOffset: 9}}
		log.mutex.Unlock()
		view.merge(durable.Update{Full: true, Records: []durable.KeyedRecord{{Key: "a", Value: []byte("1")}}, EndOffset: 9}, time.Now())
		Expect(value("b")()).To(BeEmpty())
		Expect(value("a")()).To(Equal("1"))
	})
})
