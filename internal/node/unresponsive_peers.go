package node

import (
	"sync"
	"time"
)

// unresponsivePeers knows which nodes do not answer. They are passed over until they answer a probe, so that a node that
// is lost is not found out anew again and again. It is safe for concurrent use.
type unresponsivePeers struct {
	// probeInterval is the time between two probes of a node.
	probeInterval time.Duration

	mutex sync.Mutex
	// probeAt holds the nodes that did not answer, and when each is probed next.
	probeAt map[string]time.Time
}

func newUnresponsivePeers(probeInterval time.Duration) *unresponsivePeers {
	return &unresponsivePeers{probeInterval: probeInterval, probeAt: map[string]time.Time{}}
}

// passesOver implements peerFilter.
func (peers *unresponsivePeers) passesOver(name string, _ time.Time) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	_, silent := peers.probeAt[name]
	return silent
}

// recordSilence records that a node did not answer.
func (peers *unresponsivePeers) recordSilence(name string, now time.Time) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.probeAt[name] = now.Add(peers.probeInterval)
}

// recordAnswer records that a node answered, and reports whether it did not before.
func (peers *unresponsivePeers) recordAnswer(name string) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	_, silent := peers.probeAt[name]
	delete(peers.probeAt, name)
	return silent
}

// due returns the nodes that are to be probed now.
func (peers *unresponsivePeers) due(now time.Time) []string {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var names []string
	for name, at := range peers.probeAt {
		if !now.Before(at) {
			names = append(names, name)
			peers.probeAt[name] = now.Add(peers.probeInterval)
		}
	}
	return names
}
