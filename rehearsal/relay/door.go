package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Mode is how a door treats the connections through it.
type Mode struct {
	// Silent holds all bytes, and new connections, until the mode changes.
	Silent bool
	// Mute holds the bytes that come back, and passes those that go in.
	Mute bool
	// Resets ends connections with a reset, open and new ones.
	Resets bool
	// Delay is added to each piece of bytes, from none up to this.
	Delay time.Duration
}

// Door is one address on the way to another, whose connections can be delayed,
// silenced, cut one way or reset. It is safe for concurrent use.
type Door struct {
	listener net.Listener
	target   string
	lock     sync.Mutex
	mode     Mode
	changed  chan struct{}
	open     map[*net.TCPConn]bool
	closed   bool
}

// OpenDoor listens at an address for a target.
func OpenDoor(listen, target string) (*Door, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for the door to %s", target)
	}
	door := &Door{listener: listener, target: target, changed: make(chan struct{}), open: map[*net.TCPConn]bool{}}
	go door.accept()
	return door, nil
}

// Address returns the door's own IP:PORT.
func (door *Door) Address() string { return door.listener.Addr().String() }

// Set puts a mode in force, the zero value for a door that passes everything.
func (door *Door) Set(mode Mode) {
	door.lock.Lock()
	defer door.lock.Unlock()
	door.mode = mode
	if mode.Resets {
		door.resetAll()
	}
	close(door.changed)
	door.changed = make(chan struct{})
}

// Close ends the door and its connections.
func (door *Door) Close() {
	_ = door.listener.Close()
	door.lock.Lock()
	door.closed = true
	door.lock.Unlock()
	door.Set(Mode{Resets: true})
}

func (door *Door) resetAll() {
	for connection := range door.open {
		_ = connection.SetLinger(0)
		_ = connection.Close()
	}
}

func (door *Door) accept() {
	for {
		connection, err := door.listener.Accept()
		if err != nil {
			return
		}
		go door.carry(connection.(*net.TCPConn))
	}
}

// carry connects a caller with the target.
func (door *Door) carry(caller *net.TCPConn) {
	if !door.track(caller) {
		return
	}
	defer door.forget(caller)
	if !door.await(false) {
		return
	}
	dialed, err := net.Dial("tcp", door.target)
	if err != nil {
		_ = caller.SetLinger(0)
		return
	}
	target := dialed.(*net.TCPConn)
	if !door.track(target) {
		return
	}
	defer door.forget(target)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		pump(caller, target, func() bool { return door.await(true) })
	}()
	pump(target, caller, func() bool { return door.await(false) })
	<-answered
}

// await waits as the mode says, back is true for bytes that come back to the
// caller; false means that the connection is to end.
func (door *Door) await(back bool) bool {
	for {
		door.lock.Lock()
		mode, changed, closed := door.mode, door.changed, door.closed
		door.lock.Unlock()
		switch {
		case closed || mode.Resets:
			return false
		case mode.Silent || (mode.Mute && back):
			<-changed
			continue
		case mode.Delay > 0:
			time.Sleep(rand.N(mode.Delay))
		}
		return true
	}
}

// track returns false where the door resets connections now.
func (door *Door) track(connection *net.TCPConn) bool {
	door.lock.Lock()
	defer door.lock.Unlock()
	if door.closed || door.mode.Resets {
		_ = connection.SetLinger(0)
		_ = connection.Close()
		return false
	}
	door.open[connection] = true
	return true
}

func (door *Door) forget(connection *net.TCPConn) {
	door.lock.Lock()
	defer door.lock.Unlock()
	delete(door.open, connection)
	_ = connection.Close()
}
