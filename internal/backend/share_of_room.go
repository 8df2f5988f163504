package backend

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

const (
	// overcommit is how many times its part of the room a node may take between two views
	// for calls that have not waited. Nodes seldom all take theirs, and where they do engines
	// still have places in their queues.
	overcommit = 2.0
	// burstShare of the room a node may take in any case: the calls that a program makes at
	// once come to one node.
	burstShare = 1.0 / 8
)

// bounds is how many requests this node may have at a service until the next view.
type bounds map[string]int

// UpdateLoad takes in that the view of the load has changed. here counts the calls that wait at
// this node.
//
// It answers the load of many nodes that see at one moment how much room there is: if each
// took what it sees, together they would take it many times over, and all would hold back
// at the next view. Each node takes its part, and in place of its requests that end it may
// send others at once. Where the engines have more than they have room for, it gives back
// its part.
func (directory *Directory) UpdateLoad(here map[load.QueueKey]int, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.bounds = bounds{}
	total, known := directory.load.Total(now)
	if !known {
		return
	}
	directory.usable("") // It lists the engines of all services.
	for service := range directory.services {
		if !directory.viewShows(service) {
			continue
		}
		engines := directory.usableNow(service, now)
		directory.estimateOthers(service, engines, now)
		share := directory.queueShareOf(service, engines)
		room, all, own, bounded := 0.0, 0.0, 0, true
		for _, engine := range engines {
			most := engine.mostUnder(share)
			bounded = bounded && most > 0
			room += most - float64(total.Engines[engine.ID].Running)
			all += float64(total.Engines[engine.ID].Running)
			own += engine.running
		}
		if bounded {
			waits := ranksIn(here, service)
			waitsElsewhere := waitingElsewhere(total, service, waits)
			part := partOfRoom{room: room, all: all, own: float64(own), nodes: directory.countNodes()}
			directory.bounds[service] = own + part.of(waits, waitsElsewhere, rand.Float64())
		}
	}
}

// SetNodeCount tells the directory how many nodes there are. It is called before anything else.
func (directory *Directory) SetNodeCount(nodes func() int) { directory.nodes = nodes }

func (directory *Directory) countNodes() float64 {
	if directory.nodes == nil {
		return 1
	}
	return float64(max(directory.nodes(), 1))
}

// ranksIn counts a service's waiting calls by rank.
func ranksIn(waiting map[load.QueueKey]int, service string) map[int]int {
	counts := map[int]int{}
	for queue, calls := range waiting {
		if queue.Service == service {
			counts[queue.Priority] += calls
		}
	}
	return counts
}

// partOfRoom divides room at a service, negative where engines have more than they have room
// for, among nodes: all is what all nodes have there, own what this one has.
type partOfRoom struct {
	room, all, own, nodes float64
}

// of is this node's part: first for the calls that wait, then of what is left for those that
// come. It is negative where the node is to give back.
func (part partOfRoom) of(here, elsewhere map[int]int, draw float64) int {
	if part.room <= 0 {
		return int(math.Floor(part.room*part.own/max(part.all, 1) + draw))
	}
	waiting := 0
	for _, counts := range []map[int]int{here, elsewhere} {
		for _, calls := range counts {
			waiting += calls
		}
	}
	left := max(part.room-float64(waiting), 0)
	coming := max(overcommit*left*(part.own+1)/(part.all+part.nodes), burstShare*left)
	return int(math.Floor(shareOfRoom(part.room, here, elsewhere) + coming + draw))
}

// waitingElsewhere counts the calls to a service that wait at other nodes, by rank; here
// counts those of this node, which the total holds too.
func waitingElsewhere(total load.Report, service string, here map[int]int) map[int]int {
	elsewhere := map[int]int{}
	for queue, calls := range total.Waiting {
		if queue.Service == service {
			elsewhere[queue.Priority] += max(calls-here[queue.Priority], 0)
		}
	}
	return elsewhere
}

// shareOfRoom divides room among the calls that wait here and elsewhere, more urgent ranks
// first, and within a rank by their number.
func shareOfRoom(room float64, here, elsewhere map[int]int) float64 {
	left := room
	share := 0.0
	for _, rank := range ranksOf(here) {
		before := 0
		for other, calls := range elsewhere {
			if other < rank {
				before += calls
			}
		}
		free := max(left-float64(before), 0)
		all := here[rank] + elsewhere[rank]
		granted := min(free, float64(all)) * float64(here[rank]) / float64(all)
		share += granted
		left -= granted
	}
	return share
}
