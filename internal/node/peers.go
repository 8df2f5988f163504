package node

import (
	"net/http"
	"sync"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
)

// peers provides RPC clients for other nodes.
type peers struct {
	members *members
	http    *http.Client
	mutex   sync.Mutex
	clients map[string]nodev1.Node
}

func newPeers(members *members, client *http.Client) *peers {
	return &peers{members: members, http: client, clients: map[string]nodev1.Node{}}
}

// client returns a client for a node at its current address.
func (peers *peers) client(name string) (nodev1.Node, error) {
	member, known := peers.members.get(name)
	if !known {
		return nil, errUnknownNode
	}
	return peers.clientAt(member.Address), nil
}

// clientAt returns a client for an address, creating it on first use.
func (peers *peers) clientAt(address string) nodev1.Node {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	found := peers.clients[address]
	if found == nil {
		found = nodev1.NewNodeProtobufClient("http://"+address, peers.http)
		peers.clients[address] = found
	}
	return found
}
