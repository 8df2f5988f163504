package backend

import (
	"context"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

// fakeCapacity is a CapacitySource with fixed results.
type fakeCapacity struct {
	free    int
	retryAt time.Time
	// waiting is the argument of the last UpdateLoad.
	waiting map[load.QueueKey]int
}

func (source *fakeCapacity) FreeCapacity(string, time.Time) int { return source.free }
func (source *fakeCapacity) NextRetryTime(string, time.Time) (time.Time, bool) {
	return source.retryAt, !source.retryAt.IsZero()
}
func (source *fakeCapacity) UpdateLoad(waiting map[load.QueueKey]int, _ time.Time) {
	source.waiting = waiting
}

// manualQueue is a queue with a fixed clock. delays and timers are those of its scheduled
// polls.
type manualQueue struct {
	*WaitQueue
	source *fakeCapacity
	delays []time.Duration
	timers []func()
}

func newManualQueue() *manualQueue {
	queue := &manualQueue{WaitQueue: NewWaitQueue(), source: &fakeCapacity{}}
	queue.SetCapacitySource(queue.source)
	queue.now = func() time.Time { return testNow }
	queue.after = func(delay time.Duration, run func()) {
		queue.delays = append(queue.delays, delay)
		queue.timers = append(queue.timers, run)
	}
	return queue
}

// enqueueWith adds a request whose soft deadline is untilDeadline after testNow.
func (queue *manualQueue) enqueueWith(priority int, untilDeadline time.Duration) *queuedRequest {
	request := newQueuedRequest(Waiter{Priority: priority, SoftDeadline: testNow.Add(untilDeadline)}, testNow)
	queue.enqueue("s", request)
	return request
}

func TestWaitQueueOrderByPriority(t *testing.T) {
	expect := NewWithT(t)
	queue := newManualQueue()
	queue.source.free = 1
	overdueUrgent, later, soon := queue.enqueueWith(0, -time.Second), queue.enqueueWith(2, time.Hour), queue.enqueueWith(2, time.Second)
	urgent := queue.enqueueWith(0, time.Hour)
	expect.Expect(queue.Counts()).To(Equal(map[load.QueueKey]int{{Service: "s", Priority: 0}: 2, {Service: "s", Priority: 2}: 2}))
	expect.Expect(queue.Ahead(Waiter{Service: "s", Priority: 1, SoftDeadline: testNow}, testNow)).To(Equal(2))
	for _, next := range []*queuedRequest{urgent, overdueUrgent, soon, later} {
		queue.WakeNext("s")
		expect.Expect(next.woken).To(Receive())
	}
}

func TestWaitQueueWakesNoMoreThanFreeCapacity(t *testing.T) {
	expect := NewWithT(t)
	queue := newManualQueue()
	for range 5 {
		queue.enqueueWith(1, time.Hour)
	}
	queue.WakeNext("s")
	expect.Expect(queue.CountByPriority("s")).To(Equal(map[int]int{1: 5}), "no free capacity after a request has finished")
	queue.source.free = 2
	queue.WakeForLoadUpdate()
	expect.Expect(queue.source.waiting).To(Equal(map[load.QueueKey]int{{Service: "s", Priority: 1}: 5}))
	expect.Expect(queue.CountByPriority("s")).To(Equal(map[int]int{1: 3}))
	queue.WakeNext("s")
	expect.Expect(queue.CountByPriority("s")).To(Equal(map[int]int{1: 2}))
}

func TestWaitQueuePollsWhenEngineMayBeRetried(t *testing.T) {
	expect := NewWithT(t)
	queue := newManualQueue()
	request := queue.enqueueWith(1, time.Hour)
	expect.Expect(queue.delays).To(Equal([]time.Duration{maxPollInterval}), "no backoff to wait for")
	queue.source.retryAt = testNow.Add(fullBackoff)
	queue.enqueueWith(1, time.Hour)
	expect.Expect(queue.delays).To(Equal([]time.Duration{maxPollInterval, fullBackoff}))
	queue.enqueueWith(1, time.Hour)
	expect.Expect(queue.delays).To(HaveLen(2), "an earlier poll is scheduled")
	queue.source.free = 1
	queue.timers[0]()
	expect.Expect(request.woken).NotTo(Receive(), "the later poll is obsolete")
	queue.timers[1]()
	expect.Expect(request.woken).To(Receive())
}

func TestCanceledWaitWakesNextRequest(t *testing.T) {
	expect := NewWithT(t)
	queue := newManualQueue()
	queue.source.free = 1
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	next := queue.enqueueWith(2, time.Hour)
	// The caller leaves just as its request is woken.
	queue.after = func(time.Duration, func()) {}
	queue.mutex.Lock()
	go func() {
		queue.Wait(ctx, Waiter{Service: "s", SoftDeadline: testNow.Add(time.Hour)}, time.Hour)
		close(returned)
	}()
	queue.mutex.Unlock()
	expect.Eventually(func() int { return queue.CountByPriority("s")[0] }).Should(Equal(1))
	cancel()
	queue.WakeNext("s")
	expect.Eventually(returned).Should(BeClosed())
	expect.Expect(queue.CountByPriority("s")[0]).To(BeZero())
	expect.Eventually(func() int {
		queue.WakeNext("s")
		return len(next.woken)
	}).Should(Equal(1), "the next request is woken")
}
