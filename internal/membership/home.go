package membership

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Process is a scheduler process that may hold replicas.
type Process struct {
	ID     string
	Region string
	Zone   string
}

// GroupSize is the number of members of a shard's group.
const GroupSize = 3

// HomeOf returns the processes that should hold a shard, best first: the highest
// by rendezvous hashing, one a zone as long as there are further zones.
func HomeOf(shard uint32, processes []Process) []Process {
	ranked := slices.Clone(processes)
	slices.SortFunc(ranked, func(left, right Process) int {
		leftWeight, rightWeight := weight(shard, left.ID), weight(shard, right.ID)
		if leftWeight != rightWeight {
			if leftWeight > rightWeight {
				return -1
			}
			return 1
		}
		return strings.Compare(left.ID, right.ID)
	})
	chosen := onePerZone(ranked)
	for _, process := range ranked {
		if len(chosen) < GroupSize && !slices.Contains(chosen, process) {
			chosen = append(chosen, process)
		}
	}
	return chosen
}

func onePerZone(ranked []Process) []Process {
	zones := make(map[string]bool)
	var chosen []Process
	for _, process := range ranked {
		if len(chosen) < GroupSize && !zones[process.Zone] {
			zones[process.Zone] = true
			chosen = append(chosen, process)
		}
	}
	return chosen
}

func weight(shard uint32, process string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(shard), 10) + "/" + process)
}
