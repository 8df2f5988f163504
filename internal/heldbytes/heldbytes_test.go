package heldbytes_test

import (
	"sync"
	"testing"

	"github.com/magpielug/magpielug/internal/heldbytes"
	. "github.com/onsi/gomega"
)

func TestTryAcquireNeverExceedsTheLimit(t *testing.T) {
	expect := NewWithT(t)
	limiter := heldbytes.New(1000)
	var callers sync.WaitGroup
	results := make(chan bool, 300)
	for range cap(results) {
		callers.Go(func() { results <- limiter.TryAcquire(10) })
	}
	callers.Wait()
	close(results)
	granted := 0
	for acquired := range results {
		if acquired {
			granted++
		}
	}
	expect.Expect(limiter.InUse()).To(Equal(int64(10 * granted)))
	expect.Expect(limiter.InUse()).To(BeNumerically("<=", 1000))
	limiter.Release(limiter.InUse())
	expect.Expect(limiter.TryAcquire(1000)).To(BeTrue())
	expect.Expect(limiter.TryAcquire(1)).To(BeFalse())
	expect.Expect(limiter.Exhausted()).To(BeTrue())
}

func TestNilAndUnlimitedLimitersAcceptEverything(t *testing.T) {
	expect := NewWithT(t)
	var none *heldbytes.Limiter
	expect.Expect(none.TryAcquire(1 << 40)).To(BeTrue())
	expect.Expect(none.InUse()).To(BeZero())
	unlimited := heldbytes.New(0)
	expect.Expect(unlimited.TryAcquire(1 << 40)).To(BeTrue())
	expect.Expect(unlimited.InUse()).To(Equal(int64(1 << 40)))
	expect.Expect(unlimited.Exhausted()).To(BeFalse())
}
