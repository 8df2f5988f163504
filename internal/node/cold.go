package node

import (
	"github.com/magpielug/magpielug/internal/backend"
)

// coldLimit returns what cold engines of a service bear over all nodes, zero where nothing
// bounds it.
func (node *Node) coldLimit(service string) backend.ColdLimit {
	configuration := node.routes.Load()
	if configuration == nil {
		return backend.ColdLimit{}
	}
	perSecond := configuration.Services[service].ColdPerSecond
	tolerance := node.settings.ColdTolerance
	return backend.ColdLimit{PerSecond: perSecond, Burst: max(tolerance.Factor-1, 0)*perSecond + tolerance.Requests}
}

// placeAtEngine returns this node's place in the order of an engine's senders and the number
// of nodes; known is false until the nodes' records were read.
func (node *Node) placeAtEngine(engine string) (place, nodes int, known bool) {
	if !node.memberView.read() {
		return 0, 0, false
	}
	place, nodes = node.members.placeAt(engine, node.settings.Name)
	return place, nodes, true
}

// placeAt returns a node's place in the order of an engine's senders (rendezvous hashing),
// and the number of nodes that are not leaving, that node included.
func (known *members) placeAt(engine, name string) (place, nodes int) {
	known.mutex.RLock()
	defer known.mutex.RUnlock()
	own := backend.RendezvousWeight(engine, name)
	nodes = 1
	for _, member := range known.byName {
		if member.Draining || member.Name == name {
			continue
		}
		nodes++
		if backend.RendezvousWeight(engine, member.Name) > own {
			place++
		}
	}
	return place, nodes
}
