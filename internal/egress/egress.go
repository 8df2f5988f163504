// Package egress has a model engine's requests sent by a few nodes, which keep
// connections to it.
//
// Callers come to any node, and the turns of one program come in through several. With
// hundreds of nodes and a hundred engines a node meets each engine every minute or so;
// its connection is closed by then, and nearly each turn would open a new one. A node
// that has too few turns for an engine to keep a connection warm therefore hands them
// to an egress node of the engine's zone, which sends them for all nodes and streams
// the answers back. Where an egress node can't be reached the node sends the turn itself.
//
// A turn that an egress node may have got is not handed to another one: it may run at
// most once.
package egress

import (
	"github.com/magpielug/magpielug/internal/backend"
)

// ExchangePath is where a node takes requests that others hand to it, on its peer address.
const ExchangePath = "/egress/v1/exchange"

// Node is a node that sends requests to the engines of its zone for other nodes.
type Node struct {
	Name    string
	Address string
}

// Topology tells which nodes may send to an engine.
type Topology interface {
	// EgressNodes returns the other egress nodes of an engine, the first choice first;
	// self is true where this node is the first choice, and sends itself.
	EgressNodes(engine backend.Instance) (nodes []Node, self bool)
	// EngineCount returns how many engines of the service the engine's zone has.
	EngineCount(engine backend.Instance) int
}
