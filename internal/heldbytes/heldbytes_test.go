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
		takers.Go(func() { taken <- bound.TryTake(10) })
	}
	takers.Wait()
	close(taken)
	granted := 0
	for each := range taken {
		if each {
			granted++
		}
	}
	expect.Expect(bound.Held()).To(Equal(int64(10 * granted)))
	expect.Expect(bound.Held()).To(BeNumerically("<=", 1000))
	bound.Release(bound.Held())
	expect.Expect(bound.TryTake(1000)).To(BeTrue())
	expect.Expect(bound.TryTake(1)).To(BeFalse())
	expect.Expect(bound.Full()).To(BeTrue())
}

func TestNoLimitTakesEverything(t *testing.T) {
	expect := NewWithT(t)
	var none *heldbytes.Bound
	expect.Expect(none.TryTake(1 << 40)).To(BeTrue())
	expect.Expect(none.Held()).To(BeZero())
	open := heldbytes.New(0)
	expect.Expect(open.TryTake(1 << 40)).To(BeTrue())
	expect.Expect(open.Held()).To(Equal(int64(1 << 40)))
	expect.Expect(open.Full()).To(BeFalse())
}
