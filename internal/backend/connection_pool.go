package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/magpielug/magpielug/internal/deadpeer"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/wait"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 1 * time.Second
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel closes the
	// connection: a host that lost power sends no reset.
	tcpUserTimeout = 1500 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// refusalWindow is how long an engine counts as refusing after it rejected a request as
	// full. Meanwhile a node opens at most one connection to it per refusalDialInterval, so
	// that connections from many nodes do not take up its slots.
	refusalWindow       = 500 * time.Millisecond
	refusalDialInterval = 200 * time.Millisecond
	// verifiedIdleTimeout is how long a connection is kept that was opened to find out whether an engine has
	// ended. Engines close idle connections soon.
	verifiedIdleTimeout = 500 * time.Millisecond
	// restTime is how long a connection rests between two requests. Surplus bytes that an engine sends right
	// behind an answer have arrived by then, and are seen before the next request is sent there.
	restTime = time.Millisecond
)

// Errors of an exchange with an engine.
var (
	// ErrNotSent means that the engine received no byte of the request.
	ErrNotSent = errors.New("request not sent")
	// ErrTooManyConnections is an ErrNotSent caused by the connection limits. It says nothing
	// about the engine.
	ErrTooManyConnections = fmt.Errorf("%w: connection limit reached", ErrNotSent)
	// ErrProcessFrozen is an ErrNotSent caused by a freeze of this process after the engine was
	// chosen; the engine may have left in the meantime. It says nothing about the engine.
	ErrProcessFrozen = fmt.Errorf("%w: process was frozen after the engine was chosen", ErrNotSent)
	// ErrResponseLost means that the request was sent, but no complete response arrived.
	ErrResponseLost = errors.New("request sent, but response lost")
	// ErrNodeLost means that the node that was to forward the request became unavailable. The
	// engine may have received the request and is not at fault.
	ErrNodeLost = errors.New("node forwarding the request was lost")
)

// ConnectionPool keeps idle connections to engines for reuse. It is safe for concurrent use.
type ConnectionPool struct {
	mutex  sync.Mutex
	idle   map[string][]*Connection
	open   map[string]int
	opened int64
	// refusals holds the engines that have recently rejected requests as full, by address.
	refusals map[string]refusalRecord
	dialer   *net.Dialer
}

// refusalRecord holds when an engine last rejected a request as full, and when the last
// connection to it was opened.
type refusalRecord struct {
	lastRefusal time.Time
	lastDial    time.Time
}

// expired reports whether the refusal window has passed.
func (record refusalRecord) expired(now time.Time) bool {
	return now.Sub(record.lastRefusal) > refusalWindow
}

// NewConnectionPool returns an empty pool.
func NewConnectionPool() *ConnectionPool {
	pool := &ConnectionPool{idle: map[string][]*Connection{}, open: map[string]int{}, refusals: map[string]refusalRecord{}}
	pool.dialer = deadpeer.Dialer(dialTimeout, tcpUserTimeout)
	return pool
}

// Connection carries one request at a time to one engine.
type Connection struct {
	pool    *ConnectionPool
	address string
	socket  *net.TCPConn
	input   *boundedReader
	reader  *bufio.Reader // reads from input
	// idleSince is when the connection was last released, idleUntil how long it may be reused.
	idleSince time.Time
	idleUntil time.Time
	carried   carriedRequests
}

// OpenedCount returns the number of connections opened so far.
func (pool *ConnectionPool) OpenedCount() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened
}

// Purpose is the request that a connection is wanted for.
type Purpose struct {
	// Request is its ID, "" if the connection carries none.
	Request string
	// Deadline is when nobody waits for the request any more, so that it is not sent again.
	Deadline time.Time
}

// Get returns an idle connection that is still usable, or opens one. A connection that has carried the request
// is not returned until the request's deadline: a late copy of the first attempt's response would be taken for
// that of the second. limit bounds the number of connections to the address; 0 means no bound. Any error is an
// ErrNotSent.
func (pool *ConnectionPool) Get(ctx context.Context, address string, purpose Purpose, limit int) (*Connection, error) {
	hash := hashRequest(purpose.Request)
	for {
		idle := pool.takeIdle(address, hash, time.Now())
		if idle == nil {
			break
		}
		if resting := restTime - time.Since(idle.idleSince); resting > 0 {
			wait.Sleep(ctx, resting)
		}
		if time.Now().Before(idle.idleUntil) && idle.reusable() {
			idle.carried.add(hash, purpose.Deadline, time.Now())
			return idle, nil
		}
		idle.Close()
	}
	connection, err := pool.dial(ctx, address, limit)
	if err != nil {
		return nil, err
	}
	connection.carried.add(hash, purpose.Deadline, time.Now())
	return connection, nil
}

// takeIdle takes the connection to an address that was used last and has rested, or else the one that has
// rested for the longest. It returns nil if there is none that has not carried the request.
func (pool *ConnectionPool) takeIdle(address string, hash uint64, now time.Time) *Connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[address]
	chosen := -1
	for index, connection := range slices.Backward(list) {
		if connection.carried.contains(hash) {
			continue
		}
		chosen = index
		if now.Sub(connection.idleSince) >= restTime {
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	idle := list[chosen]
	pool.idle[address] = slices.Delete(list, chosen, chosen+1)
	return idle
}

// RecordRefusal records that an engine has rejected a request as full. Until the refusal window
// has passed, new connections to it are rate-limited, since accepting connections from many
// nodes costs a full engine more than rejecting their requests.
func (pool *ConnectionPool) RecordRefusal(address string, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	record, known := pool.refusals[address]
	if !known {
		// Entries of engines that have left are never looked up again.
		maps.DeleteFunc(pool.refusals, func(_ string, other refusalRecord) bool { return other.expired(now) })
	}
	record.lastRefusal = now
	pool.refusals[address] = record
}

// mayDial reports whether a connection may be opened to an address, and counts it. The caller
// holds the mutex.
func (pool *ConnectionPool) mayDial(address string, now time.Time) bool {
	record, known := pool.refusals[address]
	switch {
	case !known || !feature.Enabled(feature.LoadBasedCapacity):
		return true
	case record.expired(now):
		delete(pool.refusals, address)
		return true
	case now.Sub(record.lastDial) < refusalDialInterval:
		return false
	}
	record.lastDial = now
	pool.refusals[address] = record
	return true
}

func (pool *ConnectionPool) dial(ctx context.Context, address string, limit int) (*Connection, error) {
	if !pool.reserve(address, limit) {
		return nil, eris.Wrapf(ErrTooManyConnections, "connect to %s: limit of %d connections, or rate limit after refusals", address, limit)
	}
	socket, err := pool.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		pool.unreserve(address)
		return nil, eris.Wrapf(fmt.Errorf("%w: %w", ErrNotSent, err), "connect to %s", address)
	}
	input := &boundedReader{source: socket, remaining: unbounded}
	return &Connection{
		pool:    pool,
		address: address,
		socket:  socket.(*net.TCPConn),
		input:   input,
		reader:  bufio.NewReaderSize(input, readBufferSize),
	}, nil
}

func (pool *ConnectionPool) reserve(address string, limit int) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if limit > 0 && pool.open[address] >= limit || !pool.mayDial(address, time.Now()) {
		return false
	}
	pool.open[address]++
	pool.opened++
	return true
}

func (pool *ConnectionPool) unreserve(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.open[address]--
	if pool.open[address] == 0 {
		delete(pool.open, address)
		delete(pool.idle, address)
	}
}

// CloseIdle closes the idle connections to an address whose process is gone.
func (pool *ConnectionPool) CloseIdle(address string) {
	for _, idle := range pool.takeAllIdle(address) {
		idle.Close()
	}
}

func (pool *ConnectionPool) takeAllIdle(address string) []*Connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	all := pool.idle[address]
	delete(pool.idle, address)
	return all
}

// IdleClosed reports whether an address has closed connections that are idle here, before their idle
// timeout, and none is left open.
func (pool *ConnectionPool) IdleClosed(address string, now time.Time) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	closed := false
	for _, connection := range pool.idle[address] {
		switch {
		case !now.Before(connection.idleUntil):
		case connection.reusable():
			return false
		default:
			closed = true
		}
	}
	return closed
}

// Refused reports whether nothing listens at an address any more. A connection that it opens is kept for the
// next request.
func (pool *ConnectionPool) Refused(ctx context.Context, address string) bool {
	connection, err := pool.Get(ctx, address, Purpose{}, 0)
	if err != nil {
		return IsRefused(err)
	}
	connection.Release(time.Now().Add(verifiedIdleTimeout))
	return false
}

// IsRefused reports whether an error of Get means that nothing listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// CloseExpired closes the idle connections whose idle timeout has passed.
func (pool *ConnectionPool) CloseExpired(now time.Time) {
	for _, expired := range pool.takeExpired(now) {
		expired.Close()
	}
}

func (pool *ConnectionPool) takeExpired(now time.Time) []*Connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var expired []*Connection
	for address, list := range pool.idle {
		remaining := list[:0]
		for _, connection := range list {
			if now.Before(connection.idleUntil) {
				remaining = append(remaining, connection)
			} else {
				expired = append(expired, connection)
			}
		}
		pool.idle[address] = remaining
	}
	return expired
}

// reusable reports whether an idle connection has received neither EOF nor unexpected data.
func (connection *Connection) reusable() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	raw, err := connection.socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peek [1]byte
		_, _, failure := unix.Recvfrom(int(descriptor), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(failure, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Send writes the complete request.
func (connection *Connection) Send(head, body []byte) error {
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(connection.socket)
	if err != nil {
		return eris.Wrapf(ErrResponseLost, "send to %s: %v", connection.address, err)
	}
	return nil
}

// Release returns the connection to the pool, where it may be reused until idleUntil.
func (connection *Connection) Release(idleUntil time.Time) {
	if connection.reader.Buffered() > 0 {
		connection.Close()
		return
	}
	connection.idleSince, connection.idleUntil = time.Now(), idleUntil
	pool := connection.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.idle[connection.address] = append(pool.idle[connection.address], connection)
}

// Close closes the connection. It may be called concurrently and more than once.
func (connection *Connection) Close() {
	err := connection.socket.Close()
	if err == nil {
		connection.pool.unreserve(connection.address)
	}
}
