package node

import (
	"github.com/magpielug/magpielug/internal/backend"
)

// coldLimit returns the limit on requests from all nodes to each cold engine of a service; the zero
// value is unlimited.
func (node *Node) coldLimit(service string) backend.ColdLimit {
	configuration := node.routes.Load()
	if configuration == nil {
		return backend.ColdLimit{}
	}
	perSecond := configuration.Services[service].ColdPerSecond
	tolerance := node.settings.ColdTolerance
	return backend.ColdLimit{PerSecond: perSecond, Burst: max(tolerance.Factor-1, 0)*perSecond + tolerance.Requests}
}

// senderRank returns this node's rank among the senders to an engine and the number of nodes.
// known is false until the nodes' records have been read.
func (node *Node) senderRank(engine string) (rank, nodes int, known bool) {
	if !node.memberView.loaded() {
		return 0, 0, false
	}
	rank, nodes = node.members.senderRank(engine, node.settings.Name)
	return rank, nodes, true
}

// senderRank returns a node's rank among the senders to an engine, by rendezvous hashing, and the
// number of active nodes including itself.
func (members *members) senderRank(engine, name string) (rank, nodes int) {
	members.mutex.RLock()
	defer members.mutex.RUnlock()
	own := backend.RendezvousWeight(engine, name)
	nodes = 1
	for _, member := range members.byName {
		if member.Draining || member.Name == name {
			continue
		}
		nodes++
		if backend.RendezvousWeight(engine, member.Name) > own {
			rank++
		}
	}
	return rank, nodes
}
