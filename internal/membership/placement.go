package membership

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// homeMembers is how many of them are in the home region, where there are
	// several regions; the last is in another region.
	homeMembers = 2
	// scatterWidth is the number of peers that a process should have on average.
	// The limits on load keep every process at twice that or less.
	scatterWidth = 4
	// minCopysets spreads the shards evenly in small fleets, whose processes are
	// all peers of one another anyway.
	minCopysets = 16
	// loadSlack is by how much a process's number of copysets may exceed the
	// average, in quarters.
	loadSlack = 1
	quarters  = 4
)

// Nearest returns the other regions of a region, the nearest first. Regions
// that it leaves out are taken last.
type Nearest func(region string) []string

// Placement is the choice of processes for all shards.
//
// Shards map to a number of copysets, and a copyset to its processes. All
// shards of a copyset share their processes, so that a process has few peers,
// and few sets of three processes lose a majority of some shard if they die at
// once.
type Placement struct {
	copysets [][]Process
}

// CopysetCount returns how many copysets suit a number of processes: the power
// of two nearest to what gives them their scatter width. So it seldom changes,
// and then splits or joins copysets.
func CopysetCount(processes int) int {
	wanted := processes * scatterWidth / (GroupSize * (GroupSize - 1))
	count := minCopysets
	for 3*count <= 2*wanted {
		count *= 2
	}
	return count
}

// NewPlacement places copysets on processes. The number of copysets should stay
// the same while processes come and go; see CopysetCount. nearest may be nil
// where there is one region.
func NewPlacement(copysets int, processes []Process, nearest Nearest) *Placement {
	planner := newPlanner(sortedProcesses(processes), nearest)
	slots := make([][]zoneSlot, copysets)
	for number := range slots {
		slots[number] = planner.chooseZones(numberedKey("copyset", uint32(number)))
	}
	planner.limitLoad(slots)
	placement := &Placement{copysets: make([][]Process, copysets)}
	for number, zones := range slots {
		key := numberedKey("copyset", uint32(number))
		placement.copysets[number] = planner.chooseProcesses(key, zones)
	}
	return placement
}

// GroupOf returns the processes that should hold a shard, fewer than GroupSize
// only if there are no more. Those of the home region come first.
func (p *Placement) GroupOf(shard uint32) []Process {
	return slices.Clone(p.copysets[int(shard)%len(p.copysets)])
}

// LeaderOf returns the process that should lead a shard, one of its home
// region, or false if there are no processes.
func (p *Placement) LeaderOf(shard uint32) (Process, bool) {
	group := p.GroupOf(shard)
	if len(group) == 0 {
		return Process{}, false
	}
	region := group[0].Region
	home := slices.DeleteFunc(group, func(process Process) bool {
		return process.Region != region
	})
	return winner(numberedKey("leader", shard), home)
}

// PeersOf returns the processes that share a copyset with a process, sorted.
func (p *Placement) PeersOf(id string) []string {
	peers := map[string]bool{}
	for _, copyset := range p.copysets {
		if !slices.ContainsFunc(copyset, func(process Process) bool { return process.ID == id }) {
			continue
		}
		for _, process := range copyset {
			peers[process.ID] = true
		}
	}
	delete(peers, id)
	return slices.Sorted(maps.Keys(peers))
}

// byScore orders names by their weighted scores, the highest first.
func byScore(key string, weights map[string]int) []string {
	names := slices.Sorted(maps.Keys(weights))
	slices.SortStableFunc(names, func(left, right string) int {
		return cmp.Compare(
			weightedScore(key, right, weights[right]),
			weightedScore(key, left, weights[left]),
		)
	})
	return names
}
