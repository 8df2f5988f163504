package streamversion

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Copies is the number of nodes that keep a stream's origin beside the node that runs it.
	Copies = 3
	// searchedPerZone is the number of nodes of each zone that are asked for an origin: the node that
	// keeps it, and those that keep it if others were lost, were added or did not respond.
	searchedPerZone = 3
	// minSearched is the number of nodes asked at least, where there are few zones.
	minSearched = 2 * Copies
)

// Node is a node that can keep origins.
type Node struct {
	Name string
	Zone string
	// Capacity is the node's processor share in thousandths of a core, 0 if unknown.
	Capacity uint32
}

// defaultCapacity is assumed for nodes of unknown capacity.
const defaultCapacity = 500

// ranked is a node with its rank within its zone for one key.
type ranked struct {
	Node
	score float64
	// round is 0 for the first node of each zone, 1 for the second ones, and so on.
	round int
}

// rank orders nodes by rendezvous hashing: all first nodes of the zones, then all second ones, and so
// on. A node that comes or goes does not change the order of the others within a zone.
func rank(key Key, nodes []Node) []ranked {
	order := make([]ranked, len(nodes))
	for index, node := range nodes {
		order[index] = ranked{Node: node, score: score(key, node)}
	}
	slices.SortFunc(order, func(left, right ranked) int { return cmp.Compare(right.score, left.score) })
	rounds := map[string]int{}
	for index := range order {
		order[index].round = rounds[order[index].Zone]
		rounds[order[index].Zone]++
	}
	slices.SortStableFunc(order, func(left, right ranked) int { return cmp.Compare(left.round, right.round) })
	return order
}

// Keepers returns the nodes that keep the origin of a stream which a node of a zone runs: one in that
// zone, which may be cut off from the others, and one in each of two other zones, which outlive it.
// With fewer zones, further nodes take their places.
func Keepers(key Key, nodes []Node, self string, zone string) []string {
	order := rank(key, nodes)
	var chosen []string
	take := func(limit int, admits func(node ranked) bool) {
		for _, node := range order {
			if len(chosen) >= limit {
				return
			}
			if node.Name != self && !slices.Contains(chosen, node.Name) && admits(node) {
				chosen = append(chosen, node.Name)
			}
		}
	}
	take(1, func(node ranked) bool { return node.Zone == zone })
	zones := []string{zone}
	take(Copies, func(node ranked) bool {
		if slices.Contains(zones, node.Zone) {
			return false
		}
		zones = append(zones, node.Zone)
		return true
	})
	take(Copies, func(ranked) bool { return true })
	return chosen
}

// IsFirstOfZone reports whether a node is the first one of its zone to be asked for an origin.
func IsFirstOfZone(key Key, node Node, nodes []Node) bool {
	own := score(key, node)
	return !slices.ContainsFunc(nodes, func(other Node) bool {
		return other.Zone == node.Zone && other.Name != node.Name && score(key, other) > own
	})
}

// score returns the rank of a node for a key's placement; the highest comes first. It is the logarithm of a
// uniform hash, divided by the square of the capacity: strong nodes keep most origins.
func score(key Key, node Node) float64 {
	capacity := float64(node.Capacity)
	if capacity == 0 {
		capacity = defaultCapacity
	}
	hash := xxhash.Sum64String(string(key[:placementBytes]) + node.Name)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Log(uniform) / (capacity * capacity)
}

// Searched returns the nodes to ask for the origin of a stream, those most likely to keep it first,
// and how many belong to the first round. It depends on the key only, not on the node that began the
// stream.
func Searched(key Key, nodes []Node, self string) (names []string, firstRound int) {
	for _, node := range rank(key, nodes) {
		if node.round >= searchedPerZone && len(names) >= minSearched {
			break
		}
		if node.Name == self {
			continue
		}
		names = append(names, node.Name)
		if node.round == 0 {
			firstRound++
		}
	}
	return names, max(firstRound, min(Copies, len(names)))
}
