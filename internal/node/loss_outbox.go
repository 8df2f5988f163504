package node

import (
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/quarantine"
)

// lossOutbox delivers losses in batches, one at a time: what is added during a delivery is part of
// the next one. It is safe for concurrent use.
type lossOutbox struct {
	deliver func(losses []quarantine.Loss)

	mutex   sync.Mutex
	pending []quarantine.Loss
	// delivered is closed once pending has been delivered; nil if pending is empty.
	delivered  chan struct{}
	delivering bool
}

// add adds losses that are to be delivered after a delay at the latest. It returns a channel that is
// closed once they have been.
func (outbox *lossOutbox) add(losses []quarantine.Loss, delay time.Duration) <-chan struct{} {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if outbox.delivered == nil {
		outbox.delivered = make(chan struct{})
	}
	outbox.pending = append(outbox.pending, losses...)
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

// start starts a delivery unless one is under way.
func (outbox *lossOutbox) start() {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if !outbox.delivering {
		outbox.delivering = true
		go outbox.run()
	}
}

// run delivers batches until nothing is pending.
func (outbox *lossOutbox) run() {
	for {
		losses, delivered := outbox.take()
		if delivered == nil {
			return
		}
		for first := 0; first < len(losses); first += maxLossesPerMessage {
			outbox.deliver(losses[first:min(first+maxLossesPerMessage, len(losses))])
		}
		close(delivered)
	}
}

// take returns what is pending, or ends the delivery.
func (outbox *lossOutbox) take() ([]quarantine.Loss, chan struct{}) {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	losses, delivered := outbox.pending, outbox.delivered
	outbox.pending, outbox.delivered = nil, nil
	if delivered == nil {
		outbox.delivering = false
	}
	return losses, delivered
}
