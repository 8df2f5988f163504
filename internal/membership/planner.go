package membership

import (
	"cmp"
	"slices"
)

// zoneSlot is the place of one member of a copyset.
type zoneSlot struct {
	region string
	zone   string
}

// planner places copysets one after the other.
type planner struct {
	processes []Process
	nearest   Nearest
	byZone    map[zoneSlot][]Process
	regions   map[string]int
	load      map[string]int
	limit     map[zoneSlot]int
}

func newPlanner(processes []Process, nearest Nearest) *planner {
	p := &planner{
		processes: processes,
		nearest:   nearest,
		byZone:    map[zoneSlot][]Process{},
		regions:   map[string]int{},
		load:      map[string]int{},
		limit:     map[zoneSlot]int{},
	}
	for _, process := range processes {
		slot := zoneSlot{region: process.Region, zone: process.Zone}
		p.byZone[slot] = append(p.byZone[slot], process)
		p.regions[process.Region]++
	}
	return p
}

// chooseZones spreads a copyset over zones first: three zones of the only
// region, or two of its home region and one of the nearest other.
func (p *planner) chooseZones(key string) []zoneSlot {
	regions := byScore(key, p.regions)
	if len(regions) == 0 {
		return nil
	}
	home := regions[0]
	if len(regions) == 1 {
		return firstOf(p.zonesOf(key, home), GroupSize)
	}
	slots := firstOf(p.zonesOf(key, home), homeMembers)
	for _, region := range p.otherRegions(home, regions[1:]) {
		wanted := GroupSize - len(slots)
		slots = append(slots, firstOf(p.zonesOf(key, region), min(1, wanted))...)
	}
	return slots
}

// otherRegions puts the nearest regions first, those of unknown distance last.
func (p *planner) otherRegions(home string, others []string) []string {
	if p.nearest == nil {
		return others
	}
	ordered := []string{}
	for _, region := range p.nearest(home) {
		if region != home && p.regions[region] > 0 && !slices.Contains(ordered, region) {
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

// zonesOf returns a region's zones in the order of their scores.
func (p *planner) zonesOf(key, region string) []zoneSlot {
	weights := map[string]int{}
	for slot, processes := range p.byZone {
		if slot.region == region {
			weights[slot.zone] = len(processes)
		}
	}
	slots := []zoneSlot{}
	for _, zone := range byScore(key, weights) {
		slots = append(slots, zoneSlot{region: region, zone: zone})
	}
	return slots
}

func firstOf(slots []zoneSlot, count int) []zoneSlot {
	return slots[:min(count, len(slots))]
}

// limitLoad bounds the copysets of one process at a little over its zone's
// average.
func (p *planner) limitLoad(copysets [][]zoneSlot) {
	demand := map[zoneSlot]int{}
	for _, slots := range copysets {
		for _, slot := range slots {
			demand[slot]++
		}
	}
	for slot, wanted := range demand {
		size := len(p.byZone[slot])
		p.limit[slot] = (wanted*(quarters+loadSlack) + size*quarters - 1) / (size * quarters)
	}
}

// chooseProcesses takes the best process in each zone that has room. Where
// there are too few zones, further processes of any zone fill the copyset up.
func (p *planner) chooseProcesses(key string, slots []zoneSlot) []Process {
	chosen := []Process{}
	for _, slot := range slots {
		candidates := p.withRoom(slot)
		if process, found := winner(key, candidates); found {
			p.load[process.ID]++
			chosen = append(chosen, process)
		}
	}
	if len(chosen) == GroupSize {
		return chosen
	}
	for _, process := range p.leastLoaded(key) {
		if len(chosen) < GroupSize && !slices.Contains(chosen, process) {
			p.load[process.ID]++
			chosen = append(chosen, process)
		}
	}
	return chosen
}

func (p *planner) withRoom(slot zoneSlot) []Process {
	return slices.DeleteFunc(slices.Clone(p.byZone[slot]), func(process Process) bool {
		return p.load[process.ID] >= p.limit[slot]
	})
}

// leastLoaded orders all processes by their load, and by score where equal.
func (p *planner) leastLoaded(key string) []Process {
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
