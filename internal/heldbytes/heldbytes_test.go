package heldbytes_test

import (
	"sync"
	"testing"

	"github.com/magpielug/magpielug/internal/heldbytes"
	. "github.com/onsi/gomega"
)

func TestABoundIsNeverPassedByCallersThatAsk(t *testing.T) {
	expect := NewWithT(t)
	bound := heldbytes.New(1000)
	var takers sync.WaitGroup
	taken := make(chan bool, 300)
	for range cap(taken) {
		takers.Go(func() { taken <- bound.TryAcquire(10) })
	}
	takers.Wait()
	close(taken)
	granted := 0
	for each := range taken {
		if each {
			granted++
		}
	}
	expect.Expect(bound.InUse()).To(Equal(int64(10 * granted)))
	expect.Expect(bound.InUse()).To(BeNumerically("<=", 1000))
	bound.Release(bound.InUse())
	expect.Expect(bound.TryAcquire(1000)).To(BeTrue())
	expect.Expect(bound.TryAcquire(1)).To(BeFalse())
	expect.Expect(bound.Exhausted()).To(BeTrue())
}

func TestNoLimitTakesEverything(t *testing.T) {
	expect := NewWithT(t)
	var none *heldbytes.Limiter
	expect.Expect(none.TryAcquire(1 << 40)).To(BeTrue())
	expect.Expect(none.InUse()).To(BeZero())
	open := heldbytes.New(0)
	expect.Expect(open.TryAcquire(1 << 40)).To(BeTrue())
	expect.Expect(open.InUse()).To(Equal(int64(1 << 40)))
	expect.Expect(open.Exhausted()).To(BeFalse())
}
