package httpserver

import "sync"

// This file counts request and response bytes buffered for connections. Each connection
// has limits of its own; the counters here enforce limits over all connections of a
// server, since many slow clients together can exceed the memory of the process.

// requestBytes counts the bytes received of one connection's requests until they
// are answered. Requests of a connection are answered in order.
type requestBytes struct {
	mutex sync.Mutex
	// incomplete is the size of the request being received, complete the sizes of the
	// requests received in full, oldest first.
	incomplete int64
	complete   []int64
	closed     bool
}

// reserve counts bytes of a request. It returns false if they exceed the limit or the
// connection is closed. While an earlier request is pending, bytes are counted even over
// the limit: rejecting them would close the connection and lose the pending response.
func (requests *requestBytes) reserve(server *Server, count int) bool {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	if requests.closed {
		return false
	}
	if len(requests.complete) > 0 {
		server.currentLimits().RequestBytes.ForceAcquire(int64(count))
	} else if !server.currentLimits().RequestBytes.TryAcquire(int64(count)) {
		return false
	}
	requests.incomplete += int64(count)
	return true
}

// markComplete records that the current request has been received in full.
func (requests *requestBytes) markComplete() {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	requests.complete = append(requests.complete, requests.incomplete)
	requests.incomplete = 0
}

// releaseOldest releases the bytes of the oldest complete request.
func (requests *requestBytes) releaseOldest(server *Server) {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	if len(requests.complete) == 0 {
		return
	}
	server.currentLimits().RequestBytes.Release(requests.complete[0])
	requests.complete = requests.complete[1:]
}

// close releases all counted bytes and makes later reservations fail. The lock covers
// both steps: bytes reserved between them would never be released.
func (requests *requestBytes) close(server *Server) {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	total := requests.incomplete
	for _, bytes := range requests.complete {
		total += bytes
	}
	server.currentLimits().RequestBytes.Release(total)
	requests.incomplete = 0
	requests.complete = nil
	requests.closed = true
}

// responseBytes counts the response bytes that one connection has not yet sent.
type responseBytes struct {
	mutex  sync.Mutex
	bytes  int64
	closed bool
}

// add counts bytes handed to the socket.
func (responses *responseBytes) add(server *Server, count int) {
	responses.mutex.Lock()
	defer responses.mutex.Unlock()
	if responses.closed {
		return
	}
	responses.bytes += int64(count)
	server.currentLimits().ResponseBytes.ForceAcquire(int64(count))
}

// release releases up to count bytes that have been sent. Error responses to incomplete
// requests are not counted, so count may exceed the counted bytes.
func (responses *responseBytes) release(server *Server, count int64) {
	responses.mutex.Lock()
	defer responses.mutex.Unlock()
	responses.releaseLocked(server, count)
}

// releaseLocked is release for callers that hold the mutex.
func (responses *responseBytes) releaseLocked(server *Server, count int64) {
	released := min(count, responses.bytes)
	responses.bytes -= released
	server.currentLimits().ResponseBytes.Release(released)
}

// close releases all counted bytes and makes later calls of add do nothing. The lock
// covers both steps, as in requestBytes.close.
func (responses *responseBytes) close(server *Server) {
	responses.mutex.Lock()
	defer responses.mutex.Unlock()
	responses.releaseLocked(server, responses.bytes)
	responses.closed = true
}

// writeBufferLimit returns how many response bytes the connection may buffer: its own
// limit, or a single write while the limit over all connections is reached, so that
// clients that keep reading still make progress.
func (connection *connection) writeBufferLimit() int {
	limits := connection.server.currentLimits()
	if limits.ResponseBytes.Exhausted() {
		return maxWriteSize
	}
	return limits.WriteBufferBytes
}
