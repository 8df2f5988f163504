package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// deliveryTracker records whether a request may have reached a scheduler.
type deliveryTracker struct{ connected atomic.Bool }

// withTrace returns a context that records when the request obtains a
// connection. Before that nothing was sent, even if dialing or the TLS
// handshake failed.
func (tracker *deliveryTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { tracker.connected.Store(true) },
	})
}

// notDelivered reports whether a request that failed with err certainly did not
// reach the scheduler's handler: it got no connection, or the HTTP server
// rejected it.
func (tracker *deliveryTracker) notDelivered(err error) bool {
	if !tracker.connected.Load() {
		return true
	}
	// The transport redials only if nothing was written to the previous
	// connection.
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Op == "dial"
	}
	var status *statusError
	return errors.As(err, &status) && status.status != http.StatusInternalServerError
}

// statusError is an HTTP status other than 200 in response to a call request.
type statusError struct{ status int }

func (failure *statusError) Error() string {
	return "unexpected HTTP status " + http.StatusText(failure.status)
}
