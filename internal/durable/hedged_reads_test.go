package durable_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// unresponsiveLog never responds to a call that began while it was unresponsive.
type unresponsiveLog struct {
	*durable.Memory
	unresponsive atomic.Bool
	calls        atomic.Int64
}

func (log *unresponsiveLog) blockIfUnresponsive(ctx context.Context) error {
	log.calls.Add(1)
	if log.unresponsive.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Read implements durable.Log.
func (log *unresponsiveLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	if err := log.blockIfUnresponsive(ctx); err != nil {
		return durable.Batch{}, err
	}
	return log.Memory.Read(ctx, partition, from, wait)
}

// Latest implements durable.Log.
func (log *unresponsiveLog) Latest(ctx context.Context, topic string) (durable.Snapshot, error) {
	if err := log.blockIfUnresponsive(ctx); err != nil {
		return durable.Snapshot{}, err
	}
	return log.Memory.Latest(ctx, topic)
}

// slowTransferLog never responds to the first call. The responses of later calls begin
// once begin is closed and are complete once complete is set.
type slowTransferLog struct {
	*durable.Memory
	calls    atomic.Int64
	begin    chan struct{}
	canceled chan struct{}
	complete atomic.Bool
}

// Read implements durable.Log.
func (log *slowTransferLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	if log.calls.Add(1) == 1 {
		<-ctx.Done()
		log.canceled <- struct{}{}
		return durable.Batch{}, ctx.Err()
	}
	<-log.begin
	durable.MarkResponseStarted(ctx)
	for !log.complete.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return log.Memory.Read(ctx, partition, from, wait)
}

var _ = Describe("HedgedReads", func() {
	const timeout = 20 * time.Second

	It("gets a response from a store that did not respond when the read began", func() {
		store := &unresponsiveLog{Memory: durable.NewMemory()}
		log := &durable.HedgedReads{Log: store}
		store.unresponsive.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		done := make(chan error, 2)
		go func() {
			_, err := log.Read(ctx, partition, 0, 0)
			done <- err
		}()
		go func() {
			_, err := log.Latest(ctx, partition.Topic)
			done <- err
		}()
		Eventually(store.calls.Load, timeout).Should(BeNumerically(">=", 4))
		store.unresponsive.Store(false)
		Eventually(done, timeout).Should(Receive(BeNil()))
		Eventually(done, timeout).Should(Receive(BeNil()))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	It("sends no further attempt while a response arrives, and cancels the other attempts", func() {
		slow := &slowTransferLog{Memory: durable.NewMemory(), begin: make(chan struct{}), canceled: make(chan struct{}, 8)}
		log := &durable.HedgedReads{Log: slow}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			_, err := log.Read(ctx, partition, 0, 0)
			done <- err
		}()
		Eventually(slow.calls.Load, timeout).Should(BeEquivalentTo(2), "a second attempt, as no response arrived")
		close(slow.begin)
		Eventually(slow.canceled, timeout).Should(Receive(), "the attempt without a response is canceled")
		// Five times the retry interval of a read without a response.
		Consistently(slow.calls.Load, "2s", "50ms").Should(BeEquivalentTo(2))
		Expect(done).NotTo(Receive())
		slow.complete.Store(true)
		Eventually(done, timeout).Should(Receive(BeNil()))
	})

	It("returns when its context ends", func() {
		store := &unresponsiveLog{Memory: durable.NewMemory()}
		store.unresponsive.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := (&durable.HedgedReads{Log: store}).Latest(ctx, partition.Topic)
		Expect(err).To(MatchError(context.Canceled))
	})
})
