// Package deadpeer provides dialers whose TCP connections fail soon after the peer stops
// responding. A host that loses power, or is behind a network partition, sends no FIN or RST:
// without a timeout, reads on its connections block forever.
package deadpeer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeCount is the number of unanswered keep-alive probes after which a connection is closed.
const probeCount = 3

// Dialer returns a dialer with the given connect timeout. A connection it makes is closed once
// the peer has acknowledged nothing for deadPeerTimeout: TCP_USER_TIMEOUT covers unacknowledged
// data, keep-alive probes cover idle connections.
func Dialer(timeout, deadPeerTimeout time.Duration) *net.Dialer {
	probeInterval := deadPeerTimeout / probeCount
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(probeInterval, time.Second),
			Interval: max(probeInterval, time.Second),
			Count:    probeCount,
		},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeerTimeout.Milliseconds()))
			})
		},
	}
}
