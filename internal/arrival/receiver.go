package arrival

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// driftShare bounds how much faster one machine's clock may run than
	// another's: the least difference rises by this share of the time.
	driftShare = 0.001
	// senderMemory is how long a sender that is not heard is remembered, and
	// maximumSenders bounds how many are.
	senderMemory   = time.Hour
	maximumSenders = 4096
)

// Receiver judges the stamped requests of all senders. It is safe for
// concurrent use.
type Receiver struct {
	lock    sync.Mutex
	senders map[string]*baseline
}

// baseline is the least difference of clocks that a sender's requests showed.
type baseline struct {
	difference time.Duration
	at         time.Duration
}

// NewReceiver returns a receiver that has heard nobody.
func NewReceiver() *Receiver {
	return &Receiver{senders: make(map[string]*baseline)}
}

// Expired tells whether the sender of a request has given it up by now, the
// receiver's own monotonic time. A request without a stamp, and the first one
// of a sender, is not late.
func (receiver *Receiver) Expired(header http.Header, now time.Duration) bool {
	sender := header.Get(headerSender)
	sent, sentErr := milliseconds(header.Get(headerSent))
	waits, waitsErr := milliseconds(header.Get(headerWaits))
	if sender == "" || sentErr != nil || waitsErr != nil {
		return false
	}
	return receiver.delay(sender, now-sent, now) > waits
}

// delay is how much longer a request was under way than the fastest one.
func (receiver *Receiver) delay(sender string, difference, now time.Duration) time.Duration {
	receiver.lock.Lock()
	defer receiver.lock.Unlock()
	known := receiver.senders[sender]
	if known == nil {
		receiver.forget(now)
		receiver.senders[sender] = &baseline{difference: difference, at: now}
		return 0
	}
	drift := time.Duration(float64(now-known.at) * driftShare)
	known.difference = min(known.difference+drift, difference)
	known.at = now
	return difference - known.difference
}

// forget makes room for a new sender.
func (receiver *Receiver) forget(now time.Duration) {
	if len(receiver.senders) < maximumSenders {
		return
	}
	for name, known := range receiver.senders {
		if now-known.at > senderMemory {
			delete(receiver.senders, name)
		}
	}
	if len(receiver.senders) >= maximumSenders {
		clear(receiver.senders)
	}
}

func milliseconds(text string) (time.Duration, error) {
	count, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(count) * time.Millisecond, err
}
