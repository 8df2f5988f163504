package httpserver

import (
	"context"
	"math"
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

// handshakeTimeout is how long connections being established when the listener stops may take.
// New connection attempts are delayed by up to a second in that time.
const handshakeTimeout = 20 * time.Millisecond

// stoppableListener allows a server to stop accepting before nbhttp shuts down. nbhttp
// retries a failed Accept without delay, so after Stop and the delivery of the backlog
// Accept blocks until Close.
type stoppableListener struct {
	net.Listener
	stopOnce sync.Once
	stopped  chan struct{}
	// backlog holds connections that were in the accept queue when the listener stopped.
	backlog chan net.Conn
	// delivered is closed once Accept has returned all connections and been called again, so that
	// the last one is registered with the server.
	delivered     chan struct{}
	deliveredOnce sync.Once
	closeOnce     sync.Once
	closed        chan struct{}
}

// listenTCP listens with plain TCP: sockets of Multipath TCP, Go's default, take no filter (see
// dropConnectionAttempts).
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp", address)
}

func newStoppableListener(inner net.Listener) *stoppableListener {
	return &stoppableListener{
		Listener:  inner,
		stopped:   make(chan struct{}),
		backlog:   make(chan net.Conn, maxBacklog),
		delivered: make(chan struct{}),
		closed:    make(chan struct{}),
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

// acceptBacklog returns the next connection of the backlog, which is complete when the listener has
// stopped. If there is none, it blocks until Close.
func (listener *stoppableListener) acceptBacklog() (net.Conn, error) {
	select {
	case accepted := <-listener.backlog:
		return accepted, nil
	default:
	}
	listener.deliveredOnce.Do(func() { close(listener.delivered) })
	<-listener.closed
	return nil, net.ErrClosed
}

// Stop closes the listening socket, so that the system refuses new connections. Those in
// its accept queue are first moved to the backlog for Accept: closing the socket would reset
// them and lose requests already sent. Before that, new connections are held off and those
// being established get handshakeTimeout, so that none is added to the queue behind the last
// accept.
func (listener *stoppableListener) Stop() {
	listener.stopOnce.Do(func() {
		if listener.dropConnectionAttempts() {
			time.Sleep(handshakeTimeout)
		}
		listener.drainBacklog()
		close(listener.stopped)
		_ = listener.Listener.Close()
	})
}

// dropSYN is a socket filter that drops TCP segments with the SYN flag: it loads the flags at
// offset 13 of the TCP header and accepts the segment unless SYN is set.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
}

const tcpFlagSYN = 0x02

// dropConnectionAttempts makes the system ignore new connection attempts, so that clients repeat
// them and are then refused. It returns false if the system does not support this.
func (listener *stoppableListener) dropConnectionAttempts() bool {
	dropped := false
	listener.withDescriptor(func(descriptor int) {
		program := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
		dropped = unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program) == nil
	})
	return dropped
}

// drainBacklog moves the accept queue to the backlog. Connections that cannot be moved are
// reset when the socket is closed.
func (listener *stoppableListener) drainBacklog() {
	listener.withDescriptor(func(descriptor int) {
		for range maxBacklog {
			accepted, _, err := unix.Accept4(descriptor, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			listener.enqueue(accepted)
		}
	})
}

// withDescriptor calls use with the listening socket's descriptor, if there is one.
func (listener *stoppableListener) withDescriptor(use func(descriptor int)) {
	socket, ok := listener.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { use(int(descriptor)) })
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
