package httpserver

import "time"

// unusedTimeout is the read deadline given to nbhttp. nbhttp arms its deadline
// after a connection is already read from, and so over one that was set for the
// first request; the server keeps a timer of its own instead.
const unusedTimeout = 10 * 365 * 24 * time.Hour

// setReadTimeout closes the connection after timeout, unless a whole request
// arrives before.
func (connection *connection) setReadTimeout(timeout time.Duration) {
	connection.readTimer.Reset(timeout)
}

// clearReadTimeout lets a call take as long as it needs.
func (connection *connection) clearReadTimeout() {
	connection.readTimer.Stop()
}

// awaitRequest arms the timeout after the last answer: that of an idle
// connection, or of a request that has begun to arrive.
func (connection *connection) awaitRequest() {
	if connection.receiving.Load() {
		connection.setReadTimeout(connection.server.bounds().RequestTimeout)
		return
	}
	connection.setReadTimeout(connection.server.bounds().IdleTimeout)
}

// readTimedOut closes the connection. It may have been armed by the end of one
// call just as the next one arrived, so it looks whether a call is under way, or
// whether a request has come to a quiet connection that was not read yet.
func (connection *connection) readTimedOut() {
	if connection.calls.Load() > 0 {
		return
	}
	if !connection.receiving.Load() && connection.hasUnread() {
		connection.setReadTimeout(unreadPause)
		return
	}
	connection.close()
}

// unreadPause is when a connection with unread bytes is looked at again; the poller
// reads them long before.
const unreadPause = 100 * time.Millisecond
