package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// delivery watches whether one request may have reached a scheduler.
type delivery struct{ connected atomic.Bool }

// watch returns a context for the request that tells delivery once it has a
// connection: before that, nothing of it was sent, whether the dial or the TLS
// handshake failed or was given up.
func (delivery *delivery) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { delivery.connected.Store(true) },
	})
}

// ruledOut reports whether the request, which failed with err, can't have been
// taken: it got no connection, or the scheduler's HTTP server refused it before
// its handler.
func (delivery *delivery) ruledOut(err error) bool {
	if !delivery.connected.Load() {
		return true
	}
	// The transport dials again only where nothing was written to the
	// connection that it had.
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Op == "dial"
	}
	var status *statusError
	return errors.As(err, &status) && status.status != http.StatusInternalServerError
}

// statusError is a scheduler's HTTP status that stands for no answer of its
// call handler.
type statusError struct{ status int }

func (failure *statusError) Error() string {
	return "unexpected status " + http.StatusText(failure.status)
}
