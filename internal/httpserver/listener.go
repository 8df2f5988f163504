package httpserver

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptRetryDelay separates two tries after a failed accept, such as one for
// want of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// maxQueued bounds the connections taken over from the system's queue when a server
// stops: the queue's own bound on Linux by default (net.core.somaxconn).
const maxQueued = 4096

// stoppableListener lets a server stop accepting before nbhttp shuts down.
// nbhttp calls Accept in a loop without delay after an error, so Accept holds
// it until the end once the socket is closed and its queue is handed over.
type stoppableListener struct {
	net.Listener
	stopAccepting sync.Once
	stopped       chan struct{}
	// queued holds the connections that the system had taken when the socket was
	// closed, for Accept to hand over.
	queued   chan net.Conn
	release  sync.Once
	released chan struct{}
}

func newStoppableListener(inner net.Listener) *stoppableListener {
	return &stoppableListener{
		Listener: inner,
		stopped:  make(chan struct{}),
		queued:   make(chan net.Conn, maxQueued),
		released: make(chan struct{}),
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
			return listener.acceptQueued()
		case <-time.After(acceptRetryDelay):
		}
	}
}

// acceptQueued returns what the system had taken before the socket was closed, then
// waits for Close.
func (listener *stoppableListener) acceptQueued() (net.Conn, error) {
	select {
	case accepted := <-listener.queued:
		return accepted, nil
	case <-listener.released:
		return nil, net.ErrClosed
	}
}

// Stop closes the socket: new connections are refused by the system. Those that it has
// already taken are kept for Accept, since closing the socket would reset them, and
// with them the requests that their clients have sent.
func (listener *stoppableListener) Stop() {
	listener.stopAccepting.Do(func() {
		listener.takeQueued()
		close(listener.stopped)
		_ = listener.Listener.Close()
	})
}

// takeQueued accepts what waits at the socket. What can't be taken is reset by the
// system when the socket is closed, as without it.
func (listener *stoppableListener) takeQueued() {
	socket, ok := listener.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		for range maxQueued {
			accepted, _, err := unix.Accept4(int(descriptor), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			listener.keep(accepted)
		}
	})
}

// keep puts an accepted socket where Accept finds it.
func (listener *stoppableListener) keep(descriptor int) {
	file := os.NewFile(uintptr(descriptor), "accepted")
	defer func() { _ = file.Close() }()
	accepted, err := net.FileConn(file)
	if err == nil {
		listener.queued <- accepted
	}
}

// Close stops accepting and releases the goroutine inside Accept.
func (listener *stoppableListener) Close() error {
	listener.Stop()
	listener.release.Do(func() { close(listener.released) })
	return nil
}
