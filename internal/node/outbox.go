package node

import (
	"sync"
	"time"
)

// outbox delivers items in batches, one at a time: what is added during a delivery is part of the
// next one. It is safe for concurrent use.
type outbox[Item any] struct {
	deliver func(items []Item)
	// maxBatch bounds the items of one delivery.
	maxBatch int

	mutex   sync.Mutex
	pending []Item
	// delivered is closed once pending has been delivered; nil if pending is empty.
	delivered  chan struct{}
	delivering bool
}

// add adds items that are to be delivered after a delay at the latest. It returns a channel that is
// closed once they have been.
func (outbox *outbox[Item]) add(items []Item, delay time.Duration) <-chan struct{} {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if outbox.delivered == nil {
		outbox.delivered = make(chan struct{})
	}
	outbox.pending = append(outbox.pending, items...)
	delivered := outbox.delivered
	switch {
	case outbox.delivering:
	case delay > 0:
		time.AfterFunc(delay, outbox.start)
	default:
		outbox.delivering = true
		go outbox.run()
	}
	return delivered
}

// addUpTo adds items that are to be delivered at once, unless more than a limit would be pending.
func (outbox *outbox[Item]) addUpTo(items []Item, limit int) {
	outbox.mutex.Lock()
	pending := len(outbox.pending)
	outbox.mutex.Unlock()
	if pending+len(items) <= limit {
		outbox.add(items, 0)
	}
}

// start starts a delivery unless one is under way.
func (outbox *outbox[Item]) start() {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if !outbox.delivering {
		outbox.delivering = true
		go outbox.run()
	}
}

// run delivers batches until nothing is pending.
func (outbox *outbox[Item]) run() {
	for {
		items, delivered := outbox.take()
		if delivered == nil {
			return
		}
		for first := 0; first < len(items); first += outbox.maxBatch {
			outbox.deliver(items[first:min(first+outbox.maxBatch, len(items))])
		}
		close(delivered)
	}
}

// take returns what is pending, or ends the delivery.
func (outbox *outbox[Item]) take() ([]Item, chan struct{}) {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	items, delivered := outbox.pending, outbox.delivered
	outbox.pending, outbox.delivered = nil, nil
	if delivered == nil {
		outbox.delivering = false
	}
	return items, delivered
}

// outboxes holds an outbox for each receiver, so that one that does not respond holds up no other. It
// is safe for concurrent use.
type outboxes[Item any] struct {
	deliver  func(receiver string, items []Item)
	maxBatch int

	mutex      sync.Mutex
	byReceiver map[string]*outbox[Item]
}

func newOutboxes[Item any](maxBatch int, deliver func(receiver string, items []Item)) *outboxes[Item] {
	return &outboxes[Item]{deliver: deliver, maxBatch: maxBatch, byReceiver: map[string]*outbox[Item]{}}
}

// startAll starts the delivery of all that is pending.
func (outboxes *outboxes[Item]) startAll() {
	outboxes.mutex.Lock()
	defer outboxes.mutex.Unlock()
	for _, each := range outboxes.byReceiver {
		each.start()
	}
}

// to returns the outbox of a receiver, creating it at its first use.
func (outboxes *outboxes[Item]) to(receiver string) *outbox[Item] {
	outboxes.mutex.Lock()
	defer outboxes.mutex.Unlock()
	found := outboxes.byReceiver[receiver]
	if found == nil {
		found = &outbox[Item]{deliver: func(items []Item) { outboxes.deliver(receiver, items) }, maxBatch: outboxes.maxBatch}
		outboxes.byReceiver[receiver] = found
	}
	return found
}
