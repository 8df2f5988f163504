package node

import (
	"cmp"
	"slices"
	"sync"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/egress"
)

const (
	// nodesPerEgress is how many nodes of a zone share an egress node: few enough nodes
	// for their connections to stay in use, and enough for one lost to take little.
	nodesPerEgress = 12
	// egressShard stands for the sending to engines in the order of candidates.
	egressShard = -2
)

// egressTopology implements egress.Topology over the nodes known.
type egressTopology struct {
	node *Node

	// mutex guards the egress nodes by zone, made from a version of the members.
	mutex   sync.Mutex
	version int64
	byZone  map[string][]Member
}

// EgressNodes implements egress.Topology.
func (topology *egressTopology) EgressNodes(engine backend.Instance) ([]egress.Node, bool) {
	own := topology.node.settings.Name
	ordered := inOrderOf(engine.ID, topology.of(engine.Zone))
	if len(ordered) > 0 && ordered[0].Name == own {
		return nil, true
	}
	nodes := make([]egress.Node, 0, len(ordered))
	for _, member := range ordered {
		if member.Name != own {
			nodes = append(nodes, egress.Node{Name: member.Name, Address: member.Address})
		}
	}
	return nodes, false
}

// EngineCount implements egress.Topology.
func (topology *egressTopology) EngineCount(engine backend.Instance) int {
	return topology.node.engines.CountInZone(engine.Service, engine.Zone)
}

// of returns the egress nodes of a zone.
func (topology *egressTopology) of(zone string) []Member {
	topology.mutex.Lock()
	defer topology.mutex.Unlock()
	version := topology.node.members.version.Load()
	if topology.byZone == nil || version != topology.version {
		topology.version = version
		topology.byZone = topology.node.members.egressNodes()
	}
	return topology.byZone[zone]
}

// egressNodes returns the egress nodes of each zone: the first choices of a shard that
// no program has, and so mostly strong machines.
func (known *members) egressNodes() map[string][]Member {
	zones := map[string][]Member{}
	for _, candidate := range known.candidates(egressShard) {
		zones[candidate.Zone] = append(zones[candidate.Zone], candidate)
	}
	for zone, nodes := range zones {
		zones[zone] = nodes[:(len(nodes)+nodesPerEgress-1)/nodesPerEgress]
	}
	return zones
}

// inOrderOf returns members in the order in which they send to an engine (rendezvous
// hashing: an egress node that is lost moves its own engines only).
func inOrderOf(engine string, members []Member) []Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(left, right Member) int {
		return cmp.Compare(backend.RendezvousWeight(engine, right.Name), backend.RendezvousWeight(engine, left.Name))
	})
	return ordered
}
