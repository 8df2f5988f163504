// Package arrival finds requests that arrive so late that their sender has given
// them up: the network held them back while it was cut, or the receiver was
// frozen. Such a request must have no effect, since its sender has told its
// caller that it got no answer, and the caller has gone on.
//
// Sender and receiver have no common clock. The sender stamps each request with
// its own monotonic time; the receiver takes the least difference to its own
// time as that of a request that was not held back.
package arrival

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"time"
)

// Headers of a stamped request. Times are whole milliseconds.
const (
	headerSender = "X-Magpielug-Sender"
	headerSent   = "X-Magpielug-Sent-Ms"
	headerWaits  = "X-Magpielug-Waits-Ms"
)

// Sender stamps the requests of one process. It is safe for concurrent use.
type Sender struct {
	name  string
	begun time.Time
}

// NewSender returns a sender with a name of its own.
func NewSender() *Sender {
	return &Sender{name: rand.Text(), begun: time.Now()}
}

// Stamp marks a request as sent now; its sender gives it up after waits.
func (sender *Sender) Stamp(header http.Header, waits time.Duration) {
	header.Set(headerSender, sender.name)
	header.Set(headerSent, strconv.FormatInt(time.Since(sender.begun).Milliseconds(), 10))
	header.Set(headerWaits, strconv.FormatInt(waits.Milliseconds(), 10))
}
