// Package relay forwards TCP connections for tests and injects network faults: partitions
// between zones, and delays, stalls and resets of a proxy's connections. Each machine is
// reached through its relay's address; the client's zone is read from its source address,
// 127.Z.0.N.
package relay

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// bufferBytes is the read buffer of one direction of a connection.
const bufferBytes = 64 << 10

// ExternalZone is the zone of clients and platform services, which use addresses
// 127.0.0.N.
const ExternalZone = 0

// link is a pair of zones: the client's and the server's.
type link struct{ from, to int }

// Network is a set of relays and the partitions between their zones. It is safe for
// concurrent use.
type Network struct {
	lock      sync.Mutex
	blocked   map[link]bool
	changed   chan struct{}
	listeners []net.Listener
	open      map[net.Conn]bool
	closed    bool
}

// NewNetwork returns a network without relays or partitions.
func NewNetwork() *Network {
	return &Network{blocked: make(map[link]bool), changed: make(chan struct{}), open: make(map[net.Conn]bool)}
}

// AddRelay listens on an address and forwards its connections to target.
func (network *Network) AddRelay(listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return eris.Wrapf(err, "listen for the relay to %s", target)
	}
	network.lock.Lock()
	defer network.lock.Unlock()
	network.listeners = append(network.listeners, listener)
	go network.accept(listener, target)
	return nil
}

// Close stops all relays and closes their connections.
func (network *Network) Close() {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.closed = true
	for _, listener := range network.listeners {
		_ = listener.Close()
	}
	for connection := range network.open {
		_ = connection.Close()
	}
	network.notifyWaiters()
}

// IsolateZone blocks traffic between a zone and the other zones, and with external also from
// the zone to the platform services. Connections stay open and resume after HealZone.
// Clients still reach the zone.
func (network *Network) IsolateZone(zone, zones int, external bool) {
	network.setBlocked(zone, zones, external, true)
}

// HealZone removes a partition that was created with the same arguments.
func (network *Network) HealZone(zone, zones int, external bool) {
	network.setBlocked(zone, zones, external, false)
}

func (network *Network) setBlocked(zone, zones int, external, block bool) {
	network.lock.Lock()
	defer network.lock.Unlock()
	for other := 1; other <= zones; other++ {
		if other != zone {
			network.blocked[link{zone, other}] = block
			network.blocked[link{other, zone}] = block
		}
	}
	if external {
		network.blocked[link{zone, ExternalZone}] = block
	}
	network.notifyWaiters()
}

// notifyWaiters wakes every goroutine that waits for a change of the network.
func (network *Network) notifyWaiters() {
	close(network.changed)
	network.changed = make(chan struct{})
}

func (network *Network) accept(listener net.Listener, target string) {
	to := zoneOfAddress(listener.Addr())
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go network.forward(connection, link{zoneOfAddress(connection.RemoteAddr()), to}, target)
	}
}

// forward connects a client to the target once the link is not blocked.
func (network *Network) forward(client net.Conn, via link, target string) {
	defer client.Close()
	if !network.track(client) || !network.awaitUnblocked(via) {
		return
	}
	defer network.untrack(client)
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	if !network.track(server) {
		return
	}
	defer network.untrack(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		network.forwardBytes(client, server, via)
	}()
	network.forwardBytes(server, client, via)
	<-done
}

// forwardBytes copies one direction of a connection, pausing while the link is blocked.
func (network *Network) forwardBytes(to, from net.Conn, via link) {
	copyGated(to, from, func() bool { return network.awaitUnblocked(via) })
}

// copyGated copies bytes until either side ends or gate returns false. gate is called
// after each read and may block. An end of stream half-closes the other side.
func copyGated(to, from net.Conn, gate func() bool) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if !gate() {
			return
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			closeWrite(to)
			return
		}
	}
}

func closeWrite(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// awaitUnblocked waits until the link is not blocked; false means that the network was
// closed.
func (network *Network) awaitUnblocked(via link) bool {
	for {
		network.lock.Lock()
		blocked, closed, changed := network.blocked[via], network.closed, network.changed
		network.lock.Unlock()
		if closed {
			return false
		}
		if !blocked {
			return true
		}
		<-changed
	}
}

func (network *Network) track(connection net.Conn) bool {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.open[connection] = true
	return !network.closed
}

func (network *Network) untrack(connection net.Conn) {
	network.lock.Lock()
	defer network.lock.Unlock()
	delete(network.open, connection)
}

// zoneOfAddress returns the Z of an address 127.Z.0.N.
func zoneOfAddress(address net.Addr) int {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return ExternalZone
	}
	if ip := tcp.IP.To4(); ip != nil {
		return int(ip[1])
	}
	return ExternalZone
}
