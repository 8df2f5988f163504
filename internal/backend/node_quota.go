package backend

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

const (
	// quotaOvercommit is the factor by which a node may exceed its proportional share for newly
	// arriving calls between two views. Nodes rarely use up their shares, and engines have
	// queues if they do.
	quotaOvercommit = 2.0
	// burstShare is the minimum share of the free capacity that a node may use for newly
	// arriving calls, because concurrent calls of a program arrive at one node.
	burstShare = 1.0 / 8
)

// nodeQuotas holds this node's maximum number of requests by service, until the next view.
type nodeQuotas map[string]int

// UpdateLoad recomputes the node's quotas after the load view has changed. waiting counts the
// calls waiting at this node.
//
// Nodes receive the same view at the same time. If each used all the capacity that it shows,
// they would overload the engines together and all hold back at the next view. Therefore each
// node uses only its share, in which finished requests may be replaced at once. If engines are
// overcommitted, each node's quota falls below its running requests.
func (directory *Directory) UpdateLoad(waiting map[load.QueueKey]int, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.quotas = nodeQuotas{}
	total, known := directory.load.Total(now)
	if !known {
		return
	}
	directory.eligible("") // Rebuilds eligibleByService.
	for service := range directory.eligibleByService {
		if !directory.viewApplies(service) {
			continue
		}
		engines := directory.eligibleReachable(service, now)
		directory.estimateRemoteLoad(service, engines, now)
		share := directory.queueShare(service, engines)
		free, running, local, limited := 0.0, 0.0, 0, true
		for _, engine := range engines {
			engineLimit := engine.maxRunning(share)
			limited = limited && engineLimit > 0
			free += engineLimit - float64(total.Engines[engine.ID].Running)
			running += float64(total.Engines[engine.ID].Running)
			local += engine.running
		}
		if limited {
			localWaiting := waitingByPriority(waiting, service)
			remote := remoteWaiting(total, service, localWaiting)
			input := quotaInput{free: free, running: running, local: float64(local), nodes: directory.countNodes()}
			directory.quotas[service] = local + input.quota(localWaiting, remote, randomFloat())
		}
	}
}

// SetNodeCount sets the function that returns the number of nodes. It must be called before any
// other method.
func (directory *Directory) SetNodeCount(nodes func() int) { directory.nodes = nodes }

func (directory *Directory) countNodes() float64 {
	if directory.nodes == nil {
		return 1
	}
	return float64(max(directory.nodes(), 1))
}

// waitingByPriority returns a service's waiting calls by priority.
func waitingByPriority(waiting map[load.QueueKey]int, service string) map[int]int {
	counts := map[int]int{}
	for queue, calls := range waiting {
		if queue.Service == service {
			counts[queue.Priority] += calls
		}
	}
	return counts
}

// quotaInput is the input for a node's quota at a service: the free capacity, negative if the
// engines are overcommitted, the running requests of all nodes and of this node, and the number
// of nodes.
type quotaInput struct {
	free, running, local, nodes float64
}

// quota returns this node's share of the free capacity: first for waiting calls, then for newly
// arriving ones. It is negative if the node has to reduce its load. draw, from 0 to 1, rounds
// the share randomly.
func (input quotaInput) quota(local, remote map[int]int, draw float64) int {
	if input.free <= 0 {
		return int(math.Floor(input.free*input.local/max(input.running, 1) + draw))
	}
	waiting := 0
	for _, counts := range []map[int]int{local, remote} {
		for _, calls := range counts {
			waiting += calls
		}
	}
	remaining := max(input.free-float64(waiting), 0)
	arriving := max(quotaOvercommit*remaining*(input.local+1)/(input.running+input.nodes), burstShare*remaining)
	return int(math.Floor(shareForWaiting(input.free, local, remote) + arriving + draw))
}

// remoteWaiting returns the calls to a service waiting at other nodes by priority. local
// counts those of this node, which total includes.
func remoteWaiting(total load.Report, service string, local map[int]int) map[int]int {
	remote := map[int]int{}
	for queue, calls := range total.Waiting {
		if queue.Service == service {
			remote[queue.Priority] += max(calls-local[queue.Priority], 0)
		}
	}
	return remote
}

// shareForWaiting divides capacity among waiting calls, by priority and within a priority in
// proportion to their number, and returns the share of the local ones.
func shareForWaiting(free float64, local, remote map[int]int) float64 {
	remaining := free
	share := 0.0
	for _, priority := range sortedPriorities(local) {
		ahead := 0
		for other, calls := range remote {
			if other < priority {
				ahead += calls
			}
		}
		available := max(remaining-float64(ahead), 0)
		total := local[priority] + remote[priority]
		granted := min(available, float64(total)) * float64(local[priority]) / float64(total)
		share += granted
		remaining -= granted
	}
	return share
}
