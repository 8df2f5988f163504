package httpserver

import "time"

// disabledKeepalive effectively disables nbhttp's read deadline. nbhttp sets the deadline
// after reading has begun and could overwrite one set for the first request, so the server
// uses its own timer.
const disabledKeepalive = 10 * 365 * 24 * time.Hour

// setReadTimeout closes the connection after timeout unless a complete request arrives first.
func (connection *connection) setReadTimeout(timeout time.Duration) {
	connection.readTimer.Reset(timeout)
}

// clearReadTimeout stops the read timer while a request runs.
func (connection *connection) clearReadTimeout() {
	connection.readTimer.Stop()
}

// armReadTimeout starts the timer after the last pending response: with the request
// timeout if a request has arrived in part, otherwise with the idle timeout.
func (connection *connection) armReadTimeout() {
	if connection.receiving.Load() {
		connection.setReadTimeout(connection.server.currentLimits().RequestTimeout)
		return
	}
	connection.setReadTimeout(connection.server.currentLimits().IdleTimeout)
}

// readTimedOut closes the connection, unless a request has arrived since the timer was
// armed or waits unread in the socket.
func (connection *connection) readTimedOut() {
	if connection.pendingRequests.Load() > 0 {
		return
	}
	if !connection.receiving.Load() && connection.hasUnreadInput() {
		connection.setReadTimeout(unreadRecheckInterval)
		return
	}
	connection.close()
}

// unreadRecheckInterval is the delay before readTimedOut rechecks a connection with unread
// input, which leaves the poller time to read it.
const unreadRecheckInterval = 100 * time.Millisecond
