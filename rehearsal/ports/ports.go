// Package ports allocates TCP ports for processes that a test starts, stops and restarts.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

// Range is a range of ports; Last is excluded.
type Range struct{ First, Last int }

// The ranges lie below Linux's default ephemeral ports (32768 and up); otherwise an
// outgoing connection could take the port of a stopped process before its restart. They
// overlap neither each other nor the ports of the fault scenario tests (10000 to 30000),
// so that tests can run in parallel.
var (
	// SoakRange is the range of the soak test.
	SoakRange = Range{First: 30_000, Last: 31_300}
	// PlatformRange is the range of the platform package's tests.
	PlatformRange = Range{First: 31_300, Last: 32_500}
	// CommandRange is the range of the command package's tests.
	CommandRange = Range{First: 32_500, Last: 32_760}
)

// maxAttempts bounds the random draws for one port.
const maxAttempts = 200

// Allocator allocates free ports, each to one holder at a time.
type Allocator struct {
	portRange Range
	allocated map[int]bool
}

// NewAllocator returns an allocator for a port range.
func NewAllocator(portRange Range) *Allocator {
	return &Allocator{portRange: portRange, allocated: map[int]bool{}}
}

// Allocate returns count ports on which nothing listens.
func (allocator *Allocator) Allocate(count int) ([]int, error) {
	ports := make([]int, 0, count)
	for len(ports) < count {
		port, err := allocator.allocateOne()
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// Release makes ports available again whose processes have ended.
func (allocator *Allocator) Release(ports []int) {
	for _, port := range ports {
		delete(allocator.allocated, port)
	}
}

func (allocator *Allocator) allocateOne() (int, error) {
	lastErr := eris.New("all drawn ports are already allocated")
	for range maxAttempts {
		port := allocator.portRange.First + rand.IntN(allocator.portRange.Last-allocator.portRange.First)
		if allocator.allocated[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			lastErr = err
			continue
		}
		_ = listener.Close()
		allocator.allocated[port] = true
		return port, nil
	}
	return 0, eris.Wrap(lastErr, "find a free port")
}
