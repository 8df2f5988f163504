// Package arrival detects requests that arrive after their sender has timed out, because a
// partition delayed them or the receiver was frozen. Such a request must have no effect, since
// its sender has already reported a failure to its caller.
//
// Sender and receiver have no common clock. The sender stamps each request with its own
// monotonic time; the receiver takes the smallest difference to its own time as that of a
// request without delay.
package arrival

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"time"
)

// Headers of a stamped request. Times are whole milliseconds.
const (
	headerSender  = "X-Magpielug-Sender"
	headerSent    = "X-Magpielug-Sent-Ms"
	headerTimeout = "X-Magpielug-Waits-Ms"
)

// Sender stamps the requests of one process. It is safe for concurrent use.
type Sender struct {
	name    string
	started time.Time
}

// NewSender returns a sender with a unique name.
func NewSender() *Sender {
	return &Sender{name: rand.Text(), started: time.Now()}
}

// Stamp marks a request as sent now, with the timeout after which its sender gives it up.
func (sender *Sender) Stamp(header http.Header, timeout time.Duration) {
	header.Set(headerSender, sender.name)
	header.Set(headerSent, strconv.FormatInt(time.Since(sender.started).Milliseconds(), 10))
	header.Set(headerTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
}
