package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestWaitQueueOrderBySoftDeadline covers the order of wake-ups, with polling disabled.
func TestWaitQueueOrderBySoftDeadline(t *testing.T) {
	expect := NewWithT(t)
	queue := NewWaitQueue()
	queue.services["s"] = &serviceQueue{pollScheduled: true}
	start := time.Now()
	enqueue := func(deadline time.Time) *queuedRequest {
		request := &queuedRequest{softDeadline: deadline, overdue: deadline.Before(start), woken: make(chan struct{}, 1)}
		queue.enqueue("s", request)
		return request
	}
	overdue := enqueue(start.Add(-time.Hour))
	later := enqueue(start.Add(2 * time.Hour))
	removed := enqueue(start.Add(time.Minute))
	soon := enqueue(start.Add(time.Hour))
	queue.remove("s", removed)
	for _, next := range []*queuedRequest{soon, later, overdue} {
		expect.Expect(queue.HasWaiters("s")).To(BeTrue())
		queue.WakeNext("s")
		expect.Expect(next.woken).To(Receive())
	}
	expect.Expect(queue.HasWaiters("s")).To(BeFalse())
	expect.Expect(removed.woken).NotTo(Receive())
}
