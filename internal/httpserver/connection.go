package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"
)

// maxPipelined is the maximum number of complete requests that wait behind the
// running one on a connection.
const maxPipelined = 16

// lingerTimeout is how long a connection stays open after a rejected request.
// Closing it while the client still sends would reset it, and the client might
// not receive the error response.
const lingerTimeout = 2 * time.Second

// connection is the server-side state of a client connection.
type connection struct {
	server *Server
	socket *nbio.Conn
	// done is closed when the connection is closed by either side.
	done     chan struct{}
	openedAt time.Time
	// requestSeen is set when the first byte of the first request arrives.
	requestSeen atomic.Bool
	// overLimit is set if the connection exceeds Limits.MaxConnections.
	overLimit bool

	// The next three fields belong to the goroutine that reads the connection: the poller,
	// or the one that runs tlsConn.run.
	parserConfigured bool
	received         int
	headerDone       bool

	// tls is nil for plain HTTP.
	tls *tlsConn

	// receiving is true while a request has been received in part.
	receiving atomic.Bool

	// closeMutex guards closing, which is set when an idle connection is closed. No
	// request may start afterwards.
	closeMutex sync.Mutex
	closing    bool
	// closeAnnounced is set before a response with Connection: close. lastResponseEnd is
	// when the last response ended, in nanoseconds since openedAt; 0 before the first.
	closeAnnounced  atomic.Bool
	lastResponseEnd atomic.Int64

	// unnamedStatus is the status of the response that is about to be written if nbhttp does not know it, 0
	// otherwise. It belongs to the goroutine that runs the request.
	unnamedStatus int

	// aborted discards further output after a response is cut short.
	aborted atomic.Bool

	// discarding discards further input once a request was rejected or the connection is closing.
	discarding atomic.Bool
	// pendingRequests counts complete requests whose response is not finished.
	pendingRequests atomic.Int32

	submitted     atomic.Int64
	written       atomic.Int64
	requestBytes  requestBytes
	responseBytes responseBytes
	// slowReader is set when the connection is closed because its client reads too slowly.
	slowReader atomic.Bool
	// writeProgress signals that bytes were written to the socket.
	writeProgress chan struct{}

	jobsMutex sync.Mutex
	jobs      []func()
	running   bool

	cancelMutex sync.Mutex
	cancel      context.CancelFunc

	// readTimer closes the connection if no complete request arrives in time.
	readTimer *time.Timer
}

func newConnection(server *Server, socket *nbio.Conn) *connection {
	created := &connection{
		server:        server,
		socket:        socket,
		openedAt:      time.Now(),
		done:          make(chan struct{}),
		writeProgress: make(chan struct{}, 1),
	}
	created.readTimer = time.AfterFunc(server.currentLimits().IdleTimeout, created.readTimedOut)
	return created
}

// onData processes bytes from the client. It runs on the poller goroutine.
func (connection *connection) onData(data []byte) {
	if connection.discarding.Load() {
		return
	}
	connection.configureParser()
	if connection.tls != nil {
		connection.tls.feed(data)
		return
	}
	connection.parse(data)
}

// parse passes plaintext request bytes to nbhttp.
func (connection *connection) parse(data []byte) {
	if connection.discarding.Load() {
		return
	}
	if !connection.requestBytes.reserve(connection.server, len(data)) {
		connection.reject(requestBytesExhausted(connection.server.currentLimits()))
		return
	}
	if !connection.startRequest() {
		return
	}
	connection.received += len(data)
	connection.socket.DataHandler()(connection.socket, data)
	connection.checkReceived()
}

// configureParser sets the server's executor, processor and socket in the parser
// that nbhttp created for the connection.
func (connection *connection) configureParser() {
	if connection.parserConfigured {
		return
	}
	connection.parserConfigured = true
	parser := connection.socket.Session().(*nbhttp.Parser)
	parser.Execute = connection.execute
	parser.Processor = &limitingProcessor{
		Processor:  parser.Processor,
		connection: connection,
	}
	bounded := &boundedConn{Conn: parser.Conn, connection: connection}
	parser.Conn = bounded
	if connection.server.tlsConfig != nil {
		connection.tls = newTLSConn(bounded, connection.server.tlsConfig)
		parser.Conn = connection.tls
	}
}

// startRequest starts the request timeout at the first byte of a request. It returns false
// if the connection is closing: the request is not run, so the client may safely retry it.
func (connection *connection) startRequest() bool {
	connection.closeMutex.Lock()
	defer connection.closeMutex.Unlock()
	if connection.closing {
		return false
	}
	if connection.receiving.Swap(true) {
		return true
	}
	connection.requestSeen.Store(true)
	connection.received = 0
	connection.headerDone = false
	if connection.pendingRequests.Load() == 0 {
		connection.setReadTimeout(connection.server.currentLimits().RequestTimeout)
	}
	return true
}

// completeRequest records that a request has been received in full. It stops the
// read timer, which would otherwise cut long responses.
func (connection *connection) completeRequest() {
	connection.requestBytes.markComplete()
	connection.pendingRequests.Add(1)
	connection.receiving.Store(false)
	connection.received = 0
	connection.headerDone = false
	connection.clearReadTimeout()
}

// checkReceived rejects a request that exceeds the limits before it is complete.
func (connection *connection) checkReceived() {
	limits := connection.server.currentLimits()
	if !connection.receiving.Load() || connection.discarding.Load() {
		return
	}
	if !connection.headerDone && connection.received > limits.MaxHeaderBytes {
		connection.reject(headerTooLarge(limits))
		return
	}
	if connection.received > limits.MaxHeaderBytes+limits.MaxBodyBytes+bodyEncodingSlack {
		connection.reject(bodyTooLarge(limits))
	}
}

// execute runs the connection's requests in the order received. It does not use nbio's
// job list, so that a close is detected while a request runs.
func (connection *connection) execute(job func()) bool {
	connection.jobsMutex.Lock()
	defer connection.jobsMutex.Unlock()
	if connection.discarding.Load() {
		return false
	}
	if len(connection.jobs) >= maxPipelined {
		connection.close()
		return false
	}
	connection.jobs = append(connection.jobs, job)
	if !connection.running {
		connection.running = true
		connection.server.workers.Go(connection.runJobs)
	}
	return true
}

func (connection *connection) runJobs() {
	for {
		connection.jobsMutex.Lock()
		if len(connection.jobs) == 0 {
			connection.running = false
			connection.jobsMutex.Unlock()
			return
		}
		job := connection.jobs[0]
		connection.jobs = connection.jobs[1:]
		connection.jobsMutex.Unlock()
		connection.runJob(job)
	}
}

// runJob runs one request until its response is complete.
func (connection *connection) runJob(job func()) {
	defer connection.finishRequest()
	defer func() {
		recovered := recover()
		if recovered != nil {
			reportPanic(recovered)
			connection.abort()
		}
	}()
	job()
}

// abort cuts a response short: output already written is still sent, then the connection
// closes. Output that follows is discarded: the end of the response that nbhttp writes
// after the handler, and responses to pipelined requests. The socket is closed only after
// nbio has sent its buffered output, which an immediate close would lose.
func (connection *connection) abort() {
	connection.aborted.Store(true)
	connection.discarding.Store(true)
	connection.jobsMutex.Lock()
	connection.pendingRequests.Add(-int32(len(connection.jobs)))
	connection.jobs = nil
	connection.jobsMutex.Unlock()
	connection.closeWhenFlushed()
}

// finishRequest records that a response has been handed to the socket.
func (connection *connection) finishRequest() {
	remaining := connection.pendingRequests.Add(-1)
	connection.requestBytes.releaseOldest(connection.server)
	connection.lastResponseEnd.Store(int64(time.Since(connection.openedAt)))
	if remaining == 0 {
		connection.armReadTimeout()
	}
	if connection.server.draining.Load() {
		connection.closeIfIdle()
	}
}

// nextRequestGrace is how long an idle connection stays open during shutdown if its last
// response did not carry Connection: close. A request sent within that time is served, and
// its response carries the header.
const nextRequestGrace = 500 * time.Millisecond

// closeIfIdle closes the connection unless a request is running, has arrived in part,
// waits unread in the socket, or is expected shortly.
func (connection *connection) closeIfIdle() {
	if connection.expectsRequest() || connection.hasUnreadInput() {
		return
	}
	if connection.tryMarkClosing() {
		connection.closeWhenFlushed()
	}
}

// expectsRequest reports whether the client may be about to send a request: the first one
// on a new connection, or the next one after a response without Connection: close.
func (connection *connection) expectsRequest() bool {
	if !connection.requestSeen.Load() {
		return time.Since(connection.openedAt) < connection.server.currentLimits().FirstRequestGrace
	}
	lastEnd := connection.lastResponseEnd.Load()
	return !connection.closeAnnounced.Load() && lastEnd != 0 && time.Since(connection.openedAt)-time.Duration(lastEnd) < nextRequestGrace
}

// tryMarkClosing prevents further requests. It returns false if a request is in progress.
func (connection *connection) tryMarkClosing() bool {
	connection.closeMutex.Lock()
	defer connection.closeMutex.Unlock()
	if connection.receiving.Load() || connection.pendingRequests.Load() > 0 {
		return false
	}
	connection.closing = true
	return true
}

// hasUnreadInput reports whether the socket's receive queue has unread bytes. Closing a
// socket with unread bytes resets the connection and loses the request.
func (connection *connection) hasUnreadInput() bool {
	unread := 0
	connection.withDescriptor(func(descriptor int) {
		// On a socket reset by the client the call fails and leaves 0.
		unread, _ = unix.IoctlGetInt(descriptor, unix.TIOCINQ)
	})
	return unread > 0
}

// close ends the connection; any goroutine may call it. It shuts the socket down and leaves
// closing it to the poller. Closed by another goroutine, its descriptor could be reused by a
// new connection, which the poller would then close on a pending event of the old one.
func (connection *connection) close() {
	connection.discarding.Store(true)
	connection.withDescriptor(func(descriptor int) {
		// Fails if the client reset the connection; the poller closes the socket in that case.
		_ = unix.Shutdown(descriptor, unix.SHUT_RDWR)
	})
}

// withDescriptor calls use with the socket's descriptor unless the socket is closed. It holds
// the socket's lock, so that the descriptor is not closed and reused meanwhile.
func (connection *connection) withDescriptor(use func(descriptor int)) {
	connection.socket.Lock()
	defer connection.socket.Unlock()
	closed, _ := connection.socket.IsClosed()
	if closed {
		return
	}
	raw, err := connection.socket.SyscallConn()
	if err != nil {
		// Does not occur with nbio sockets.
		return
	}
	_ = raw.Control(func(descriptor uintptr) { use(int(descriptor)) })
}

// onClose releases the connection's resources after nbio has closed the socket.
func (connection *connection) onClose() {
	connection.readTimer.Stop()
	connection.requestBytes.close(connection.server)
	connection.responseBytes.close(connection.server)
	close(connection.done)
	connection.cancelMutex.Lock()
	defer connection.cancelMutex.Unlock()
	if connection.cancel != nil {
		connection.cancel()
	}
}

// setCancel sets the function that is called if the connection closes during a request.
func (connection *connection) setCancel(cancel context.CancelFunc) {
	connection.cancelMutex.Lock()
	connection.cancel = cancel
	connection.cancelMutex.Unlock()
	if connection.isClosed() {
		cancel()
	}
}

func (connection *connection) isClosed() bool {
	select {
	case <-connection.done:
		return true
	default:
		return false
	}
}

// closeError returns why the connection can send no more, or nil if it still can.
func (connection *connection) closeError() error {
	switch {
	case connection.slowReader.Load():
		return ErrSlowReader
	case connection.isClosed():
		return net.ErrClosed
	default:
		return nil
	}
}
