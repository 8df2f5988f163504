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

// maxPipelined bounds the complete requests that one connection may have
// waiting behind the one that runs.
const maxPipelined = 16

// lingerTimeout is how long a refused connection stays open for its client to
// read the refusal. Closing at once would reset it while the client still
// sends, and the refusal would be lost.
const lingerTimeout = 2 * time.Second

// connection is the server's state of one client connection.
type connection struct {
	server *Server
	socket *nbio.Conn
	// gone is closed when the connection is closed by either side.
	gone   chan struct{}
	opened time.Time
	// used is true once a request's first byte has come.
	used atomic.Bool
	// excess is true for a connection over the limit.
	excess bool

	// Owned by the goroutine that reads the connection: the poller, or
	// secureConn's own.
	attached   bool
	received   int
	headerDone bool

	// secure is nil on a connection without TLS.
	secure *secureConn

	// receiving is true from a request's first byte to its last.
	receiving atomic.Bool

	// closeMutex guards closing, which is true once the connection closes for being idle: no
	// request begins on it any more.
	closeMutex sync.Mutex
	closing    bool
	// told is true once an answer has told the client that the connection closes behind it;
	// answeredAt is how long after its opening the last answer ended, nanoseconds, 0 before the first.
	told       atomic.Bool
	answeredAt atomic.Int64

	// aborted drops all further output: an answer ends in its middle.
	aborted atomic.Bool

	// discarding drops all further input: the connection has been refused, or closes.
	discarding atomic.Bool
	// calls counts complete requests whose answer is not finished.
	calls atomic.Int32

	submitted atomic.Int64
	written   atomic.Int64
	// sent is what its client has sent of requests that are not answered yet.
	sent sentBytes
	// unread is what its client has not taken, for the bound over all connections.
	unread unreadBytes
	// slow is true once the connection was closed for its slow client.
	slow atomic.Bool
	// progress tells a writer that the client took bytes.
	progress chan struct{}

	jobsMutex sync.Mutex
	jobs      []func()
	running   bool

	cancelMutex sync.Mutex
	cancel      context.CancelFunc

	// readTimer closes the connection when no whole request arrives in time.
	readTimer *time.Timer
}

func newConnection(server *Server, socket *nbio.Conn) *connection {
	made := &connection{
		server:   server,
		socket:   socket,
		opened:   time.Now(),
		gone:     make(chan struct{}),
		progress: make(chan struct{}, 1),
	}
	made.readTimer = time.AfterFunc(server.bounds().IdleTimeout, made.readTimedOut)
	return made
}

// receive takes bytes from the client, on the poller goroutine.
func (connection *connection) receive(data []byte) {
	if connection.discarding.Load() {
		return
	}
	connection.attach()
	if connection.secure != nil {
		connection.secure.feed(data)
		return
	}
	connection.parse(data)
}

// parse hands a request's bytes to nbhttp.
func (connection *connection) parse(data []byte) {
	if connection.discarding.Load() {
		return
	}
	if !connection.sent.take(connection.server, len(data)) {
		connection.refuse(bodiesTooLarge(connection.server.bounds()))
		return
	}
	if !connection.startRequest() {
		return
	}
	connection.received += len(data)
	connection.socket.DataHandler()(connection.socket, data)
	connection.checkReceived()
}

// attach puts the server's own executor, processor and socket into the parser
// that nbhttp made for the connection.
func (connection *connection) attach() {
	if connection.attached {
		return
	}
	connection.attached = true
	parser := connection.socket.Session().(*nbhttp.Parser)
	parser.Execute = connection.execute
	parser.Processor = &limitingProcessor{
		Processor:  parser.Processor,
		connection: connection,
	}
	bounded := &boundedConn{Conn: parser.Conn, connection: connection}
	parser.Conn = bounded
	if connection.server.tlsConfig != nil {
		connection.secure = newSecureConn(bounded, connection.server.tlsConfig)
		parser.Conn = connection.secure
	}
}

// startRequest arms the timeout of a half-sent request at its first byte. It returns false on
// a connection that closes: what is not read there was not run, and its client may send it again.
func (connection *connection) startRequest() bool {
	connection.closeMutex.Lock()
	defer connection.closeMutex.Unlock()
	if connection.closing {
		return false
	}
	if connection.receiving.Swap(true) {
		return true
	}
	connection.used.Store(true)
	connection.received = 0
	connection.headerDone = false
	if connection.calls.Load() == 0 {
		connection.setReadTimeout(connection.server.bounds().RequestTimeout)
	}
	return true
}

// completeRequest notes that a whole request has arrived. The read deadline
// stops: it would cut an answer that takes longer.
func (connection *connection) completeRequest() {
	connection.sent.completed()
	connection.calls.Add(1)
	connection.receiving.Store(false)
	connection.received = 0
	connection.headerDone = false
	connection.clearReadTimeout()
}

// checkReceived refuses a request that is over the limits before it is whole.
func (connection *connection) checkReceived() {
	limits := connection.server.bounds()
	if !connection.receiving.Load() || connection.discarding.Load() {
		return
	}
	if !connection.headerDone && connection.received > limits.MaxHeaderBytes {
		connection.refuse(headerTooLarge(limits))
		return
	}
	if connection.received > limits.MaxHeaderBytes+limits.MaxBodyBytes+bodyEncodingSlack {
		connection.refuse(bodyTooLarge(limits))
	}
}

// execute runs the connection's requests in the order received, apart from
// nbio's own job list, so that a close is seen while a request runs.
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

// runJob runs one request to the end of its answer.
func (connection *connection) runJob(job func()) {
	defer connection.finishCall()
	defer func() {
		fault := recover()
		if fault != nil {
			reportPanic(fault)
			connection.abort()
		}
	}()
	job()
}

// abort ends an answer in its middle: the client gets what was written of it, then the
// end of the connection. Nothing may follow that, neither the end that nbhttp writes
// behind a handler nor the answers of requests that wait. nbio writes later what the
// system did not take at once, as when a signal interrupts a write; closing the socket
// at once would lose that.
func (connection *connection) abort() {
	connection.aborted.Store(true)
	connection.discarding.Store(true)
	connection.jobsMutex.Lock()
	connection.calls.Add(-int32(len(connection.jobs)))
	connection.jobs = nil
	connection.jobsMutex.Unlock()
	connection.closeWhenDrained()
}

// finishCall notes that an answer has been handed to the socket.
func (connection *connection) finishCall() {
	remaining := connection.calls.Add(-1)
	connection.sent.answered(connection.server)
	connection.answeredAt.Store(int64(time.Since(connection.opened)))
	if remaining == 0 {
		connection.awaitRequest()
	}
	if connection.server.draining.Load() {
		connection.closeWhenIdle()
	}
}

// unnoticedIdle is how long a client that was not told that its connection closes has for its
// next request after an answer: one that goes on at once has sent it by then. Its answer says so.
const unnoticedIdle = 500 * time.Millisecond

// closeWhenIdle closes a connection that has no request under way, none half
// received or unread, and whose next one is not about to come.
func (connection *connection) closeWhenIdle() {
	if connection.awaitsRequest() || connection.hasUnread() {
		return
	}
	if connection.beginsToClose() {
		connection.closeWhenDrained()
	}
}

// awaitsRequest tells whether the client is likely to send a request now: the first one on a
// new connection, or the next one behind an answer that did not say that the connection closes.
func (connection *connection) awaitsRequest() bool {
	if !connection.used.Load() {
		return time.Since(connection.opened) < connection.server.bounds().FirstRequest
	}
	answered := connection.answeredAt.Load()
	return !connection.told.Load() && answered != 0 && time.Since(connection.opened)-time.Duration(answered) < unnoticedIdle
}

// beginsToClose has the connection take no further request, unless one is under way.
func (connection *connection) beginsToClose() bool {
	connection.closeMutex.Lock()
	defer connection.closeMutex.Unlock()
	if connection.receiving.Load() || connection.calls.Load() > 0 {
		return false
	}
	connection.closing = true
	return true
}

// hasUnread tells whether bytes of the client wait in the system. A socket that is
// closed over them is reset, and the request that they begin is lost.
func (connection *connection) hasUnread() bool {
	unread := 0
	connection.withDescriptor(func(descriptor int) {
		// A socket that the client has reset has none, and fails here.
		unread, _ = unix.IoctlGetInt(descriptor, unix.TIOCINQ)
	})
	return unread > 0
}

// close ends the connection from any goroutine: it takes no further input, and the poller closes
// the socket. Closed elsewhere, its descriptor could go to a new connection while the poller still
// holds an event for the old one, by which it would close the new one under its caller's request.
func (connection *connection) close() {
	connection.discarding.Store(true)
	connection.withDescriptor(func(descriptor int) {
		// It fails on a socket that its client has reset, which the poller closes for that.
		_ = unix.Shutdown(descriptor, unix.SHUT_RDWR)
	})
}

// withDescriptor uses the socket's descriptor, unless the socket is closed. Under its lock an open
// one stays open; the descriptor of a closed one may be another connection's.
func (connection *connection) withDescriptor(use func(descriptor int)) {
	connection.socket.Lock()
	defer connection.socket.Unlock()
	closed, _ := connection.socket.IsClosed()
	if closed {
		return
	}
	raw, err := connection.socket.SyscallConn()
	if err != nil {
		// nbio's sockets always have one.
		return
	}
	_ = raw.Control(func(descriptor uintptr) { use(int(descriptor)) })
}

// closed is called once nbio has closed the socket.
func (connection *connection) closed() {
	connection.readTimer.Stop()
	connection.sent.close(connection.server)
	connection.unread.close(connection.server)
	close(connection.gone)
	connection.cancelMutex.Lock()
	defer connection.cancelMutex.Unlock()
	if connection.cancel != nil {
		connection.cancel()
	}
}

// setCancel names what to call when the connection closes under a request.
func (connection *connection) setCancel(cancel context.CancelFunc) {
	connection.cancelMutex.Lock()
	connection.cancel = cancel
	connection.cancelMutex.Unlock()
	if connection.isGone() {
		cancel()
	}
}

func (connection *connection) isGone() bool {
	select {
	case <-connection.gone:
		return true
	default:
		return false
	}
}

// failure returns why the client gets nothing more, nil while it may.
func (connection *connection) failure() error {
	switch {
	case connection.slow.Load():
		return ErrSlowReader
	case connection.isGone():
		return net.ErrClosed
	default:
		return nil
	}
}
