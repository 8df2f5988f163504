package durable_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silentLog answers no call that began while it was silent.
type silentLog struct {
	*durable.Memory
	silent atomic.Bool
	calls  atomic.Int64
}

func (log *silentLog) hang(ctx context.Context) error {
	log.calls.Add(1)
	if log.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Read implements durable.Log.
func (log *silentLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	if err := log.hang(ctx); err != nil {
		return durable.Batch{}, err
	}
	return log.Memory.Read(ctx, partition, from, wait)
}

// Latest implements durable.Log.
func (log *silentLog) Latest(ctx context.Context, topic string) (durable.Snapshot, error) {
	if err := log.hang(ctx); err != nil {
		return durable.Snapshot{}, err
	}
	return log.Memory.Latest(ctx, topic)
}

// arrivingLog never answers the first call; the answer of the second begins to arrive with
// arrive, and is whole with end.
type arrivingLog struct {
	*durable.Memory
	calls  atomic.Int64
	arrive chan struct{}
	gone   chan struct{}
	end    atomic.Bool
}

// Read implements durable.Log.
func (log *arrivingLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	if log.calls.Add(1) == 1 {
		<-ctx.Done()
		log.gone <- struct{}{}
		return durable.Batch{}, ctx.Err()
	}
	<-log.arrive
	durable.MarkResponseStarted(ctx)
	for !log.end.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return log.Memory.Read(ctx, partition, from, wait)
}

var _ = Describe("Rereading", func() {
	const patience = 20 * time.Second

	It("gets an answer of a store that was silent when the read began", func() {
		silent := &silentLog{Memory: durable.NewMemory()}
		log := &durable.HedgedReads{Log: silent}
		silent.silent.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		Eventually(silent.calls.Load, patience).Should(BeNumerically(">=", 4))
		silent.silent.Store(false)
		Eventually(done, patience).Should(Receive(BeNil()))
		Eventually(done, patience).Should(Receive(BeNil()))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	It("is not sent again while its answer arrives, and ends the sendings beside it", func() {
		arriving := &arrivingLog{Memory: durable.NewMemory(), arrive: make(chan struct{}), gone: make(chan struct{}, 8)}
		log := &durable.HedgedReads{Log: arriving}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			_, err := log.Read(ctx, partition, 0, 0)
			done <- err
		}()
		Eventually(arriving.calls.Load, patience).Should(BeEquivalentTo(2), "a second sending, since nothing came")
		close(arriving.arrive)
		Eventually(arriving.gone, patience).Should(Receive(), "the one without an answer is given up")
		// Five times the patience of a read without any answer.
		Consistently(arriving.calls.Load, "2s", "50ms").Should(BeEquivalentTo(2))
		Expect(done).NotTo(Receive())
		arriving.end.Store(true)
		Eventually(done, patience).Should(Receive(BeNil()))
	})

	It("ends with its context", func() {
		silent := &silentLog{Memory: durable.NewMemory()}
		silent.silent.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := (&durable.HedgedReads{Log: silent}).Latest(ctx, partition.Topic)
		Expect(err).To(MatchError(context.Canceled))
	})
})
