package node

import (
	"slices"
	"sync"
	"time"
)

const (
	// probeDivisor divides the time for which a node has been silent into the time between two probes: nodes that
	// are lost for good cost ever less, and one that returns is found soon by comparison.
	probeDivisor = 8
	// probesPerCheck bounds the nodes that are probed at a time, so that what a node sends does not grow with the
	// number of nodes that do not respond: where many do not, they may all be short of processor time.
	probesPerCheck = 1
	// maxPeerProbeInterval bounds the time between two probes of a node.
	maxPeerProbeInterval = time.Minute
)

// unresponsivePeers knows which nodes do not answer. They are passed over until they answer a probe, so that a node
// that is lost is not found out anew again and again. It is safe for concurrent use.
type unresponsivePeers struct {
	// probeInterval is the time between two probes of a node at first.
	probeInterval time.Duration

	mutex  sync.Mutex
	byName map[string]*silence
}

// silence is the time for which a node has not answered.
type silence struct {
	since   time.Time
	probeAt time.Time
}

func newUnresponsivePeers(probeInterval time.Duration) *unresponsivePeers {
	return &unresponsivePeers{probeInterval: probeInterval, byName: map[string]*silence{}}
}

// passesOver implements peerFilter.
func (peers *unresponsivePeers) passesOver(name string, _ time.Time) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.byName[name] != nil
}

// recordSilence records that a node did not answer.
func (peers *unresponsivePeers) recordSilence(name string, now time.Time) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if peers.byName[name] == nil {
		peers.byName[name] = &silence{since: now}
	}
	peers.schedule(peers.byName[name], now)
}

// schedule sets when a node is probed next. The caller holds the mutex.
func (peers *unresponsivePeers) schedule(silent *silence, now time.Time) {
	interval := max(now.Sub(silent.since)/probeDivisor, peers.probeInterval)
	silent.probeAt = now.Add(min(interval, maxPeerProbeInterval))
}

// recordAnswer records that a node answered, and reports whether it did not before.
func (peers *unresponsivePeers) recordAnswer(name string) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	silent := peers.byName[name] != nil
	delete(peers.byName, name)
	return silent
}

// due returns the nodes that are to be probed now, those that have waited longest for it first, but no more
// than probesPerCheck. Nodes that are no members any more, or are leaving, are forgotten.
func (peers *unresponsivePeers) due(members *members, now time.Time) []string {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var names []string
	for name, silent := range peers.byName {
		if now.Before(silent.probeAt) {
			continue
		}
		member, known := members.get(name)
		if !known || member.Draining {
			delete(peers.byName, name)
			continue
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(left, right string) int {
		return peers.byName[left].probeAt.Compare(peers.byName[right].probeAt)
	})
	names = names[:min(len(names), probesPerCheck)]
	for _, name := range names {
		peers.schedule(peers.byName[name], now)
	}
	return names
}
