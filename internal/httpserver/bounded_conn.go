package httpserver

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// maxWriteSize is the largest single write to nbio, in bytes.
const maxWriteSize = 16 << 10

// ErrSlowReader is returned to a handler whose client read nothing for the
// write timeout. The connection is closed.
var ErrSlowReader = eris.New("client read nothing within the write timeout")

// boundedConn is the socket to which nbhttp writes responses. Write blocks while
// the connection's write buffer is full. nbio itself either closes a connection
// whose buffer is full or buffers without a bound.
type boundedConn struct {
	net.Conn
	connection *connection
}

// Write sends data in chunks of at most maxWriteSize, within the write buffer's bound.
func (conn *boundedConn) Write(data []byte) (int, error) {
	if conn.connection.aborted.Load() {
		return 0, net.ErrClosed
	}
	data = conn.connection.withStatus(data)
	sent := 0
	for sent < len(data) {
		chunk := data[sent:min(sent+maxWriteSize, len(data))]
		err := conn.connection.waitBufferSpace(len(chunk))
		if err != nil {
			conn.connection.slowReader.Store(errors.Is(err, ErrSlowReader))
			conn.connection.close()
			return sent, err
		}
		conn.connection.submitted.Add(int64(len(chunk)))
		conn.connection.responseBytes.add(conn.connection.server, len(chunk))
		err = conn.writeChunk(chunk)
		if err != nil {
			return sent, eris.Wrap(err, "write to client")
		}
		sent += len(chunk)
	}
	return sent, nil
}

// writeChunk writes what the socket takes and leaves the rest to nbio's write buffer. nbio closes
// the socket on the writing goroutine if a write fails, so that its descriptor could be reused by
// a new connection, which the poller would then close on a pending event of the old one. While
// nbio holds output, a write only adds to it, and the poller sends it.
func (conn *boundedConn) writeChunk(chunk []byte) error {
	written := 0
	if conn.connection.pendingBytes() == len(chunk) {
		var err error
		written, err = conn.connection.writeDirectly(chunk)
		if err != nil {
			conn.connection.aborted.Store(true)
			conn.connection.close()
			return err
		}
		conn.connection.onWritten(written)
	}
	if written == len(chunk) {
		return nil
	}
	_, err := conn.Conn.Write(chunk[written:])
	return err
}

// writeDirectly writes to the socket and returns how many bytes it took. It must not be called
// while nbio holds buffered output of the connection.
func (connection *connection) writeDirectly(data []byte) (written int, err error) {
	err = net.ErrClosed
	connection.withDescriptor(func(descriptor int) {
		for {
			written, err = unix.Write(descriptor, data)
			if !errors.Is(err, unix.EINTR) {
				break
			}
		}
		if errors.Is(err, unix.EAGAIN) {
			written, err = 0, nil
		}
	})
	return written, err
}

// Close closes the socket after the buffered output has been sent.
func (conn *boundedConn) Close() error {
	conn.connection.closeWhenFlushed()
	return nil
}

// SetReadDeadline does nothing: the connection has its own read timer.
func (conn *boundedConn) SetReadDeadline(time.Time) error { return nil }

// state implements connectionHolder.
func (conn *boundedConn) state() *connection { return conn.connection }

// pendingBytes returns the number of bytes handed to nbio and not yet written to the socket.
func (connection *connection) pendingBytes() int {
	return int(connection.submitted.Load() - connection.written.Load())
}

// onWritten records that count bytes were written to the socket. nbio calls it
// with the socket's lock held, so it must not call methods of the socket.
func (connection *connection) onWritten(count int) {
	connection.written.Add(int64(count))
	connection.responseBytes.release(connection.server, int64(count))
	select {
	case connection.writeProgress <- struct{}{}:
	default:
	}
}

// waitBufferSpace blocks until size more bytes fit into the write buffer.
func (connection *connection) waitBufferSpace(size int) error {
	return connection.waitPendingAtMost(func() int { return connection.writeBufferLimit() - size })
}

// waitPendingAtMost blocks until at most limit bytes are pending. It returns
// ErrSlowReader if nothing is written for the write timeout, and net.ErrClosed
// if the connection closes.
func (connection *connection) waitPendingAtMost(limit func() int) error {
	for connection.pendingBytes() > max(limit(), 0) {
		timer := time.NewTimer(connection.server.currentLimits().WriteTimeout)
		select {
		case <-connection.writeProgress:
			timer.Stop()
		case <-connection.done:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
			return ErrSlowReader
		}
	}
	return nil
}

// closeWhenFlushed closes the socket once nothing is pending, or after the write
// timeout without progress. It does not block.
func (connection *connection) closeWhenFlushed() {
	if connection.pendingBytes() <= 0 {
		connection.close()
		return
	}
	go func() {
		_ = connection.waitPendingAtMost(func() int { return 0 })
		connection.close()
	}()
}
