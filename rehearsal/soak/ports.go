package soak

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and lastPort bound the ports given to nodes. They lie below those that
	// the system gives to outgoing connections (32,768 and up on Linux): a node that is
	// down for a moment would lose such a port to any program of the machine, and could
	// not start again.
	firstPort = 12_000
	lastPort  = 32_000
	// portTries bounds the draws of one port.
	portTries = 200
)

// portPicker finds free ports and gives none twice.
type portPicker struct{ given map[int]bool }

func newPortPicker() *portPicker { return &portPicker{given: map[int]bool{}} }

// pick returns a number of ports on which nothing listens.
func (picker *portPicker) pick(count int) ([]int, error) {
	ports := make([]int, 0, count)
	for len(ports) < count {
		port, err := picker.pickOne()
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

func (picker *portPicker) pickOne() (int, error) {
	var failure error
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if picker.given[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			failure = err
			continue
		}
		_ = listener.Close()
		picker.given[port] = true
		return port, nil
	}
	return 0, eris.Wrap(failure, "find a free port")
}
