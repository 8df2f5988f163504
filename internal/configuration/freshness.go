package configuration

import "time"

// freshness determines whether a process is certain to know the newest configuration
// version. It is not safe for concurrent use.
//
// A process is fresh if within bound it read the log to its end, or a majority of zones,
// its own included, reported its version and no zone has reported a later one. The second
// condition suffices because a change is acknowledged only when a majority of zones holds
// it, and any two majorities have a zone in common.
// A zone counts with the highest version reported by any of its processes, so the
// processes of one zone must exchange versions.
type freshness struct {
	bound   time.Duration
	ownZone string
	// zones holds the last report by zone, for the zones of setZones and those that peers
	// reported.
	zones map[string]*zoneReport
	// lastLogRead is the start time of the latest read that reached the log's end.
	lastLogRead time.Time
	hasReadLog  bool
}

// zoneReport is the highest version that a zone has reported, and when it last did.
type zoneReport struct {
	version    uint64
	reportedAt time.Time
	received   bool
}

func newFreshness(bound time.Duration, ownZone string) *freshness {
	return &freshness{
		bound:   bound,
		ownZone: ownZone,
		zones:   map[string]*zoneReport{ownZone: {}},
	}
}

// setZones replaces the set of zones, keeping the reports of those that remain.
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

// recordLogRead records a read, started at sent, that reached the end of the log.
func (fresh *freshness) recordLogRead(sent time.Time) {
	if !fresh.hasReadLog || sent.After(fresh.lastLogRead) {
		fresh.lastLogRead = sent
		fresh.hasReadLog = true
	}
}

// recordPeerVersion records that a process in zone had version at sent or later.
func (fresh *freshness) recordPeerVersion(zone string, version uint64, sent time.Time) {
	report, known := fresh.zones[zone]
	if !known {
		report = &zoneReport{}
		fresh.zones[zone] = report
	}
	if version < report.version {
		return
	}
	*report = zoneReport{version: version, reportedAt: sent, received: true}
}

// isFresh reports whether version, this process's version, is certain to be the newest
// at now.
func (fresh *freshness) isFresh(version uint64, now time.Time) bool {
	if fresh.hasReadLog && now.Sub(fresh.lastLogRead) <= fresh.bound {
		return true
	}
	agreeing := 0
	for zone, report := range fresh.zones {
		recent := report.received && now.Sub(report.reportedAt) <= fresh.bound
		if report.received && report.version > version {
			return false
		}
		if zone == fresh.ownZone || (recent && report.version == version) {
			agreeing++
		}
	}
	return fresh.isMajority(agreeing) && len(fresh.zones) > 1
}

// isHeld reports whether a majority of zones has version or a later one. own is this
// process's version.
func (fresh *freshness) isHeld(version, own uint64) bool {
	holding := 0
	for zone, report := range fresh.zones {
		if (zone == fresh.ownZone && own >= version) || (report.received && report.version >= version) {
			holding++
		}
	}
	return fresh.isMajority(holding)
}

func (fresh *freshness) isMajority(count int) bool { return 2*count > len(fresh.zones) }
