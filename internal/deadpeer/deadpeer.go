// Package deadpeer makes dialers whose connections end soon after the other
// machine has gone silent. A machine without power, or behind a cut, says
// nothing: without this a read on such a connection waits for good.
package deadpeer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeCount is how many probes of an idle connection may stay unanswered.
const probeCount = 3

// Dialer returns a dialer that gives a connection up within timeout, and a
// connection made by it after silence without an acknowledgement. Idle
// connections are probed for that.
func Dialer(timeout, silence time.Duration) *net.Dialer {
	probe := silence / probeCount
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(probe, time.Second),
			Interval: max(probe, time.Second),
			Count:    probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
		},
	}
}
