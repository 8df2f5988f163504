// Package ports finds ports for processes that a test starts, stops and starts again.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

// Range is a range of ports, the last one excluded.
type Range struct{ First, Last int }

// The ranges lie below the ports that the system gives to outgoing connections (32,768
// and up on Linux): a process that is down for a moment would lose such a port to any
// program of the machine, and could not start again. No two of them meet, nor the ports of
// the fault scenarios' test (10,000 up to 30,000), for tests run side by side.
var (
	// OfSoak are the soak's.
	OfSoak = Range{First: 30_000, Last: 31_300}
	// OfPlatform are those of the tests of nodes on the users' platform.
	OfPlatform = Range{First: 31_300, Last: 32_500}
	// OfCommand are those of the tests of what is started by hand.
	OfCommand = Range{First: 32_500, Last: 32_760}
)

// tries bounds the draws of one port.
const tries = 200

// Picker finds free ports and gives none twice.
type Picker struct {
	from  Range
	given map[int]bool
}

// NewPicker returns a picker of a range's ports.
func NewPicker(from Range) *Picker { return &Picker{from: from, given: map[int]bool{}} }

// Pick returns a number of ports on which nothing listens.
func (picker *Picker) Pick(count int) ([]int, error) {
	picked := make([]int, 0, count)
	for len(picked) < count {
		port, err := picker.pickOne()
		if err != nil {
			return nil, err
		}
		picked = append(picked, port)
	}
	return picked, nil
}

func (picker *Picker) pickOne() (int, error) {
	failure := eris.New("all ports drawn were given before")
	for range tries {
		port := picker.from.First + rand.IntN(picker.from.Last-picker.from.First)
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
