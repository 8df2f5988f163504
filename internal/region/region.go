// Package region determines the zones in which a call may be served if its route or its tenant
// is restricted to regions.
package region

import (
	"fmt"
	"slices"
	"strings"
)

// ZoneSet holds the zones in which a call may be served. The nil set contains all zones, an
// empty one none.
type ZoneSet []string

// Contains reports whether a call may be served in a zone.
func (zones ZoneSet) Contains(zone string) bool {
	return zones == nil || slices.Contains(zones, zone)
}

// Map holds the region of each zone. It is immutable.
type Map map[string]string

// Parse parses a comma-separated list of zone=region entries. The empty list yields an empty
// map.
func Parse(list string) (Map, error) {
	regions := Map{}
	if list == "" {
		return regions, nil
	}
	for entry := range strings.SplitSeq(list, ",") {
		zone, region, found := strings.Cut(strings.TrimSpace(entry), "=")
		if !found || zone == "" || region == "" {
			return nil, fmt.Errorf("invalid entry %q in the list of zones: want zone=region", entry)
		}
		regions[zone] = region
	}
	return regions, nil
}

// AllowedZones returns the zones whose region is in each of the lists. An empty list is no
// restriction; without any restriction the set is nil. A zone of unknown region is in no list.
func (regions Map) AllowedZones(lists ...[]string) ZoneSet {
	restrictions := slices.DeleteFunc(slices.Clone(lists), func(list []string) bool { return len(list) == 0 })
	if len(restrictions) == 0 {
		return nil
	}
	zones := ZoneSet{}
	for zone, region := range regions {
		if inEvery(restrictions, region) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func inEvery(lists [][]string, region string) bool {
	return !slices.ContainsFunc(lists, func(list []string) bool { return !slices.Contains(list, region) })
}
