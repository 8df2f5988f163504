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
	// queuePoll is how long the first of a queue waits at most for a wake-up where rooms
	// are not heeded, and for a place that is known to be free.
	queuePoll = 12 * time.Millisecond
	// longestLook separates two looks for room that no event tells of: a bound that is
	// forgotten, an engine that came. Looks ask no engine.
	longestLook = 100 * time.Millisecond
)

// CapacitySource knows what room engines have.
type CapacitySource interface {
	// FreeCapacity is how many more requests to a service engines have room for.
	FreeCapacity(service string, now time.Time) int
	// UpdateLoad takes in that the view of all nodes has changed; here counts the requests that
	// wait at this node.
	UpdateLoad(here map[load.QueueKey]int, now time.Time)
	// NextRetryTime is when an engine that has refused may be asked again, false where none has.
	NextRetryTime(service string, now time.Time) (time.Time, bool)
}

// Waiter is a request that waits for an engine of a service. Rank 0 is the most urgent.
type Waiter struct {
	Service  string
	Priority int
	// SoftDeadline is when the request's program should be over.
	SoftDeadline time.Time
	// MayAttempt tells whether the request may ask an engine now; nil is always. One that may not
	// keeps its place and is not woken: it would take the turn of others for nothing.
	MayAttempt func() bool
}

// WaitQueue holds the requests that wait for an engine, by service, in order of their ranks
// and of what is left to the aims of their programs. It is safe for concurrent use.
//
// It answers the load of more calls than engines have room for. Requests are woken by
// events that show room, and no more of them than there is room for: where each was woken
// by a clock and asked all engines in turn, the asks took more of the engines' time than
// the work.
type WaitQueue struct {
	mutex    sync.Mutex
	services map[string]*waiters
	// rooms is nil where the first is woken by each event and by a clock.
	rooms CapacitySource
	// now is the clock, and after runs a function later by it.
	now   func() time.Time
	after func(while time.Duration, run func())
}

// NewWaitQueue returns an empty queue.
func NewWaitQueue() *WaitQueue {
	after := func(while time.Duration, run func()) { time.AfterFunc(while, run) }
	return &WaitQueue{services: map[string]*waiters{}, now: time.Now, after: after}
}

// SetCapacitySource has the queue heed what room there is. It is called before anything else.
func (queue *WaitQueue) SetCapacitySource(rooms CapacitySource) { queue.rooms = rooms }

// paced tells whether requests are woken only where there is room.
func (queue *WaitQueue) paced() bool {
	return queue.rooms != nil && feature.Enabled(feature.LoadBasedCapacity)
}

// waiters are the requests that wait for engines of one service.
type waiters struct {
	ordered order
	// armed is true while a look for room is due.
	armed bool
	// due is when that look is; looks for which it has become another time are void.
	due time.Time
}

// waiting is one request in the queue.
type waiting struct {
	rank   int
	aim    time.Time
	late   bool
	mayAsk func() bool
	woken  chan struct{}
	index  int
}

func newWaiting(waiter Waiter, now time.Time) *waiting {
	return &waiting{rank: waiter.Priority, aim: waiter.SoftDeadline, late: !waiter.SoftDeadline.After(now), mayAsk: waiter.MayAttempt, woken: make(chan struct{}, 1)}
}

// CountByPriority counts the requests to a service in the queue, by rank.
func (queue *WaitQueue) CountByPriority(service string) map[int]int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	found := queue.services[service]
	if found == nil {
		return nil
	}
	return found.byRank()
}

// HasWaiters tells whether requests to a service are in the queue.
func (queue *WaitQueue) HasWaiters(service string) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	found := queue.services[service]
	return found != nil && len(found.ordered) > 0
}

// Counts counts the requests in the queue, by service and rank.
func (queue *WaitQueue) Counts() map[load.QueueKey]int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.counts()
}

func (queue *WaitQueue) counts() map[load.QueueKey]int {
	counts := map[load.QueueKey]int{}
	for service, found := range queue.services {
		for _, each := range found.ordered {
			counts[load.QueueKey{Service: service, Priority: each.rank}]++
		}
	}
	return counts
}

// Ahead is the number of requests that come before one that would enter the queue now.
func (queue *WaitQueue) Ahead(waiter Waiter, now time.Time) int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	found := queue.services[waiter.Service]
	if found == nil {
		return 0
	}
	mine := newWaiting(waiter, now)
	ahead := 0
	for _, each := range found.ordered {
		if !mine.before(each) {
			ahead++
		}
	}
	return ahead
}

// Wait returns when it is the request's turn to look for an engine, or after patience, or
// when ctx ends. More urgent ranks come first, and among equals requests with the nearest
// aim; those whose aim is over come last, for their programs gain little any more.
func (queue *WaitQueue) Wait(ctx context.Context, waiter Waiter, patience time.Duration) {
	mine := newWaiting(waiter, queue.now())
	queue.enter(waiter.Service, mine)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-mine.woken:
	case <-timer.C:
	case <-ctx.Done():
	}
	waited := queue.leave(waiter.Service, mine)
	if !waited && ctx.Err() != nil {
		// Its caller left just as its turn came, which is now another one's.
		queue.WakeNext(waiter.Service)
	}
}

func (queue *WaitQueue) enter(service string, mine *waiting) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	found := queue.services[service]
	if found == nil {
		found = &waiters{}
		queue.services[service] = found
	}
	heap.Push(&found.ordered, mine)
	queue.arm(service, found, queue.now())
}

// leave takes a request out of the queue; it is false where its turn had come.
func (queue *WaitQueue) leave(service string, mine *waiting) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if mine.index < 0 {
		return false
	}
	heap.Remove(&queue.services[service].ordered, mine.index)
	return true
}

// arm makes sure that there is a look for room though no event tells of any.
func (queue *WaitQueue) arm(service string, found *waiters, now time.Time) {
	if len(found.ordered) == 0 {
		return
	}
	pause := queue.pause(service, now)
	due := now.Add(pause)
	if found.armed && !due.Before(found.due) {
		return
	}
	found.armed = true
	found.due = due
	queue.after(pause, func() { queue.look(service, due) })
}

// pause is how long after now to look for room.
func (queue *WaitQueue) pause(service string, now time.Time) time.Duration {
	if !queue.paced() || queue.rooms.FreeCapacity(service, now) > 0 {
		return queuePoll
	}
	next, refused := queue.rooms.NextRetryTime(service, now)
	if refused {
		return min(next.Sub(now), longestLook)
	}
	return longestLook
}

// look wakes requests for room that no event told of, where it is due.
func (queue *WaitQueue) look(service string, due time.Time) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	found := queue.services[service]
	if found == nil || !found.due.Equal(due) {
		return
	}
	found.armed = false
	now := queue.now()
	queue.wakeFor(found, queue.roomToLookFor(service, now))
	queue.arm(service, found, now)
}

// roomToLookFor is how many requests a look may wake.
func (queue *WaitQueue) roomToLookFor(service string, now time.Time) int {
	if !queue.paced() {
		return 1
	}
	return queue.rooms.FreeCapacity(service, now)
}

// WakeNext lets the first in the queue for a service look for an engine: a request of this node
// has ended there.
func (queue *WaitQueue) WakeNext(service string) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := queue.now()
	found := queue.services[service]
	if found == nil || len(found.ordered) == 0 {
		return
	}
	if !queue.paced() || queue.rooms.FreeCapacity(service, now) > 0 {
		queue.wakeFor(found, 1)
	}
	queue.arm(service, found, now)
}

// WakeForLoadUpdate is called when the view of the load has changed. It lets as many requests look
// for an engine as this node's part of the room that it shows.
func (queue *WaitQueue) WakeForLoadUpdate() {
	if !queue.paced() {
		return
	}
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	now := queue.now()
	queue.rooms.UpdateLoad(queue.counts(), now)
	for service, found := range queue.services {
		if len(found.ordered) > 0 {
			queue.wakeFor(found, queue.rooms.FreeCapacity(service, now))
			queue.arm(service, found, now)
		}
	}
}

// wakeFor wakes the first requests of a queue that may ask. The caller holds the mutex.
func (queue *WaitQueue) wakeFor(found *waiters, most int) {
	var passedOver []*waiting
	for woken := 0; woken < most && len(found.ordered) > 0; {
		first := heap.Pop(&found.ordered).(*waiting)
		if first.mayAsk != nil && !first.mayAsk() {
			passedOver = append(passedOver, first)
			continue
		}
		first.woken <- struct{}{}
		woken++
	}
	for _, each := range passedOver {
		heap.Push(&found.ordered, each)
	}
}

// byRank counts the requests by rank.
func (found *waiters) byRank() map[int]int {
	counts := map[int]int{}
	for _, each := range found.ordered {
		counts[each.rank]++
	}
	return counts
}

// ranksOf returns the ranks of a count, the most urgent first.
func ranksOf(counts map[int]int) []int {
	ranks := make([]int, 0, len(counts))
	for rank := range counts {
		ranks = append(ranks, rank)
	}
	slices.Sort(ranks)
	return ranks
}

// order implements heap.Interface.
type order []*waiting

func (order order) Len() int { return len(order) }

func (order order) Less(left, right int) bool { return order[left].before(order[right]) }

// before tells whether a request's turn comes before another one's.
func (request *waiting) before(other *waiting) bool {
	if !feature.Enabled(feature.QueueOrder) {
		return false
	}
	if request.rank != other.rank && feature.Enabled(feature.LoadBasedCapacity) {
		return request.rank < other.rank
	}
	if request.late != other.late {
		return other.late
	}
	return request.aim.Before(other.aim)
}

func (order order) Swap(left, right int) {
	order[left], order[right] = order[right], order[left]
	order[left].index = left
	order[right].index = right
}

func (order *order) Push(element any) {
	added := element.(*waiting)
	added.index = len(*order)
	*order = append(*order, added)
}

func (order *order) Pop() any {
	last := len(*order) - 1
	removed := (*order)[last]
	*order = (*order)[:last]
	removed.index = -1
	return removed
}
