package httpserver

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/heldbytes"
)

// Default limits, used for every field of Limits that is zero.
const (
	DefaultMaxConnections = 4096
	DefaultMaxInFlight    = 3072
	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxHeaderBytes = 32 << 10
	DefaultWriteBuffer    = 256 << 10
	DefaultIdleTimeout    = 120 * time.Second
	DefaultRequestTimeout = 20 * time.Second
	DefaultWriteTimeout   = 10 * time.Second
	DefaultRetryAfter     = time.Second
	DefaultDrainGrace     = time.Second
	// DefaultFirstRequest is some ten times what a client of another region, or on a
	// busy machine, needs to send on a connection that it has just opened.
	DefaultFirstRequest = 500 * time.Millisecond
)

// MinWriteBuffer is the smallest WriteBufferBytes that is honoured.
const MinWriteBuffer = 4 * writePiece

// Limits bounds what callers can make a server hold. A zero field takes its
// default.
type Limits struct {
	// MaxConnections is the number of open connections; one more is refused
	// with code TooManyConnections on its first request.
	MaxConnections int
	// MaxInFlight is the number of requests that run at once; one more is
	// refused with code TooManyConnections without waiting.
	MaxInFlight int
	// MaxBodyBytes bounds a request's body; a longer one is refused with code
	// BodyTooLarge and is never kept.
	MaxBodyBytes int
	// MaxHeaderBytes bounds a request's target and headers together.
	MaxHeaderBytes int
	// WriteBufferBytes bounds what one connection holds of answers that the
	// client has not taken.
	WriteBufferBytes int
	// Sent bounds what is held of requests over all connections, nil for no bound. A request
	// that does not fit is refused with code TooManyConnections.
	Sent *heldbytes.Limiter
	// Unread bounds the answers that clients have not taken over all connections, nil for
	// no bound. Once they hold that much, each gets its answer piece by piece.
	Unread *heldbytes.Limiter
	// TurnAway tells whether callers are to leave the connections that they keep, for
	// another process serves them better; nil is never.
	TurnAway func() bool
	// IdleTimeout closes a connection without a request.
	IdleTimeout time.Duration
	// RequestTimeout closes a connection whose request is not complete this
	// long after its first byte.
	RequestTimeout time.Duration
	// WriteTimeout closes a connection whose client takes nothing for this
	// long while the write buffer is full.
	WriteTimeout time.Duration
	// RetryAfter is told to callers refused by a limit.
	RetryAfter time.Duration
	// DrainGrace is how long Shutdown goes on accepting and keeps idle
	// connections, so that clients see in time that the process leaves. A
	// request sent on a connection at the moment it is closed would be lost.
	DrainGrace time.Duration
	// FirstRequest is how long a connection may be open without a request until
	// Shutdown takes it for idle: its client is about to send one.
	FirstRequest time.Duration
	// Exempt tells which requests MaxInFlight does not count, such as
	// heartbeats between processes; nil counts all.
	Exempt func(request *http.Request) bool
}

// withDefaults returns limits with every zero field replaced.
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
	limits.FirstRequest = positive(limits.FirstRequest, DefaultFirstRequest)
	return &limits
}

// positive returns value, or fallback where value is not above zero.
func positive[Number int | time.Duration](value, fallback Number) Number {
	if value > 0 {
		return value
	}
	return fallback
}

// Bounds are the limits that may change while a server runs. A zero field
// leaves its limit as it is.
type Bounds struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	RequestTimeout time.Duration
	IdleTimeout    time.Duration
}

// Adjust puts other bounds in force, for requests and idle times that begin
// from now on. No bound can be raised over what the server was started with.
func (server *Server) Adjust(bounds Bounds) {
	adjusted := *server.bounds()
	adjusted.MaxHeaderBytes = min(positive(bounds.MaxHeaderBytes, adjusted.MaxHeaderBytes), server.started.MaxHeaderBytes)
	adjusted.MaxBodyBytes = min(positive(bounds.MaxBodyBytes, adjusted.MaxBodyBytes), server.started.MaxBodyBytes)
	adjusted.RequestTimeout = positive(bounds.RequestTimeout, adjusted.RequestTimeout)
	adjusted.IdleTimeout = positive(bounds.IdleTimeout, adjusted.IdleTimeout)
	server.limits.Store(&adjusted)
}

// bounds returns the limits in force.
func (server *Server) bounds() *Limits { return server.limits.Load() }
