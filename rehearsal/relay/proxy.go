package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Faults is the set of faults that a proxy injects; the zero value injects none.
type Faults struct {
	// Stall stalls both directions and new connections.
	Stall bool
	// StallResponses stalls the target's responses only.
	StallResponses bool
	// Reset closes open and new connections with a TCP reset.
	Reset bool
	// MaxDelay is the upper bound of a random delay before each chunk of bytes.
	MaxDelay time.Duration
}

// Proxy is a fault-injecting TCP proxy. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	lock     sync.Mutex
	faults   Faults
	changed  chan struct{}
	open     map[*net.TCPConn]bool
	closed   bool
}

// StartProxy starts a proxy that listens on an address and connects to target.
func StartProxy(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for the proxy to %s", target)
	}
	proxy := &Proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[*net.TCPConn]bool{}}
	go proxy.accept()
	return proxy, nil
}

// Address returns the proxy's listen address, IP:PORT.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

// SetFaults replaces the proxy's faults.
func (proxy *Proxy) SetFaults(faults Faults) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	proxy.faults = faults
	if faults.Reset {
		proxy.resetAll()
	}
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Close stops the proxy and resets its connections.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.lock.Lock()
	proxy.closed = true
	proxy.lock.Unlock()
	proxy.SetFaults(Faults{Reset: true})
}

func (proxy *Proxy) resetAll() {
	for connection := range proxy.open {
		_ = connection.SetLinger(0)
		_ = connection.Close()
	}
}

func (proxy *Proxy) accept() {
	for {
		connection, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.forward(connection.(*net.TCPConn))
	}
}

func (proxy *Proxy) forward(client *net.TCPConn) {
	if !proxy.track(client) {
		return
	}
	defer proxy.untrack(client)
	if !proxy.awaitPass(false) {
		return
	}
	dialed, err := net.Dial("tcp", proxy.target)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	target := dialed.(*net.TCPConn)
	if !proxy.track(target) {
		return
	}
	defer proxy.untrack(target)
	done := make(chan struct{})
	go func() {
		defer close(done)
		copyGated(client, target, func() bool { return proxy.awaitPass(true) })
	}()
	copyGated(target, client, func() bool { return proxy.awaitPass(false) })
	<-done
}

// awaitPass applies the faults to a chunk of bytes; response means that it comes from the
// target. False means that the connection must be closed.
func (proxy *Proxy) awaitPass(response bool) bool {
	for {
		proxy.lock.Lock()
		faults, changed, closed := proxy.faults, proxy.changed, proxy.closed
		proxy.lock.Unlock()
		switch {
		case closed || faults.Reset:
			return false
		case faults.Stall || (faults.StallResponses && response):
			<-changed
			continue
		case faults.MaxDelay > 0:
			time.Sleep(rand.N(faults.MaxDelay))
		}
		return true
	}
}

// track registers a connection, or resets it and returns false while resets are injected.
func (proxy *Proxy) track(connection *net.TCPConn) bool {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	if proxy.closed || proxy.faults.Reset {
		_ = connection.SetLinger(0)
		_ = connection.Close()
		return false
	}
	proxy.open[connection] = true
	return true
}

func (proxy *Proxy) untrack(connection *net.TCPConn) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	delete(proxy.open, connection)
	_ = connection.Close()
}
