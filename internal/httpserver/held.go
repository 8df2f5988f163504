package httpserver

import "sync"

// Bytes that connections hold: request bodies, and answers that clients have not taken.
// Each connection is bounded for itself; the bounds here hold over all of a server's
// connections, for many slow clients at once hold many times what one may.

// sentBytes counts what one connection's client has sent of requests, each until it is
// answered. Requests of a connection are answered in order.
type sentBytes struct {
	mutex sync.Mutex
	// partial is what has come of a request that is not whole, whole what each has that is.
	partial int64
	whole   []int64
	closed  bool
}

// take counts bytes of a request, or returns false where they don't fit. Behind a request
// under way they are taken in any case: to refuse them would cost that one its answer.
func (sent *sentBytes) take(server *Server, count int) bool {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	if sent.closed {
		return false
	}
	if len(sent.whole) > 0 {
		server.bounds().Sent.ForceAcquire(int64(count))
	} else if !server.bounds().Sent.TryAcquire(int64(count)) {
		return false
	}
	sent.partial += int64(count)
	return true
}

// completed notes that a request is whole.
func (sent *sentBytes) completed() {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	sent.whole = append(sent.whole, sent.partial)
	sent.partial = 0
}

// answered takes back what was counted of the oldest request.
func (sent *sentBytes) answered(server *Server) {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	if len(sent.whole) == 0 {
		return
	}
	server.bounds().Sent.Release(sent.whole[0])
	sent.whole = sent.whole[1:]
}

// close takes back what was counted, and lets nothing more be. Both are one step: what was
// counted between them would never be taken back.
func (sent *sentBytes) close(server *Server) {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	counted := sent.partial
	for _, bytes := range sent.whole {
		counted += bytes
	}
	server.bounds().Sent.Release(counted)
	sent.partial = 0
	sent.whole = nil
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
	server.bounds().Unread.ForceAcquire(int64(count))
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
	if limits.Unread.Exhausted() {
		return writePiece
	}
	return limits.WriteBufferBytes
}
