package backend

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

// queuePoll is how long the first of a queue waits at most for a wake-up.
const queuePoll = 12 * time.Millisecond

// WaitQueue holds the requests that wait for an engine, by service, in order of what
// is left to the aims of their programs. It is safe for concurrent use.
type WaitQueue struct {
	mutex    sync.Mutex
	services map[string]*waiters
}

// NewWaitQueue returns an empty queue.
func NewWaitQueue() *WaitQueue { return &WaitQueue{services: map[string]*waiters{}} }

// waiters are the requests that wait for engines of one service.
type waiters struct {
	ordered order
	// armed is true while a wake-up is due.
	armed bool
}

// waiting is one request in the queue.
type waiting struct {
	aim   time.Time
	late  bool
	woken chan struct{}
	index int
}

// Waits tells whether requests to a service are in the queue.
func (queue *WaitQueue) Waits(service string) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	found := queue.services[service]
	return found != nil && len(found.ordered) > 0
}

// Wait returns when it is the request's turn to look for an engine, or after
// patience, or when ctx ends. Requests with the nearest aim come first; those
// whose aim is over come last, for their programs gain little any more.
func (queue *WaitQueue) Wait(ctx context.Context, service string, aim time.Time, patience time.Duration) {
	mine := &waiting{aim: aim, late: !aim.After(time.Now()), woken: make(chan struct{}, 1)}
	queue.enter(service, mine)
	defer queue.leave(service, mine)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-mine.woken:
	case <-timer.C:
	case <-ctx.Done():
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
	queue.arm(service, found)
}

func (queue *WaitQueue) leave(service string, mine *waiting) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if mine.index >= 0 {
		heap.Remove(&queue.services[service].ordered, mine.index)
	}
}

// arm makes sure that the first in the queue looks again though nothing ends.
func (queue *WaitQueue) arm(service string, found *waiters) {
	if found.armed {
		return
	}
	found.armed = true
	time.AfterFunc(queuePoll, func() {
		queue.mutex.Lock()
		found.armed = false
		queue.mutex.Unlock()
		queue.Wake(service)
	})
}

// Wake lets the first in the queue for a service look for an engine.
func (queue *WaitQueue) Wake(service string) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	found := queue.services[service]
	if found == nil || len(found.ordered) == 0 {
		return
	}
	first := heap.Pop(&found.ordered).(*waiting)
	first.woken <- struct{}{}
	if len(found.ordered) > 0 {
		queue.arm(service, found)
	}
}

// order implements heap.Interface.
type order []*waiting

func (order order) Len() int { return len(order) }

func (order order) Less(left, right int) bool {
	if !feature.Enabled(feature.QueueOrder) {
		return false
	}
	if order[left].late != order[right].late {
		return order[right].late
	}
	return order[left].aim.Before(order[right].aim)
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
