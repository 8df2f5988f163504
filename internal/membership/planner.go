package membership

import (
	"cmp"
	"slices"
)

// zoneSlot is the zone assigned to one member of a copyset.
type zoneSlot struct {
	region string
	zone   string
}

// planner computes a placement one copyset at a time, tracking the number of
// copysets per process.
type planner struct {
	processes           []Process
	nearest             NearestRegions
	processesByZone     map[zoneSlot][]Process
	regionProcessCounts map[string]int
	load                map[string]int
	loadLimit           map[zoneSlot]int
}

func newPlanner(processes []Process, nearest NearestRegions) *planner {
	p := &planner{
		processes:           processes,
		nearest:             nearest,
		processesByZone:     map[zoneSlot][]Process{},
		regionProcessCounts: map[string]int{},
		load:                map[string]int{},
		loadLimit:           map[zoneSlot]int{},
	}
	for _, process := range processes {
		slot := zoneSlot{region: process.Region, zone: process.Zone}
		p.processesByZone[slot] = append(p.processesByZone[slot], process)
		p.regionProcessCounts[process.Region]++
	}
	return p
}

// chooseZones picks the zones of a copyset: three zones if there is one region,
// otherwise two in the home region and one in the nearest other region.
func (p *planner) chooseZones(key string) []zoneSlot {
	regions := namesByScore(key, p.regionProcessCounts)
	if len(regions) == 0 {
		return nil
	}
	home := regions[0]
	if len(regions) == 1 {
		return truncateSlots(p.zonesByScore(key, home), GroupSize)
	}
	slots := truncateSlots(p.zonesByScore(key, home), homeRegionMembers)
	for _, region := range p.regionsByDistance(home, regions[1:]) {
		wanted := GroupSize - len(slots)
		slots = append(slots, truncateSlots(p.zonesByScore(key, region), min(1, wanted))...)
	}
	return slots
}

// regionsByDistance sorts regions by distance from home; regions of unknown
// distance come last.
func (p *planner) regionsByDistance(home string, others []string) []string {
	if p.nearest == nil {
		return others
	}
	ordered := []string{}
	for _, region := range p.nearest(home) {
		if region != home && p.regionProcessCounts[region] > 0 && !slices.Contains(ordered, region) {
			ordered = append(ordered, region)
		}
	}
	for _, region := range others {
		if !slices.Contains(ordered, region) {
			ordered = append(ordered, region)
		}
	}
	return ordered
}

// zonesByScore returns a region's zones sorted by score, weighted by their number
// of processes.
func (p *planner) zonesByScore(key, region string) []zoneSlot {
	weights := map[string]int{}
	for slot, processes := range p.processesByZone {
		if slot.region == region {
			weights[slot.zone] = len(processes)
		}
	}
	slots := []zoneSlot{}
	for _, zone := range namesByScore(key, weights) {
		slots = append(slots, zoneSlot{region: region, zone: zone})
	}
	return slots
}

func truncateSlots(slots []zoneSlot, count int) []zoneSlot {
	return slots[:min(count, len(slots))]
}

// setLoadLimits caps the number of copysets per process slightly above the
// average of its zone.
func (p *planner) setLoadLimits(copysets [][]zoneSlot) {
	demand := map[zoneSlot]int{}
	for _, slots := range copysets {
		for _, slot := range slots {
			demand[slot]++
		}
	}
	for slot, wanted := range demand {
		size := len(p.processesByZone[slot])
		p.loadLimit[slot] = (wanted*(loadSlackDenominator+loadSlackNumerator) + size*loadSlackDenominator - 1) / (size * loadSlackDenominator)
	}
}

// chooseProcesses picks the highest-scored process under its load limit in each
// zone. If that yields too few, the least loaded processes of any zone are added.
func (p *planner) chooseProcesses(key string, slots []zoneSlot) []Process {
	chosen := []Process{}
	for _, slot := range slots {
		candidates := p.underLoadLimit(slot)
		if process, found := highestScored(key, candidates); found {
			p.load[process.ID]++
			chosen = append(chosen, process)
		}
	}
	if len(chosen) == GroupSize {
		return chosen
	}
	for _, process := range p.processesByLoad(key) {
		if len(chosen) < GroupSize && !slices.Contains(chosen, process) {
			p.load[process.ID]++
			chosen = append(chosen, process)
		}
	}
	return chosen
}

func (p *planner) underLoadLimit(slot zoneSlot) []Process {
	return slices.DeleteFunc(slices.Clone(p.processesByZone[slot]), func(process Process) bool {
		return p.load[process.ID] >= p.loadLimit[slot]
	})
}

// processesByLoad sorts all processes by load, ties by score.
func (p *planner) processesByLoad(key string) []Process {
	ordered := slices.Clone(p.processes)
	slices.SortStableFunc(ordered, func(left, right Process) int {
		order := cmp.Compare(p.load[left.ID], p.load[right.ID])
		if order == 0 {
			order = cmp.Compare(score(key, right.ID), score(key, left.ID))
		}
		return order
	})
	return ordered
}
