package configuration

import "time"

// freshness tells whether a process can be sure that it knows the newest
// configuration. It is not safe for concurrent use.
//
// A process is fresh if within the bound it read the log to its end, or heard
// from a majority of zones that they are at its version: a change is answered
// as accepted only once a majority of zones holds it, and two majorities share
// a zone. This takes the processes of one zone to hear each other: a zone is
// counted at the highest version heard from any of its processes.
type freshness struct {
	bound   time.Duration
	ownZone string
	// zones counts the system's zones; peers of unknown zones add to it.
	zones map[string]*zoneReport
	// logHeard is when the last read that reached the log's end was sent.
	logHeard  time.Time
	everHeard bool
}

// zoneReport is the newest word from a zone.
type zoneReport struct {
	version uint64
	heard   time.Time
	known   bool
}

func newFreshness(bound time.Duration, ownZone string) *freshness {
	return &freshness{
		bound:   bound,
		ownZone: ownZone,
		zones:   map[string]*zoneReport{ownZone: {}},
	}
}

// setZones names the system's zones.
func (fresh *freshness) setZones(names []string) {
	zones := map[string]*zoneReport{fresh.ownZone: {}}
	for _, name := range names {
		zones[name] = &zoneReport{}
		earlier, known := fresh.zones[name]
		if known {
			zones[name] = earlier
		}
	}
	fresh.zones = zones
}

// heardLog notes a read that reached the end of the log and was sent at sent.
func (fresh *freshness) heardLog(sent time.Time) {
	if !fresh.everHeard || sent.After(fresh.logHeard) {
		fresh.logHeard = sent
		fresh.everHeard = true
	}
}

// heardPeer notes the version that a process in zone had at sent.
func (fresh *freshness) heardPeer(zone string, version uint64, sent time.Time) {
	report, known := fresh.zones[zone]
	if !known {
		report = &zoneReport{}
		fresh.zones[zone] = report
	}
	if version < report.version {
		return
	}
	*report = zoneReport{version: version, heard: sent, known: true}
}

// isFresh tells whether version is certainly current at now.
func (fresh *freshness) isFresh(version uint64, now time.Time) bool {
	if fresh.everHeard && now.Sub(fresh.logHeard) <= fresh.bound {
		return true
	}
	agreeing := 0
	for zone, report := range fresh.zones {
		recent := report.known && now.Sub(report.heard) <= fresh.bound
		if report.known && report.version > version {
			return false
		}
		if zone == fresh.ownZone || (recent && report.version == version) {
			agreeing++
		}
	}
	return fresh.isMajority(agreeing) && len(fresh.zones) > 1
}

// isHeld tells whether a majority of zones has version or a later one. own is
// this process's version.
func (fresh *freshness) isHeld(version, own uint64) bool {
	holding := 0
	for zone, report := range fresh.zones {
		if (zone == fresh.ownZone && own >= version) || (report.known && report.version >= version) {
			holding++
		}
	}
	return fresh.isMajority(holding)
}

func (fresh *freshness) isMajority(count int) bool { return 2*count > len(fresh.zones) }
