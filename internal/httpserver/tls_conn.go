package httpserver

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// tlsReadBufferSize is the maximum size of a read of plaintext: that of a TLS record.
const tlsReadBufferSize = 16 << 10

// tlsConn runs crypto/tls on an nbio connection, with a goroutine per connection.
// nbhttp's own TLS is an older copy of that package.
type tlsConn struct {
	*tls.Conn
	encrypted *encryptedConn
}

func newTLSConn(bounded *boundedConn, config *tls.Config) *tlsConn {
	encrypted := &encryptedConn{boundedConn: bounded, dataReady: make(chan struct{}, 1)}
	return &tlsConn{Conn: tls.Server(encrypted, config), encrypted: encrypted}
}

// state implements connectionHolder.
func (conn *tlsConn) state() *connection { return conn.encrypted.connection }

// Write sends plaintext.
func (conn *tlsConn) Write(data []byte) (int, error) {
	return conn.Conn.Write(conn.state().withStatus(data))
}

// feed passes on encrypted bytes. It runs on the poller goroutine and must not block.
func (conn *tlsConn) feed(data []byte) {
	if !conn.encrypted.started {
		conn.encrypted.started = true
		conn.state().setReadTimeout(conn.state().server.currentLimits().RequestTimeout)
		go conn.run()
	}
	conn.encrypted.append(data)
}

// run performs the handshake, then passes plaintext to the parser until the
// connection ends.
func (conn *tlsConn) run() {
	state := conn.state()
	defer conn.finish()
	err := conn.Handshake()
	if err != nil {
		return
	}
	state.setReadTimeout(state.server.currentLimits().IdleTimeout)
	buffer := make([]byte, tlsReadBufferSize)
	for {
		count, err := conn.Read(buffer)
		if count > 0 {
			state.parse(buffer[:count])
		}
		if err != nil {
			return
		}
	}
}

// finish closes the connection after its buffered output, such as the alert of a failed
// handshake, has been sent. After a rejected request, the linger timeout closes it.
func (conn *tlsConn) finish() {
	if !conn.state().discarding.Load() {
		conn.state().closeWhenFlushed()
	}
}

// Close sends close_notify and closes the connection after its buffered output has been sent.
func (conn *tlsConn) Close() error {
	go func() {
		_ = conn.CloseWrite()
		conn.state().closeWhenFlushed()
	}()
	return nil
}

// SetReadDeadline does nothing: the connection has its own read timer.
func (conn *tlsConn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline does nothing: nbhttp sets read and write deadlines separately.
func (conn *tlsConn) SetDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: boundedConn enforces the write timeout.
func (conn *tlsConn) SetWriteDeadline(time.Time) error { return nil }

// encryptedConn is the transport below a tlsConn. It reads bytes received by the poller
// and writes to a boundedConn.
type encryptedConn struct {
	*boundedConn
	// started belongs to the poller goroutine.
	started bool

	mutex    sync.Mutex
	received []byte
	// overflowed is set when received bytes were dropped.
	overflowed bool
	// dataReady signals new bytes or an overflow to Read.
	dataReady chan struct{}
}

// append buffers bytes for Read. The reading goroutine only parses and does not wait for
// handlers, so the buffer stays small. If a client gets ahead of it by more than a maximum
// request, the rest is dropped: the reader then rejects the request as too large, or closes
// the connection at the gap.
func (conn *encryptedConn) append(data []byte) {
	limits := conn.connection.server.currentLimits()
	bound := limits.MaxHeaderBytes + limits.MaxBodyBytes + 2*bodyEncodingSlack
	conn.mutex.Lock()
	conn.overflowed = conn.overflowed || len(conn.received)+len(data) > bound
	if !conn.overflowed {
		conn.received = append(conn.received, data...)
	}
	conn.mutex.Unlock()
	select {
	case conn.dataReady <- struct{}{}:
	default:
	}
}

// Read returns encrypted bytes. It returns io.EOF once the connection is closed, or once
// the buffer is empty after an overflow.
func (conn *encryptedConn) Read(buffer []byte) (int, error) {
	for {
		count, ended := conn.consume(buffer)
		if count > 0 {
			return count, nil
		}
		if ended {
			return 0, io.EOF
		}
		select {
		case <-conn.dataReady:
		case <-conn.connection.done:
			return 0, io.EOF
		}
	}
}

// consume moves buffered bytes to buffer. It also reports whether the buffer is empty and
// will remain so after an overflow.
func (conn *encryptedConn) consume(buffer []byte) (int, bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	count := copy(buffer, conn.received)
	conn.received = conn.received[count:]
	if len(conn.received) == 0 {
		conn.received = nil
	}
	return count, count == 0 && conn.overflowed
}

// SetDeadline does nothing: the read timer and boundedConn's write timeout apply.
func (conn *encryptedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing; see SetDeadline.
func (conn *encryptedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing; see SetDeadline.
func (conn *encryptedConn) SetWriteDeadline(time.Time) error { return nil }

var (
	_ net.Conn         = (*encryptedConn)(nil)
	_ connectionHolder = (*tlsConn)(nil)
	_ connectionHolder = (*boundedConn)(nil)
)
