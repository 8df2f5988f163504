package httpserver

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// secureReadBuffer is how much plain text is read at once; the size of a TLS
// record.
const secureReadBuffer = 16 << 10

// secureConn speaks TLS on an nbio connection by crypto/tls, on a goroutine of
// the connection's own; nbhttp's TLS is an older copy of that package.
type secureConn struct {
	*tls.Conn
	cipher *cipherConn
}

func newSecureConn(bounded *boundedConn, config *tls.Config) *secureConn {
	cipher := &cipherConn{boundedConn: bounded, arrived: make(chan struct{}, 1)}
	return &secureConn{Conn: tls.Server(cipher, config), cipher: cipher}
}

// caller returns the server's state of the connection.
func (conn *secureConn) caller() *connection { return conn.cipher.connection }

// feed takes encrypted bytes on the poller goroutine, which must not wait.
func (conn *secureConn) feed(data []byte) {
	if !conn.cipher.started {
		conn.cipher.started = true
		conn.caller().setReadTimeout(conn.caller().server.bounds().RequestTimeout)
		go conn.run()
	}
	conn.cipher.append(data)
}

// run makes the handshake and hands plain text to the parser until the
// connection ends.
func (conn *secureConn) run() {
	caller := conn.caller()
	defer conn.finish()
	err := conn.Handshake()
	if err != nil {
		return
	}
	caller.setReadTimeout(caller.server.bounds().IdleTimeout)
	buffer := make([]byte, secureReadBuffer)
	for {
		count, err := conn.Read(buffer)
		if count > 0 {
			caller.parse(buffer[:count])
		}
		if err != nil {
			return
		}
	}
}

// finish closes the connection once what is written, such as the alert of a
// failed handshake, is out. A refused one is left to its linger timeout.
func (conn *secureConn) finish() {
	if !conn.caller().discarding.Load() {
		conn.caller().closeWhenDrained()
	}
}

// Close says goodbye and closes once the client has taken what was written.
func (conn *secureConn) Close() error {
	go func() {
		_ = conn.CloseWrite()
		conn.caller().closeWhenDrained()
	}()
	return nil
}

// SetReadDeadline does nothing: the connection has its own read timer.
func (conn *secureConn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline does nothing: nbhttp sets both deadlines apart.
func (conn *secureConn) SetDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: boundedConn bounds writes.
func (conn *secureConn) SetWriteDeadline(time.Time) error { return nil }

// cipherConn is the encrypted side of a secureConn: it reads what the poller
// has taken and writes through the bounded connection.
type cipherConn struct {
	*boundedConn
	// started belongs to the poller goroutine.
	started bool

	mutex    sync.Mutex
	received []byte
	// overflowed is true once bytes were dropped.
	overflowed bool
	// arrived tells the reader of new bytes.
	arrived chan struct{}
}

// append keeps bytes for the reader. The reader only parses and never waits
// for a handler, so little is kept. Of a client that outruns it by more than a
// whole request the rest is dropped: the reader refuses the request as too
// long, or closes the connection where it finds the gap.
func (conn *cipherConn) append(data []byte) {
	limits := conn.connection.server.bounds()
	bound := limits.MaxHeaderBytes + limits.MaxBodyBytes + 2*bodyEncodingSlack
	conn.mutex.Lock()
	conn.overflowed = conn.overflowed || len(conn.received)+len(data) > bound
	if !conn.overflowed {
		conn.received = append(conn.received, data...)
	}
	conn.mutex.Unlock()
	select {
	case conn.arrived <- struct{}{}:
	default:
	}
}

// Read returns encrypted bytes; io.EOF once the connection is gone or the rest
// was dropped.
func (conn *cipherConn) Read(buffer []byte) (int, error) {
	for {
		count, ended := conn.take(buffer)
		if count > 0 {
			return count, nil
		}
		if ended {
			return 0, io.EOF
		}
		select {
		case <-conn.arrived:
		case <-conn.connection.gone:
			return 0, io.EOF
		}
	}
}

// take moves kept bytes to buffer, and tells whether none are left and none
// will come.
func (conn *cipherConn) take(buffer []byte) (int, bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	count := copy(buffer, conn.received)
	conn.received = conn.received[count:]
	if len(conn.received) == 0 {
		conn.received = nil
	}
	return count, count == 0 && conn.overflowed
}

// SetDeadline does nothing: the connection's read timer and boundedConn's write
// timeout hold for the connection.
func (conn *cipherConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (conn *cipherConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (conn *cipherConn) SetWriteDeadline(time.Time) error { return nil }

var (
	_ net.Conn   = (*cipherConn)(nil)
	_ callerConn = (*secureConn)(nil)
	_ callerConn = (*boundedConn)(nil)
)
