package membership

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// homeRegionMembers is the number of group members in the home region if there
	// are several regions. The remaining member is in another region.
	homeRegionMembers = 2
	// scatterWidth is the target average number of peers of a process. The load
	// limits keep every process at no more than twice that.
	scatterWidth = 4
	// minCopysets keeps the shard distribution even in small clusters.
	minCopysets = 16
	// A process may be in loadSlackNumerator/loadSlackDenominator more copysets
	// than the average of its zone.
	loadSlackNumerator   = 1
	loadSlackDenominator = 4
)

// NearestRegions returns the other regions in order of distance from a region,
// nearest first. Regions missing from the result are used last.
type NearestRegions func(region string) []string

// Placement assigns every shard to a group of processes.
//
// Each shard maps to a copyset, and each copyset to a group of processes. Using
// a limited number of copysets gives each process few peers, and reduces the
// probability that simultaneous failures cost some shard its majority.
type Placement struct {
	copysets [][]Process
}

// CopysetCount returns the number of copysets for a number of processes: the
// power of two nearest to the count that yields the target scatter width, and
// at least minCopysets. Rounding to a power of two keeps the count stable, and
// a change splits or merges copysets.
func CopysetCount(processes int) int {
	wanted := processes * scatterWidth / (GroupSize * (GroupSize - 1))
	count := minCopysets
	for 3*count <= 2*wanted {
		count *= 2
	}
	return count
}

// NewPlacement assigns copysets to processes. To limit data movement, the number
// of copysets should not change each time a process joins or leaves; see
// CopysetCount. nearest may be nil; the other regions are then ranked by score.
func NewPlacement(copysets int, processes []Process, nearest NearestRegions) *Placement {
	planner := newPlanner(sortedProcesses(processes), nearest)
	slots := make([][]zoneSlot, copysets)
	for number := range slots {
		slots[number] = planner.chooseZones(numberedKey("copyset", uint32(number)))
	}
	planner.setLoadLimits(slots)
	placement := &Placement{copysets: make([][]Process, copysets)}
	for number, zones := range slots {
		key := numberedKey("copyset", uint32(number))
		placement.copysets[number] = planner.chooseProcesses(key, zones)
	}
	return placement
}

// GroupOf returns the processes that should host a shard, those in the home
// region first. It returns fewer than GroupSize only if there are fewer processes.
func (p *Placement) GroupOf(shard uint32) []Process {
	return slices.Clone(p.copysets[int(shard)%len(p.copysets)])
}

// LeaderOf returns the preferred leader of a shard, a process in its home
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
	return highestScored(numberedKey("leader", shard), home)
}

// PeersOf returns the sorted IDs of the processes that share a copyset with a
// process.
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

// namesByScore sorts names by weighted score, highest first.
func namesByScore(key string, weights map[string]int) []string {
	names := slices.Sorted(maps.Keys(weights))
	slices.SortStableFunc(names, func(left, right string) int {
		return cmp.Compare(
			weightedScore(key, right, weights[right]),
			weightedScore(key, left, weights[left]),
		)
	})
	return names
}
