package backend

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

// linePoll is how long the first of a line waits at most for a wake-up.
const linePoll = 12 * time.Millisecond

// Line holds the requests that wait for an engine, by service, in order of what
// is left to the aims of their programs. It is safe for concurrent use.
type Line struct {
	mutex    sync.Mutex
	services map[string]*waiters
}

// NewLine returns an empty line.
func NewLine() *Line { return &Line{services: map[string]*waiters{}} }

// waiters are the requests that wait for engines of one service.
type waiters struct {
	ordered order
	// armed is true while a wake-up is due.
	armed bool
}

// waiting is one request in line.
type waiting struct {
	aim   time.Time
	late  bool
	woken chan struct{}
	index int
}

// Waits tells whether requests to a service are in line.
func (line *Line) Waits(service string) bool {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	found := line.services[service]
	return found != nil && len(found.ordered) > 0
}

// Wait returns when it is the request's turn to look for an engine, or after
// patience, or when ctx ends. Requests with the nearest aim come first; those
// whose aim is over come last, for their programs gain little any more.
func (line *Line) Wait(ctx context.Context, service string, aim time.Time, patience time.Duration) {
	mine := &waiting{aim: aim, late: !aim.After(time.Now()), woken: make(chan struct{}, 1)}
	line.enter(service, mine)
	defer line.leave(service, mine)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-mine.woken:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (line *Line) enter(service string, mine *waiting) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	found := line.services[service]
	if found == nil {
		found = &waiters{}
		line.services[service] = found
	}
	heap.Push(&found.ordered, mine)
	line.arm(service, found)
}

func (line *Line) leave(service string, mine *waiting) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	if mine.index >= 0 {
		heap.Remove(&line.services[service].ordered, mine.index)
	}
}

// arm makes sure that the first in line looks again though nothing ends.
func (line *Line) arm(service string, found *waiters) {
	if found.armed {
		return
	}
	found.armed = true
	time.AfterFunc(linePoll, func() {
		line.mutex.Lock()
		found.armed = false
		line.mutex.Unlock()
		line.Wake(service)
	})
}

// Wake lets the first in line for a service look for an engine.
func (line *Line) Wake(service string) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	found := line.services[service]
	if found == nil || len(found.ordered) == 0 {
		return
	}
	first := heap.Pop(&found.ordered).(*waiting)
	first.woken <- struct{}{}
	if len(found.ordered) > 0 {
		line.arm(service, found)
	}
}

// order implements heap.Interface.
type order []*waiting

func (order order) Len() int { return len(order) }

func (order order) Less(left, right int) bool {
	if !feature.Enabled(feature.OrderedLine) {
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
