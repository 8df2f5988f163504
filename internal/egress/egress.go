// Package egress lets a few egress nodes per zone send requests to the zone's engines on behalf
// of all nodes, over connections that they keep open.
//
// Calls arrive at any node. With hundreds of nodes and a hundred engines, each node sends to
// each engine about once a minute. Its idle connection is closed by then, so nearly every turn
// would need a new one. A node with too few turns to keep connections in use therefore delegates
// its turns to an egress node of the engine's zone, which sends them and streams the responses
// back. If no egress node can be reached, the node sends the turn itself.
//
// A turn that an egress node may have received is never sent again, because it must run at most
// once.
package egress

import (
	"github.com/magpielug/magpielug/internal/backend"
)

// ExchangePath is the path on a node's peer address that accepts delegated requests.
const ExchangePath = "/egress/v1/exchange"

// Node is an egress node: it sends requests to the engines of its zone for other nodes.
type Node struct {
	Name    string
	Address string
}

// Topology determines which nodes are egress nodes for an engine.
type Topology interface {
	// EgressNodes returns the other egress nodes of an engine in order of preference. self is
	// true if this node is the preferred one and sends requests itself.
	EgressNodes(engine backend.Instance) (nodes []Node, self bool)
	// EngineCount returns the number of engines of the same service in the engine's zone.
	EngineCount(engine backend.Instance) int
}
