package durable_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const patience = 5 * time.Second

var partition = durable.Partition{Topic: "t"}

var _ = Describe("Memory", func() {
	ctx := context.Background()
	record := [][]byte{[]byte("x")}

	It("fences a lower epoch and repeats an answer for a number seen", func() {
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

	It("appends only where the partition ends as asked", func() {
		log := durable.NewMemory()
		at := int64(1)
		_, err := log.Append(ctx, partition, record, durable.Condition{ExpectedEnd: &at})
		Expect(err).To(MatchError(durable.ErrConflict))
		Expect(durable.NotApplied(err)).To(BeTrue())
	})
})

var _ = Describe("View", func() {
	ctx := context.Background()
	put := func(log *durable.Memory, key, value string) {
		_, err := log.Append(ctx, partition, [][]byte{durable.EncodeKeyed(key, []byte(value))}, durable.Condition{})
		Expect(err).NotTo(HaveOccurred())
	}

	It("reads the newest of each key, then what is new", func() {
		log := durable.NewMemory()
		put(log, "a", "1")
		put(log, "a", "2")
		view := durable.NewTopicFollower(log, "t")
		update, err := view.Next(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Full).To(BeTrue())
		Expect(update.Records).To(HaveLen(1))
		Expect(string(update.Records[0].Value)).To(Equal("2"))
		put(log, "b", "3")
		update, err = view.Next(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Full).To(BeFalse())
		Expect(update.Records).To(HaveLen(1))
	})

	It("begins anew where its history is gone", func() {
		log := durable.NewMemory()
		put(log, "a", "1")
		view := durable.NewTopicFollower(log, "t")
		_, err := view.Next(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		put(log, "a", "2")
		put(log, "b", "3")
		log.Trim(partition, 2)
		update, err := view.Next(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Full).To(BeTrue())
	})
})

var _ = Describe("Hedge", func() {
	It("sends again where an answer is lost, and takes the first known outcome", func() {
		var pace durable.AppendLatency
		var sendings atomic.Int32
		err := durable.Hedge(context.Background(), &pace, func(ctx context.Context) error {
			if sendings.Add(1) == 1 {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(sendings.Load()).To(BeEquivalentTo(2))
	})

	It("ends at once where the store promises that nothing was done", func() {
		var pace durable.AppendLatency
		err := durable.Hedge(context.Background(), &pace, func(context.Context) error { return durable.ErrFenced })
		Expect(err).To(MatchError(durable.ErrFenced))
	})

	It("gives up with its context", func() {
		var pace durable.AppendLatency
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			done <- durable.Hedge(ctx, &pace, func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			})
		}()
		Eventually(done, patience).Should(Receive(MatchError(context.DeadlineExceeded)))
	})

	It("waits longer where the store is slow", func() {
		var pace durable.AppendLatency
		least := pace.HedgeDelay()
		pace.Observe(100 * time.Millisecond)
		Expect(pace.HedgeDelay()).To(BeNumerically(">", least))
	})
})
