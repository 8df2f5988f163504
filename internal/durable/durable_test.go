package durable_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const timeout = 5 * time.Second

var partition = durable.Partition{Topic: "t"}

var _ = Describe("Memory", func() {
	ctx := context.Background()
	record := [][]byte{[]byte("x")}

	It("rejects a lower epoch and returns the first result of a repeated sequence number", func() {
		log := durable.NewMemory()
		fence := func(epoch, sequence int64) durable.Condition {
			return durable.Condition{Fence: &durable.Fence{Producer: "w", Epoch: epoch, Sequence: sequence}}
		}
		first, err := log.Append(ctx, partition, record, fence(1, 7))
		Expect(err).NotTo(HaveOccurred())
		again, err := log.Append(ctx, partition, record, fence(1, 7))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		_, err = log.Append(ctx, partition, record, fence(1, 9))
		Expect(err).To(MatchError(durable.ErrOutOfSequence))
		_, err = log.Append(ctx, partition, record, fence(2, 0))
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(ctx, partition, record, fence(1, 8))
		Expect(err).To(MatchError(durable.ErrFenced))
	})

	It("appends only if the partition ends at the expected offset", func() {
		log := durable.NewMemory()
		expected := int64(1)
		_, err := log.Append(ctx, partition, record, durable.Condition{ExpectedEnd: &expected})
		Expect(err).To(MatchError(durable.ErrConflict))
		Expect(durable.NotApplied(err)).To(BeTrue())
	})
})

var _ = Describe("TopicFollower", func() {
	ctx := context.Background()
	put := func(log *durable.Memory, key, value string) {
		_, err := log.Append(ctx, partition, [][]byte{durable.EncodeKeyed(key, []byte(value))}, durable.Condition{})
		Expect(err).NotTo(HaveOccurred())
	}

	It("reads the latest record of each key, then new records", func() {
		log := durable.NewMemory()
		put(log, "a", "1")
		put(log, "a", "2")
		follower := durable.NewTopicFollower(log, "t")
		update, err := follower.Next(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Full).To(BeTrue())
		Expect(update.Records).To(HaveLen(1))
		Expect(string(update.Records[0].Value)).To(Equal("2"))
		put(log, "b", "3")
		update, err = follower.Next(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Full).To(BeFalse())
		Expect(update.Records).To(HaveLen(1))
	})

	It("loads a new snapshot if the records to read have been trimmed", func() {
		log := durable.NewMemory()
		put(log, "a", "1")
		follower := durable.NewTopicFollower(log, "t")
		_, err := follower.Next(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		put(log, "a", "2")
		put(log, "b", "3")
		log.Trim(partition, 2)
		update, err := follower.Next(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Full).To(BeTrue())
	})
})

// silentReads is a log whose reads are not answered.
type silentReads struct{ durable.Log }

func (silentReads) Read(ctx context.Context, _ durable.Partition, _ int64, _ time.Duration) (durable.Batch, error) {
	<-ctx.Done()
	return durable.Batch{}, ctx.Err()
}

var _ = Describe("Hedge", func() {
	var log durable.Log

	BeforeEach(func() { log = durable.NewMemory() })

	// Guards against attempts that lengthen the queue of a slow log, which delays the append itself.
	It("sends nothing more to a log that does not respond at once, until it has been silent for long", func() {
		var latency durable.AppendLatency
		var attempts atomic.Int32
		began := time.Now()
		var repeated time.Duration
		err := durable.Hedge(context.Background(), &latency, silentReads{log}, partition, func(ctx context.Context) error {
			if attempts.Add(1) == 1 {
				<-ctx.Done()
				return ctx.Err()
			}
			repeated = time.Since(began)
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated).To(BeNumerically(">=", time.Second))
	})

	It("sends another attempt if a response is lost, and returns the first known outcome", func() {
		var latency durable.AppendLatency
		var attempts atomic.Int32
		err := durable.Hedge(context.Background(), &latency, log, partition, func(ctx context.Context) error {
			if attempts.Add(1) == 1 {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(attempts.Load()).To(BeEquivalentTo(2))
	})

	It("returns at once if the append was not applied", func() {
		var latency durable.AppendLatency
		err := durable.Hedge(context.Background(), &latency, log, partition, func(context.Context) error { return durable.ErrFenced })
		Expect(err).To(MatchError(durable.ErrFenced))
	})

	It("returns when its context ends", func() {
		var latency durable.AppendLatency
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			done <- durable.Hedge(ctx, &latency, log, partition, func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			})
		}()
		Eventually(done, timeout).Should(Receive(MatchError(context.DeadlineExceeded)))
	})

	It("waits longer if the store is slow", func() {
		var latency durable.AppendLatency
		initial := latency.HedgeDelay()
		latency.Observe(100 * time.Millisecond)
		Expect(latency.HedgeDelay()).To(BeNumerically(">", initial))
	})
})
