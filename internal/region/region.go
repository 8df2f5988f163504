// Package region tells in which zones a call may be served where its route or its tenant
// binds it to some regions.
package region

import (
	"fmt"
	"slices"
	"strings"
)

// ZoneSet holds the zones in which a call may be served. The nil set holds all zones, an
// empty one none.
type ZoneSet []string

// Contains tells whether a call may be served in a zone.
func (zones ZoneSet) Contains(zone string) bool {
	return zones == nil || slices.Contains(zones, zone)
}

// Map holds the region of each zone. It never changes once built.
type Map map[string]string

// Parse reads a list of zones and their regions: zone=region, with commas. The empty list is
// an empty map.
func Parse(list string) (Map, error) {
	regions := Map{}
	if list == "" {
		return regions, nil
	}
	for entry := range strings.SplitSeq(list, ",") {
		zone, region, found := strings.Cut(strings.TrimSpace(entry), "=")
		if !found || zone == "" || region == "" {
			return nil, fmt.Errorf("%q is not a zone and its region, as zone=region", entry)
		}
		regions[zone] = region
	}
	return regions, nil
}

// AllowedZones returns the zones that lie in a region of each of several lists. A list without
// entries binds nothing; with no other the set is nil. A zone whose region is not known
// lies in none.
func (regions Map) AllowedZones(lists ...[]string) ZoneSet {
	binding := slices.DeleteFunc(slices.Clone(lists), func(list []string) bool { return len(list) == 0 })
	if len(binding) == 0 {
		return nil
	}
	zones := ZoneSet{}
	for zone, region := range regions {
		if inAll(binding, region) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func inAll(lists [][]string, region string) bool {
	return !slices.ContainsFunc(lists, func(list []string) bool { return !slices.Contains(list, region) })
}
