package httpserver

import "sync"

// Bytes that connections hold: request bodies, and answers that clients have not taken.
// Each connection is bounded for itself; the bounds here hold over all of a server's
// connections, for many slow clients at once hold many times what one may.

// sentBytes counts what one connection's client has sent of requests, until all are answered.
type sentBytes struct {
	mutex  sync.Mutex
	bytes  int64
	closed bool
}

// take counts bytes of a request, or returns false where they don't fit.
func (sent *sentBytes) take(server *Server, count int) bool {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	if sent.closed || !server.bounds().Sent.TryTake(int64(count)) {
		return false
	}
	sent.bytes += int64(count)
	return true
}

// release takes back what was counted.
func (sent *sentBytes) release(server *Server) {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	sent.releaseLocked(server)
}

// releaseLocked is release for a caller that holds the mutex.
func (sent *sentBytes) releaseLocked(server *Server) {
	server.bounds().Sent.Release(sent.bytes)
	sent.bytes = 0
}

// close takes back what was counted, and lets nothing more be. Both are one step: what was
// counted between them would never be taken back.
func (sent *sentBytes) close(server *Server) {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	sent.releaseLocked(server)
	sent.closed = true
}

// unreadBytes counts what one connection's client has not taken of answers.
type unreadBytes struct {
	mutex  sync.Mutex
	bytes  int64
	closed bool
}

// add counts bytes that go to the client.
func (unread *unreadBytes) add(server *Server, count int) {
	unread.mutex.Lock()
	defer unread.mutex.Unlock()
	if unread.closed {
		return
	}
	unread.bytes += int64(count)
	server.bounds().Unread.Take(int64(count))
}

// took notes bytes that the client has taken. Refusals of half-sent requests are not
// counted before, and so are passed over here.
func (unread *unreadBytes) took(server *Server, count int64) {
	unread.mutex.Lock()
	defer unread.mutex.Unlock()
	unread.tookLocked(server, count)
}

// tookLocked is took for a caller that holds the mutex.
func (unread *unreadBytes) tookLocked(server *Server, count int64) {
	counted := min(count, unread.bytes)
	unread.bytes -= counted
	server.bounds().Unread.Release(counted)
}

// close forgets what was not taken, and counts nothing more. Both are one step, as with
// requests.
func (unread *unreadBytes) close(server *Server) {
	unread.mutex.Lock()
	defer unread.mutex.Unlock()
	unread.tookLocked(server, unread.bytes)
	unread.closed = true
}

// unreadLimit is what the connection may hold of answers: its own bound, or one piece
// while all connections together hold what they may. Those that read go on piece by piece.
func (connection *connection) unreadLimit() int {
	limits := connection.server.bounds()
	if limits.Unread.Full() {
		return writePiece
	}
	return limits.WriteBufferBytes
}
