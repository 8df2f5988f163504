package httpserver

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// writePiece is the most handed to nbio at once, bytes.
const writePiece = 16 << 10

// ErrSlowReader is returned to a handler whose client took nothing for the
// write timeout; the connection is closed.
var ErrSlowReader = eris.New("the client reads too slowly")

// boundedConn is the socket that nbhttp writes answers to. It waits while the
// connection holds too many bytes that the client has not taken; nbio itself
// would close the connection of a client that is only a little slow, or keep
// all without a bound.
type boundedConn struct {
	net.Conn
	connection *connection
}

// Write sends data piece by piece within the write buffer's bound.
func (conn *boundedConn) Write(data []byte) (int, error) {
	if conn.connection.aborted.Load() {
		return 0, net.ErrClosed
	}
	sent := 0
	for sent < len(data) {
		piece := data[sent:min(sent+writePiece, len(data))]
		err := conn.connection.awaitRoom(len(piece))
		if err != nil {
			conn.connection.slow.Store(errors.Is(err, ErrSlowReader))
			conn.connection.close()
			return sent, err
		}
		conn.connection.submitted.Add(int64(len(piece)))
		conn.connection.unread.add(conn.connection.server, len(piece))
		_, err = conn.Conn.Write(piece)
		if err != nil {
			return sent, eris.Wrap(err, "write to client")
		}
		sent += len(piece)
	}
	return sent, nil
}

// Close closes the socket once the client has taken what was written.
func (conn *boundedConn) Close() error {
	conn.connection.closeWhenDrained()
	return nil
}

// SetReadDeadline does nothing: the connection has its own read timer.
func (conn *boundedConn) SetReadDeadline(time.Time) error { return nil }

// caller returns the server's state of the connection.
func (conn *boundedConn) caller() *connection { return conn.connection }

// pending is the number of bytes that the connection holds for its client.
func (connection *connection) pending() int {
	return int(connection.submitted.Load() - connection.written.Load())
}

// wrote notes that the system took count bytes. nbio calls it under the
// socket's lock, so it must not touch the socket.
func (connection *connection) wrote(count int) {
	connection.written.Add(int64(count))
	connection.unread.took(connection.server, int64(count))
	select {
	case connection.progress <- struct{}{}:
	default:
	}
}

// awaitRoom waits until size more bytes fit into the write buffer.
func (connection *connection) awaitRoom(size int) error {
	return connection.awaitPending(func() int { return connection.unreadLimit() - size })
}

// awaitPending waits until at most limit bytes are pending. It fails when the
// client takes nothing for the write timeout or is gone.
func (connection *connection) awaitPending(limit func() int) error {
	for connection.pending() > max(limit(), 0) {
		timer := time.NewTimer(connection.server.bounds().WriteTimeout)
		select {
		case <-connection.progress:
			timer.Stop()
		case <-connection.gone:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
			return ErrSlowReader
		}
	}
	return nil
}

// closeWhenDrained closes the socket when nothing is pending, or after the
// write timeout without progress.
func (connection *connection) closeWhenDrained() {
	if connection.pending() <= 0 {
		connection.close()
		return
	}
	go func() {
		_ = connection.awaitPending(func() int { return 0 })
		connection.close()
	}()
}
