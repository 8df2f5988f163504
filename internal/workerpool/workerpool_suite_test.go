package workerpool_test

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/workerpool"
)

func TestWorkerPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Worker pool")
}

var _ = Describe("worker pool", func() {
	It("runs new jobs while all earlier ones are blocked", func() {
		const jobs = 100
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		pool := workerpool.New(ctx, 4)
		blocked := make(chan struct{})
		var started atomic.Int64
		var group sync.WaitGroup
		for range jobs {
			group.Add(1)
			pool.Go(func() {
				defer group.Done()
				started.Add(1)
				<-blocked
			})
		}
		Eventually(started.Load).Should(BeEquivalentTo(jobs))
		close(blocked)
		group.Wait()
	})

	It("keeps at most maxIdle goroutines, and none after its context is done", func() {
		before := runtime.NumGoroutine()
		ctx, cancel := context.WithCancel(context.Background())
		pool := workerpool.New(ctx, 4)
		for range 100 {
			pool.Go(func() {})
		}
		Eventually(runtime.NumGoroutine).Should(BeNumerically("<=", before+4))
		cancel()
		Eventually(runtime.NumGoroutine).Should(BeNumerically("<=", before))
		ran := make(chan struct{})
		pool.Go(func() { close(ran) })
		Eventually(ran).Should(BeClosed())
	})
})
