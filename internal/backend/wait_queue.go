package backend

import (
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
)

const (
	// queuePollInterval is the poll interval if capacity is known to be free, and if the queue
	// has no source of capacity.
	queuePollInterval = 12 * time.Millisecond
	// maxPollInterval bounds the time between two polls for capacity that no event announces,
	// such as an expired limit or a new engine. Polls send nothing to engines.
	maxPollInterval = 100 * time.Millisecond
)

// CapacitySource provides the free capacity of the engines.
type CapacitySource interface {
	// FreeCapacity returns how many more requests to a service can be sent.
	FreeCapacity(service string, now time.Time) int
	// UpdateLoad processes a new load view of all nodes. waiting counts the requests waiting
	// at this node.
	UpdateLoad(waiting map[load.QueueKey]int, now time.Time)
	// NextRetryTime returns when an engine that has refused a request may be tried again, false
	// if there is none.
	NextRetryTime(service string, now time.Time) (time.Time, bool)
}

// Waiter is a request waiting for an engine of a service. Priority 0 is the most urgent.
type Waiter struct {
	Service  string
	Priority int
	// SoftDeadline is when the request's program should finish.
	SoftDeadline time.Time
	// Resumes is true for a request that resumes a stream: its caller already has a part of it.
	Resumes bool
	// MayAttempt reports whether the request may be sent to an engine now; nil means always. If
	// it returns false, the request keeps its position and others are woken instead.
	MayAttempt func() bool
}

// WaitQueue holds the requests waiting for an engine, by service, ordered by priority, resumptions
// before new requests, and soft deadline. It is safe for concurrent use.
//
// Under overload, requests that each poll the engines would cost more engine time than the work
// itself. Requests are therefore woken by events that indicate free capacity, and no more of
// them than there is capacity for.
type WaitQueue struct {
	mutex    sync.Mutex
	services map[string]*serviceQueue
	// capacity is nil if requests are woken one at a time by any event or by polling.
	capacity CapacitySource
	// now and after are replaced in tests.
	now   func() time.Time
	after func(delay time.Duration, run func())
}

// NewWaitQueue returns an empty queue.
func NewWaitQueue() *WaitQueue {
	after := func(delay time.Duration, run func()) { time.AfterFunc(delay, run) }
	return &WaitQueue{services: map[string]*serviceQueue{}, now: time.Now, after: after}
}

// SetCapacitySource makes the queue wake requests according to free capacity. It must be called
// before any other method.
func (queue *WaitQueue) SetCapacitySource(source CapacitySource) { queue.capacity = source }

// capacityAware reports whether requests are woken only if there is free capacity.
func (queue *WaitQueue) capacityAware() bool {
	return queue.capacity != nil && feature.Enabled(feature.LoadBasedCapacity)
}

// serviceQueue holds the requests waiting for engines of one service.
type serviceQueue struct {
	requests requestHeap
	// pollScheduled is true while a poll is scheduled.
	pollScheduled bool
	// pollAt is when that poll is due. Timers set for another time are obsolete.
	pollAt time.Time
}

// queuedRequest is one request in the queue.
type queuedRequest struct {
	priority     int
	softDeadline time.Time
	overdue      bool
	resumes      bool
	mayAttempt   func() bool
	woken        chan struct{}
	index        int
}

func newQueuedRequest(waiter Waiter, now time.Time) *queuedRequest {
	return &queuedRequest{priority: waiter.Priority, softDeadline: waiter.SoftDeadline, overdue: !waiter.SoftDeadline.After(now), resumes: waiter.Resumes, mayAttempt: waiter.MayAttempt, woken: make(chan struct{}, 1)}
}

// CountByPriority returns the number of waiting requests to a service by priority.
func (queue *WaitQueue) CountByPriority(service string) map[int]int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	pending := queue.services[service]
	if pending == nil {
		return nil
	}
	return pending.countByPriority()
}

// HasWaiters reports whether requests to a service are waiting.
func (queue *WaitQueue) HasWaiters(service string) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	pending := queue.services[service]
	return pending != nil && len(pending.requests) > 0
}

// Counts returns the number of waiting requests by service and priority.
func (queue *WaitQueue) Counts() map[load.QueueKey]int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.counts()
}

func (queue *WaitQueue) counts() map[load.QueueKey]int {
	counts := map[load.QueueKey]int{}
	for service, pending := range queue.services {
		for _, request := range pending.requests {
			counts[load.QueueKey{Service: service, Priority: request.priority}]++
		}
	}
	return counts
}

// Ahead returns the number of requests that would be ahead of a new one.
func (queue *WaitQueue) Ahead(waiter Waiter, now time.Time) int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	pending := queue.services[waiter.Service]
	if pending == nil {
		return 0
	}
	request := newQueuedRequest(waiter, now)
	ahead := 0
	for _, queued := range pending.requests {
		if !request.before(queued) {
			ahead++
		}
	}
	return ahead
}

// Wait blocks until the request may try an engine, maxWait has elapsed, or ctx is done.
// Requests are woken by priority, then by soft deadline; those past their soft deadline come
// last within their priority, as their programs have little left to gain.
func (queue *WaitQueue) Wait(ctx context.Context, waiter Waiter, maxWait time.Duration) {
	request := newQueuedRequest(waiter, queue.now())
	queue.enqueue(waiter.Service, request)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-request.woken:
	case <-timer.C:
	case <-ctx.Done():
	}
	removed := queue.remove(waiter.Service, request)
	if !removed && ctx.Err() != nil {
		// The caller left just as the request was woken; pass the wake-up on.
		queue.WakeNext(waiter.Service)
	}
}

func (queue *WaitQueue) enqueue(service string, request *queuedRequest) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	pending := queue.services[service]
	if pending == nil {
		pending = &serviceQueue{}
		queue.services[service] = pending
	}
	heap.Push(&pending.requests, request)
	queue.schedulePoll(service, pending, queue.now())
}

// remove removes a request from the queue. It returns false if the request was already woken.
func (queue *WaitQueue) remove(service string, request *queuedRequest) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if request.index < 0 {
		return false
	}
	heap.Remove(&queue.services[service].requests, request.index)
	return true
}

// schedulePoll schedules the next poll for capacity.
func (queue *WaitQueue) schedulePoll(service string, pending *serviceQueue, now time.Time) {
	if len(pending.requests) == 0 {
		return
	}
	interval := queue.pollInterval(service, now)
	pollAt := now.Add(interval)
	if pending.pollScheduled && !pollAt.Before(pending.pollAt) {
		return
	}
	pending.pollScheduled = true
	pending.pollAt = pollAt
	queue.after(interval, func() { queue.poll(service, pollAt) })
}

// pollInterval returns the time until the next poll for capacity.
func (queue *WaitQueue) pollInterval(service string, now time.Time) time.Duration {
	if !queue.capacityAware() || queue.capacity.FreeCapacity(service, now) > 0 {
		return queuePollInterval
	}
	next, refused := queue.capacity.NextRetryTime(service, now)
	if refused {
		return min(next.Sub(now), maxPollInterval)
	}
	return maxPollInterval
}

// poll wakes requests if there is capacity, unless another poll has been scheduled in its place.
func (queue *WaitQueue) poll(service string, pollAt time.Time) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	pending := queue.services[service]
	if pending == nil || !pending.pollAt.Equal(pollAt) {
		return
	}
	pending.pollScheduled = false
	now := queue.now()
	queue.wakeAtMost(pending, queue.wakeLimit(service, now))
	queue.schedulePoll(service, pending, now)
}

// wakeLimit is the number of requests a poll may wake.
func (queue *WaitQueue) wakeLimit(service string, now time.Time) int {
	if !queue.capacityAware() {
		return 1
	}
	return queue.capacity.FreeCapacity(service, now)
}

// WakeNext wakes the first request waiting for a service after a request of this node has
// finished there.
func (queue *WaitQueue) WakeNext(service string) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := queue.now()
	pending := queue.services[service]
	if pending == nil || len(pending.requests) == 0 {
		return
	}
	if !queue.capacityAware() || queue.capacity.FreeCapacity(service, now) > 0 {
		queue.wakeAtMost(pending, 1)
	}
	queue.schedulePoll(service, pending, now)
}

// WakeForLoadUpdate recomputes the free capacity after the load view has changed, and wakes as
// many requests as it allows.
func (queue *WaitQueue) WakeForLoadUpdate() {
	if !queue.capacityAware() {
		return
	}
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := queue.now()
	queue.capacity.UpdateLoad(queue.counts(), now)
	for service, pending := range queue.services {
		if len(pending.requests) > 0 {
			queue.wakeAtMost(pending, queue.capacity.FreeCapacity(service, now))
			queue.schedulePoll(service, pending, now)
		}
	}
}

// wakeAtMost wakes the first requests that may be sent, at most limit of them. The caller holds
// the mutex.
func (queue *WaitQueue) wakeAtMost(pending *serviceQueue, limit int) {
	var skipped []*queuedRequest
	for woken := 0; woken < limit && len(pending.requests) > 0; {
		first := heap.Pop(&pending.requests).(*queuedRequest)
		if first.mayAttempt != nil && !first.mayAttempt() {
			skipped = append(skipped, first)
			continue
		}
		first.woken <- struct{}{}
		woken++
	}
	for _, request := range skipped {
		heap.Push(&pending.requests, request)
	}
}

func (pending *serviceQueue) countByPriority() map[int]int {
	counts := map[int]int{}
	for _, request := range pending.requests {
		counts[request.priority]++
	}
	return counts
}

// sortedPriorities returns the priorities in a count, the most urgent first.
func sortedPriorities(counts map[int]int) []int {
	priorities := make([]int, 0, len(counts))
	for priority := range counts {
		priorities = append(priorities, priority)
	}
	slices.Sort(priorities)
	return priorities
}

// requestHeap implements heap.Interface.
type requestHeap []*queuedRequest

func (requests requestHeap) Len() int { return len(requests) }

func (requests requestHeap) Less(left, right int) bool { return requests[left].before(requests[right]) }

// before reports whether a request is to be woken before another.
func (request *queuedRequest) before(other *queuedRequest) bool {
	if !feature.Enabled(feature.QueueOrder) {
		return false
	}
	if request.priority != other.priority && feature.Enabled(feature.LoadBasedCapacity) {
		return request.priority < other.priority
	}
	if request.resumes != other.resumes {
		return request.resumes
	}
	if request.overdue != other.overdue {
		return other.overdue
	}
	return request.softDeadline.Before(other.softDeadline)
}

func (requests requestHeap) Swap(left, right int) {
	requests[left], requests[right] = requests[right], requests[left]
	requests[left].index = left
	requests[right].index = right
}

func (requests *requestHeap) Push(element any) {
	added := element.(*queuedRequest)
	added.index = len(*requests)
	*requests = append(*requests, added)
}

func (requests *requestHeap) Pop() any {
	last := len(*requests) - 1
	removed := (*requests)[last]
	*requests = (*requests)[:last]
	removed.index = -1
	return removed
}
