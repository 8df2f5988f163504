package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestQueueOrder wakes requests that are all in the queue, without the wake-ups by time.
func TestQueueOrder(t *testing.T) {
	expect := NewWithT(t)
	queue := NewWaitQueue()
	queue.services["s"] = &waiters{armed: true}
	begins := time.Now()
	enter := func(aim time.Time) *waiting {
		entered := &waiting{aim: aim, late: aim.Before(begins), woken: make(chan struct{}, 1)}
		queue.enter("s", entered)
		return entered
	}
	late := enter(begins.Add(-time.Hour))
	later := enter(begins.Add(2 * time.Hour))
	leaves := enter(begins.Add(time.Minute))
	soon := enter(begins.Add(time.Hour))
	queue.leave("s", leaves)
	for _, next := range []*waiting{soon, later, late} {
		expect.Expect(queue.HasWaiters("s")).To(BeTrue())
		queue.WakeNext("s")
		expect.Expect(next.woken).To(Receive())
	}
	expect.Expect(queue.HasWaiters("s")).To(BeFalse())
	expect.Expect(leaves.woken).NotTo(Receive())
}
