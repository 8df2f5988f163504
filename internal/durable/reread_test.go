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

// Newest implements durable.Log.
func (log *silentLog) Newest(ctx context.Context, topic string) (durable.Snapshot, error) {
	if err := log.hang(ctx); err != nil {
		return durable.Snapshot{}, err
	}
	return log.Memory.Newest(ctx, topic)
}

var _ = Describe("Rereading", func() {
	const patience = 20 * time.Second

	It("gets an answer of a store that was silent when the read began", func() {
		silent := &silentLog{Memory: durable.NewMemory()}
		log := &durable.Rereading{Log: silent}
		silent.silent.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		done := make(chan error, 2)
		go func() {
			_, err := log.Read(ctx, partition, 0, 0)
			done <- err
		}()
		go func() {
			_, err := log.Newest(ctx, partition.Topic)
			done <- err
		}()
		Eventually(silent.calls.Load, patience).Should(BeNumerically(">=", 4))
		silent.silent.Store(false)
		Eventually(done, patience).Should(Receive(BeNil()))
		Eventually(done, patience).Should(Receive(BeNil()))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	It("ends with its context", func() {
		silent := &silentLog{Memory: durable.NewMemory()}
		silent.silent.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := (&durable.Rereading{Log: silent}).Newest(ctx, partition.Topic)
		Expect(err).To(MatchError(context.Canceled))
	})
})
