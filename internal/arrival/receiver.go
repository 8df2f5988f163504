package arrival

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxClockDrift bounds the drift between the clocks of two machines: the smallest
	// difference grows by this fraction of the time.
	maxClockDrift = 0.001
	// senderTTL is how long an inactive sender is remembered, and maxSenders how many senders
	// are.
	senderTTL  = time.Hour
	maxSenders = 4096
)

// Receiver checks the stamped requests of all senders. It is safe for concurrent use.
type Receiver struct {
	lock    sync.Mutex
	senders map[string]*clockOffset
}

// clockOffset is the smallest difference between the receiver's clock and a sender's, as of
// updatedAt.
type clockOffset struct {
	offset    time.Duration
	updatedAt time.Duration
}

// NewReceiver returns a receiver that knows no senders.
func NewReceiver() *Receiver {
	return &Receiver{senders: make(map[string]*clockOffset)}
}

// Expired reports whether the sender of a request has given it up by now, the receiver's own
// monotonic time. It is false for a request without a valid stamp, and for the first one of a
// sender.
func (receiver *Receiver) Expired(header http.Header, now time.Duration) bool {
	sender := header.Get(headerSender)
	sent, sentErr := milliseconds(header.Get(headerSent))
	timeout, timeoutErr := milliseconds(header.Get(headerTimeout))
	if sender == "" || sentErr != nil || timeoutErr != nil {
		return false
	}
	return receiver.transitDelay(sender, now-sent, now) > timeout
}

// transitDelay returns how much longer a request was in transit than the fastest one of its
// sender.
func (receiver *Receiver) transitDelay(sender string, offset, now time.Duration) time.Duration {
	receiver.lock.Lock()
	defer receiver.lock.Unlock()
	known := receiver.senders[sender]
	if known == nil {
		receiver.evictSenders(now)
		receiver.senders[sender] = &clockOffset{offset: offset, updatedAt: now}
		return 0
	}
	drift := time.Duration(float64(now-known.updatedAt) * maxClockDrift)
	known.offset = min(known.offset+drift, offset)
	known.updatedAt = now
	return offset - known.offset
}

// evictSenders makes space for a new sender.
func (receiver *Receiver) evictSenders(now time.Duration) {
	if len(receiver.senders) < maxSenders {
		return
	}
	for name, sender := range receiver.senders {
		if now-sender.updatedAt > senderTTL {
			delete(receiver.senders, name)
		}
	}
	if len(receiver.senders) >= maxSenders {
		clear(receiver.senders)
	}
}

func milliseconds(text string) (time.Duration, error) {
	count, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(count) * time.Millisecond, err
}
