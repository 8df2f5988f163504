package httpserver

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/heldbytes"
)

// Defaults for the fields of Limits.
const (
	DefaultMaxConnections    = 4096
	DefaultMaxInFlight       = 3072
	DefaultMaxBodyBytes      = 8 << 20
	DefaultMaxHeaderBytes    = 32 << 10
	DefaultWriteBuffer       = 256 << 10
	DefaultIdleTimeout       = 120 * time.Second
	DefaultRequestTimeout    = 20 * time.Second
	DefaultWriteTimeout      = 10 * time.Second
	DefaultRetryAfter        = time.Second
	DefaultDrainGrace        = time.Second
	DefaultFirstRequestGrace = 500 * time.Millisecond
)

// MinWriteBuffer is the lower bound of WriteBufferBytes; smaller values are raised to it.
const MinWriteBuffer = 4 * maxWriteSize

// Limits bounds the resources that clients can use. Zero fields take their defaults.
type Limits struct {
	// MaxConnections is the maximum number of open connections. The first request on a
	// connection over the limit is rejected with code TooManyConnections.
	MaxConnections int
	// MaxInFlight is the maximum number of concurrent requests. Further ones are
	// rejected with code TooManyConnections without waiting.
	MaxInFlight int
	// MaxBodyBytes is the maximum size of a request body. Larger ones are rejected with
	// code BodyTooLarge and not buffered.
	MaxBodyBytes int
	// MaxHeaderBytes is the maximum size of a request's target and headers together.
	MaxHeaderBytes int
	// WriteBufferBytes is the maximum number of response bytes buffered per connection.
	WriteBufferBytes int
	// RequestBytes bounds the request bytes buffered over all connections; nil means no bound.
	// Requests that do not fit are rejected with code TooManyConnections.
	RequestBytes *heldbytes.Limiter
	// ResponseBytes bounds the response bytes buffered over all connections; nil means no bound.
	// Once it is reached, each connection buffers a single write at a time.
	ResponseBytes *heldbytes.Limiter
	// DisableKeepAlives reports whether responses should carry Connection: close, so that clients
	// reconnect, possibly to another process; nil means never.
	DisableKeepAlives func() bool
	// IdleTimeout closes a connection without a request.
	IdleTimeout time.Duration
	// RequestTimeout closes a connection whose request is not complete this long after
	// its first byte.
	RequestTimeout time.Duration
	// WriteTimeout closes a connection whose client reads nothing for this long while
	// the write buffer is full.
	WriteTimeout time.Duration
	// RetryAfter is the retry delay sent with requests rejected by a limit.
	RetryAfter time.Duration
	// DrainGrace is how long Shutdown keeps accepting connections and keeps idle ones
	// open, so that clients can notice the shutdown. A request sent while its connection
	// closes would be lost.
	DrainGrace time.Duration
	// FirstRequestGrace is how long Shutdown waits, from a connection's opening, for its
	// first request before treating the connection as idle.
	FirstRequestGrace time.Duration
	// Exempt reports whether a request is excluded from MaxInFlight, such as a heartbeat
	// between processes; nil excludes none.
	Exempt func(request *http.Request) bool
}

// withDefaults returns a copy of limits with defaults in place of zero fields.
func (limits Limits) withDefaults() *Limits {
	limits.MaxConnections = positive(limits.MaxConnections, DefaultMaxConnections)
	limits.MaxInFlight = positive(limits.MaxInFlight, DefaultMaxInFlight)
	limits.MaxBodyBytes = positive(limits.MaxBodyBytes, DefaultMaxBodyBytes)
	limits.MaxHeaderBytes = positive(limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	limits.WriteBufferBytes = max(positive(limits.WriteBufferBytes, DefaultWriteBuffer), MinWriteBuffer)
	limits.IdleTimeout = positive(limits.IdleTimeout, DefaultIdleTimeout)
	limits.RequestTimeout = positive(limits.RequestTimeout, DefaultRequestTimeout)
	limits.WriteTimeout = positive(limits.WriteTimeout, DefaultWriteTimeout)
	limits.RetryAfter = positive(limits.RetryAfter, DefaultRetryAfter)
	limits.DrainGrace = positive(limits.DrainGrace, DefaultDrainGrace)
	limits.FirstRequestGrace = positive(limits.FirstRequestGrace, DefaultFirstRequestGrace)
	return &limits
}

// positive returns value if it is above zero, otherwise fallback.
func positive[Number int | time.Duration](value, fallback Number) Number {
	if value > 0 {
		return value
	}
	return fallback
}

// AdjustableLimits are the limits that can change while a server runs. Zero fields leave
// their limit unchanged.
type AdjustableLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	RequestTimeout time.Duration
	IdleTimeout    time.Duration
}

// Adjust changes limits for requests and idle periods that begin afterwards. Size limits
// cannot exceed those that the server was started with.
func (server *Server) Adjust(update AdjustableLimits) {
	adjusted := *server.currentLimits()
	adjusted.MaxHeaderBytes = min(positive(update.MaxHeaderBytes, adjusted.MaxHeaderBytes), server.initialLimits.MaxHeaderBytes)
	adjusted.MaxBodyBytes = min(positive(update.MaxBodyBytes, adjusted.MaxBodyBytes), server.initialLimits.MaxBodyBytes)
	adjusted.RequestTimeout = positive(update.RequestTimeout, adjusted.RequestTimeout)
	adjusted.IdleTimeout = positive(update.IdleTimeout, adjusted.IdleTimeout)
	server.limits.Store(&adjusted)
}

func (server *Server) currentLimits() *Limits { return server.limits.Load() }
