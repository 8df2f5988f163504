package httpserver

import (
	"net"
	"sync"
	"time"
)

// acceptRetryDelay separates two tries after a failed accept, such as one for
// want of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// stoppableListener lets a server stop accepting before nbhttp shuts down.
// nbhttp calls Accept in a loop without delay after an error, so Accept holds
// it until the end once the socket is closed.
type stoppableListener struct {
	net.Listener
	stopAccepting sync.Once
	stopped       chan struct{}
	release       sync.Once
	released      chan struct{}
}

func newStoppableListener(inner net.Listener) *stoppableListener {
	return &stoppableListener{
		Listener: inner,
		stopped:  make(chan struct{}),
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
			<-listener.released
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}

// Stop closes the socket: new connections are refused by the system.
func (listener *stoppableListener) Stop() {
	listener.stopAccepting.Do(func() {
		close(listener.stopped)
		_ = listener.Listener.Close()
	})
}

// Close stops accepting and releases the goroutine inside Accept.
func (listener *stoppableListener) Close() error {
	listener.Stop()
	listener.release.Do(func() { close(listener.released) })
	return nil
}
