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

const patience = 10 * time.Second

// staleLog serves an old snapshot for a while after its history was dropped.
type staleLog struct {
	*durable.Memory
	mutex  sync.Mutex
	stale  []durable.Snapshot
	wholes int
}

func (log *staleLog) Latest(ctx context.Context, topic string) (durable.Snapshot, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.wholes++
	if len(log.stale) > 0 {
		snapshot := log.stale[0]
		log.stale = log.stale[1:]
		return snapshot, nil
	}
	return log.Memory.Latest(ctx, topic)
}

func (log *staleLog) readings() int {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.wholes
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
		reader := &follower{view: durable.NewTopicFollower(log, "t"), name: "t", logger: zap.NewNop(), apply: view.take,
			pause: func() time.Duration { return time.Millisecond }}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		put("a", "1")
		put("b", "1")
		go reader.run(ctx)
		Eventually(value("b"), patience).Should(Equal("1"))
	})

	// Nodes answered 503 for routes that never were, by a configuration last confirmed 2.7 to 3.2 s
	// ago: a reading that waits 1.5 s for a change and finds none counted as old as its beginning.
	It("takes a reading that waited for a change in vain for as new as the end of the wait", func() {
		const waited = 200 * time.Millisecond
		ages := make(chan time.Duration, 64)
		waiting := &follower{view: durable.NewTopicFollower(log, "t"), name: "t", logger: zap.NewNop(), wait: waited, pause: func() time.Duration { return 0 },
			apply: func(update durable.Update, asOf time.Time) {
				if len(update.Records) == 0 {
					ages <- time.Since(asOf)
				}
			}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go waiting.run(ctx)
		var age time.Duration
		Eventually(ages, patience).Should(Receive(&age))
		Expect(age).To(BeNumerically("<", waited))
	})

	It("does not go back to an older state after a compaction, and comes to the newest", func() {
		old, err := log.Memory.Latest(context.Background(), "t")
		Expect(err).NotTo(HaveOccurred())
		old.End--
		put("a", "2")
		Eventually(value("a"), patience).Should(Equal("2"))
		log.mutex.Lock()
		log.stale = []durable.Snapshot{old}
		log.mutex.Unlock()
		put("a", "3")
		put("b", "3")
		log.Trim(partition, 5)
		Eventually(value("b"), patience).Should(Equal("3"))
		Eventually(value("a"), patience).Should(Equal("3"))
	})

	It("reads the whole once after a compaction that hides nothing", func() {
		before := log.readings()
		put("a", "2")
		put("a", "3")
		log.Trim(partition, 4)
		Eventually(value("a"), patience).Should(Equal("3"))
		put("b", "4")
		Eventually(value("b"), patience).Should(Equal("4"))
		Expect(log.readings() - before).To(BeNumerically("<=", 1))
	})

	It("drops a key that a whole reading no longer lists", func() {
		log.mutex.Lock()
		log.stale = []durable.Snapshot{{Records: []durable.KeyedRecord{{Key: "a", Value: []byte("1"), Offset: 0}}, End: 9}}
		log.mutex.Unlock()
		view.take(durable.Update{Full: true, Records: []durable.KeyedRecord{{Key: "a", Value: []byte("1")}}, End: 9}, time.Now())
		Expect(value("b")()).To(BeEmpty())
		Expect(value("a")()).To(Equal("1"))
	})
})
