// Package reach tracks which zones a node can reach. A partitioned zone sends nothing: calls to its
// nodes and engines time out one by one, and a node inside it keeps accepting calls that it
// cannot serve. The package therefore combines the responses and failures of all nodes and
// engines of a zone, and probes a suspected zone so that a partition is known within a second.
package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// unreachableAfter is how long a zone must be silent to count as unreachable. Callers
	// abandon a stream after two seconds without an event; this leaves time for a retry.
	unreachableAfter = 700 * time.Millisecond
	// minUnansweredProbes is the minimum number of consecutive unanswered probes for a zone to
	// count as unreachable. Silence alone does not suffice, as there may be no traffic between
	// two zones.
	minUnansweredProbes = 2
	// probeAfter is how long after its last response a suspected zone is probed.
	probeAfter = 300 * time.Millisecond
	// failureTTL is how long a failure counts: a zone stays suspected for that long after a failed
	// call, and unreachable after the last failed probe. Without it, the engines of a zone that is
	// no longer probed because it has no nodes would never get requests again.
	failureTTL = 2 * time.Second
)

// zoneState is what was observed of one zone.
type zoneState struct {
	// lastResponse and lastFailure are when a node or an engine of the zone last responded, and
	// last failed to.
	lastResponse time.Time
	lastFailure  time.Time
	// unansweredProbes counts consecutive probes without a response.
	unansweredProbes int
	// engineResponded is true if the most recently called engine responded.
	engineResponded bool
}

func (zone *zoneState) unreachable(now time.Time) bool {
	return zone.unansweredProbes >= minUnansweredProbes && now.Sub(zone.lastResponse) > unreachableAfter && now.Sub(zone.lastFailure) <= failureTTL
}

func (zone *zoneState) suspected(now time.Time) bool {
	return zone.lastFailure.After(zone.lastResponse) && now.Sub(zone.lastFailure) <= failureTTL
}

// Zones tracks the reachability of the remote zones. It is safe for concurrent use.
type Zones struct {
	mutex     sync.Mutex
	localZone string
	zones     map[string]*zoneState
}

// NewZones returns the state of a node that has observed nothing yet: all zones count as
// reachable.
func NewZones(localZone string) *Zones {
	return &Zones{localZone: localZone, zones: map[string]*zoneState{}}
}

// remoteZone returns a zone's state and creates it if needed, nil for the local zone. The caller
// must hold the mutex.
func (zones *Zones) remoteZone(name string) *zoneState {
	if name == "" || name == zones.localZone {
		return nil
	}
	zone := zones.zones[name]
	if zone == nil {
		zone = &zoneState{}
		zones.zones[name] = zone
	}
	return zone
}

// RecordNodeResponse records that a node of the zone responded.
func (zones *Zones) RecordNodeResponse(name string, now time.Time) {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if zone := zones.remoteZone(name); zone != nil {
		zone.lastResponse = now
		zone.unansweredProbes = 0
	}
}

// RecordNodeFailure records that a node of the zone did not respond.
func (zones *Zones) RecordNodeFailure(name string, now time.Time) {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if zone := zones.remoteZone(name); zone != nil {
		zone.lastFailure = now
	}
}

// RecordEngineResponse records that an engine of the zone responded.
func (zones *Zones) RecordEngineResponse(name string, now time.Time) {
	zones.recordEngine(name, true, now)
}

// RecordEngineFailure records that an engine of the zone did not respond.
func (zones *Zones) RecordEngineFailure(name string, now time.Time) {
	zones.recordEngine(name, false, now)
}

func (zones *Zones) recordEngine(name string, responded bool, now time.Time) {
	if responded {
		zones.RecordNodeResponse(name, now)
	} else {
		zones.RecordNodeFailure(name, now)
	}
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if zone := zones.remoteZone(name); zone != nil {
		zone.engineResponded = responded
	}
}

// EnginesRespond reports whether the most recently called engine of the zone responded.
func (zones *Zones) EnginesRespond(name string) bool {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	zone := zones.zones[name]
	return zone != nil && zone.engineResponded
}

// RecordProbeTimeout records that a probe was not answered. It is ignored if the zone responded
// after the probe was sent.
func (zones *Zones) RecordProbeTimeout(name string, sent, now time.Time) {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if zone := zones.remoteZone(name); zone != nil && !zone.lastResponse.After(sent) {
		zone.lastFailure = now
		zone.unansweredProbes++
	}
}

// Reachable reports whether a zone counts as reachable, as the local zone and unknown zones do.
func (zones *Zones) Reachable(name string, now time.Time) bool {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	zone := zones.zones[name]
	return zone == nil || !zone.unreachable(now)
}

// Isolated reports whether none of the given remote zones is reachable. It returns false if none
// is given.
func (zones *Zones) Isolated(others []string, now time.Time) bool {
	return len(others) > 0 && !slices.ContainsFunc(others, func(name string) bool { return zones.Reachable(name, now) })
}

// ProbeTargets returns those of the given zones that need a probe: suspected zones without a
// recent response or, if all is set, every zone without one.
func (zones *Zones) ProbeTargets(others []string, all bool, now time.Time) []string {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	var targets []string
	for _, name := range others {
		zone := zones.remoteZone(name)
		if zone == nil || now.Sub(zone.lastResponse) <= probeAfter {
			continue
		}
		if all || zone.unansweredProbes > 0 || zone.suspected(now) {
			targets = append(targets, name)
		}
	}
	return targets
}
