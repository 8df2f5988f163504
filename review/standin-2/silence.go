package main

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fillers is the number of connections that fill the queue of a silent port.
	fillers = 3
	// fillerTimeout is how long a filler may take to connect. Those that find the queue full never do.
	fillerTimeout = 50 * time.Millisecond
)

// silentPort stands in the place of a port of a machine without power: connections to it hang.
type silentPort struct {
	descriptor int
	fillers    []net.Conn
}

// silencePort listens at a port and fills its queue, so that the system drops all further attempts to connect.
func silencePort(port int) (*silentPort, error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("open a silent port: %w", err)
	}
	silent := &silentPort{descriptor: descriptor}
	_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	err = unix.Bind(descriptor, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		err = unix.Listen(descriptor, 0)
	}
	if err != nil {
		silent.close()
		return nil, fmt.Errorf("silence port %d: %w", port, err)
	}
	for range fillers {
		filler, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, port), fillerTimeout)
		if err == nil {
			silent.fillers = append(silent.fillers, filler)
		}
	}
	return silent, nil
}

func (silent *silentPort) close() {
	for _, filler := range silent.fillers {
		_ = filler.Close()
	}
	_ = unix.Close(silent.descriptor)
}
