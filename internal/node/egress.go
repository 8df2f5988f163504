package node

import (
	"cmp"
	"slices"
	"sync"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/egress"
)

const (
	// nodesPerEgress is the number of nodes of a zone per egress node. Fewer egress nodes reuse
	// connections better; more of them limit the effect of losing one.
	nodesPerEgress = 12
	// egressPseudoShard is the candidate-order key for egress nodes.
	egressPseudoShard = -2
)

// egressTopology implements egress.Topology on top of the membership.
type egressTopology struct {
	node *Node

	// mutex guards byZone, which is computed from a version of the membership.
	mutex   sync.Mutex
	version int64
	byZone  map[string][]Member
}

// EgressNodes implements egress.Topology.
func (topology *egressTopology) EgressNodes(engine backend.Instance) ([]egress.Node, bool) {
	own := topology.node.settings.Name
	ordered := rankForEngine(engine.ID, topology.nodesIn(engine.Zone))
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

// nodesIn returns the egress nodes of a zone.
func (topology *egressTopology) nodesIn(zone string) []Member {
	topology.mutex.Lock()
	defer topology.mutex.Unlock()
	version := topology.node.members.version.Load()
	if topology.byZone == nil || version != topology.version {
		topology.version = version
		topology.byZone = topology.node.members.egressNodes()
	}
	return topology.byZone[zone]
}

// egressNodes returns the egress nodes of each zone, in candidate order, which prefers nodes of
// high capacity.
func (members *members) egressNodes() map[string][]Member {
	zones := map[string][]Member{}
	for _, candidate := range members.candidates(egressPseudoShard) {
		zones[candidate.Zone] = append(zones[candidate.Zone], candidate)
	}
	for zone, nodes := range zones {
		zones[zone] = nodes[:(len(nodes)+nodesPerEgress-1)/nodesPerEgress]
	}
	return zones
}

// rankForEngine returns members in rendezvous order for an engine, so that losing an egress node
// reassigns only its own engines.
func rankForEngine(engine string, members []Member) []Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(left, right Member) int {
		return cmp.Compare(backend.RendezvousWeight(engine, right.Name), backend.RendezvousWeight(engine, left.Name))
	})
	return ordered
}
