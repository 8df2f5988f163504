package httpserver

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptRetryDelay is the pause after a failed accept, for example when the process is
// out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// maxBacklog bounds the connections taken from the accept queue when the listener stops.
// It is the queue's default bound on Linux (net.core.somaxconn).
const maxBacklog = 4096

// stoppableListener allows a server to stop accepting before nbhttp shuts down. nbhttp
// retries a failed Accept without delay, so after Stop and the delivery of the backlog
// Accept blocks until Close.
type stoppableListener struct {
	net.Listener
	stopOnce sync.Once
	stopped  chan struct{}
	// backlog holds connections that were in the accept queue when the listener stopped.
	backlog   chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

func newStoppableListener(inner net.Listener) *stoppableListener {
	return &stoppableListener{
		Listener: inner,
		stopped:  make(chan struct{}),
		backlog:  make(chan net.Conn, maxBacklog),
		closed:   make(chan struct{}),
	}
}

// Accept returns the next connection. It returns an error only after Close.
func (listener *stoppableListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err == nil {
			return accepted, nil
		}
		select {
		case <-listener.stopped:
			return listener.acceptBacklog()
		case <-time.After(acceptRetryDelay):
		}
	}
}

// acceptBacklog returns the next connection of the backlog. If there is none, it blocks until Close.
func (listener *stoppableListener) acceptBacklog() (net.Conn, error) {
	select {
	case accepted := <-listener.backlog:
		return accepted, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Stop closes the listening socket, so that the system refuses new connections. Those in
// its accept queue are first moved to the backlog for Accept: closing the socket would reset
// them and lose requests already sent.
func (listener *stoppableListener) Stop() {
	listener.stopOnce.Do(func() {
		listener.drainBacklog()
		close(listener.stopped)
		_ = listener.Listener.Close()
	})
}

// drainBacklog moves the accept queue to the backlog. Connections that cannot be moved are
// reset when the socket is closed.
func (listener *stoppableListener) drainBacklog() {
	socket, ok := listener.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		for range maxBacklog {
			accepted, _, err := unix.Accept4(int(descriptor), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			listener.enqueue(accepted)
		}
	})
}

// enqueue adds an accepted socket to the backlog.
func (listener *stoppableListener) enqueue(descriptor int) {
	file := os.NewFile(uintptr(descriptor), "accepted")
	defer func() { _ = file.Close() }()
	accepted, err := net.FileConn(file)
	if err == nil {
		listener.backlog <- accepted
	}
}

// Close stops accepting and unblocks Accept.
func (listener *stoppableListener) Close() error {
	listener.Stop()
	listener.closeOnce.Do(func() { close(listener.closed) })
	return nil
}
