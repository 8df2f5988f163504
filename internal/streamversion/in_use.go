package streamversion

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// InUse lists what streams may have begun at in a period: the versions that served, and the services to
// which routes with resumable streams led.
type InUse struct {
	Versions []Origin
	Services []string
}

// Sole returns the origin of every stream of the period that a request to a service may resume, false if
// there are several or it is not known. serving are the versions of the service's engines that are known
// now.
func (inUse InUse) Sole(service string, serving []string) (Origin, bool) {
	if len(inUse.Services) != 1 || inUse.Services[0] != service || len(serving) != 1 {
		return Origin{}, false
	}
	sole := Origin{Service: service, Version: serving[0]}
	found := false
	for _, version := range inUse.Versions {
		if version.Service != service {
			continue
		}
		if version != sole {
			return Origin{}, false
		}
		found = true
	}
	return sole, found
}

// covers reports whether everything in another list is in this one.
func (inUse InUse) covers(other InUse) bool {
	for _, version := range other.Versions {
		if !slices.Contains(inUse.Versions, version) {
			return false
		}
	}
	for _, service := range other.Services {
		if !slices.Contains(inUse.Services, service) {
			return false
		}
	}
	return true
}

const (
	// inUseAge is for how long what is no longer in use is still reported. Nodes with an old list of
	// engines or an old configuration may use it for some seconds, and callers resume what began there
	// within their deadline.
	inUseAge = time.Minute
	// inUseInterval is the longest interval between two reports.
	inUseInterval = 5 * time.Second
)

// UseReporter decides what a node reports to be in use, and when. It is not safe for concurrent use.
type UseReporter struct {
	versions map[Origin]time.Time
	services map[string]time.Time
	reported InUse
	// reportedAt is when the last report was due, zero if there was none.
	reportedAt time.Time
}

// NewUseReporter returns a reporter that has seen nothing.
func NewUseReporter() *UseReporter {
	return &UseReporter{versions: map[Origin]time.Time{}, services: map[string]time.Time{}}
}

// Observe records what is in use now, or what reports of others say if this node has just begun to report.
func (reporter *UseReporter) Observe(inUse InUse, now time.Time) {
	for _, version := range inUse.Versions {
		reporter.versions[version] = now
	}
	for _, service := range inUse.Services {
		reporter.services[service] = now
	}
}

// Due returns what has to be reported now, false if nothing has: what was in use within inUseAge, if a part
// of it is new or the last report is inUseInterval old.
func (reporter *UseReporter) Due(now time.Time) (InUse, bool) {
	isOld := func(seen time.Time) bool { return now.Sub(seen) > inUseAge }
	maps.DeleteFunc(reporter.versions, func(_ Origin, seen time.Time) bool { return isOld(seen) })
	maps.DeleteFunc(reporter.services, func(_ string, seen time.Time) bool { return isOld(seen) })
	current := InUse{Versions: slices.Collect(maps.Keys(reporter.versions)), Services: slices.Sorted(maps.Keys(reporter.services))}
	if len(current.Versions) == 0 || (reporter.reported.covers(current) && now.Sub(reporter.reportedAt) < inUseInterval) {
		return InUse{}, false
	}
	reporter.reported, reporter.reportedAt = current, now
	return current, true
}

// Failed records that the last report did not reach the log, so that it is due again.
func (reporter *UseReporter) Failed() { reporter.reported, reporter.reportedAt = InUse{}, time.Time{} }

// UseWindow keeps what the records of a log say to be in use, by the offset of the last record that says
// so. It is safe for concurrent use.
type UseWindow struct {
	mutex    sync.Mutex
	versions map[Origin]int64
	services map[string]int64
}

// NewUseWindow returns an empty window.
func NewUseWindow() *UseWindow {
	return &UseWindow{versions: map[Origin]int64{}, services: map[string]int64{}}
}

// Put records what the record at an offset says.
func (window *UseWindow) Put(offset int64, inUse InUse) {
	window.mutex.Lock()
	defer window.mutex.Unlock()
	for _, version := range inUse.Versions {
		window.versions[version] = max(window.versions[version], offset)
	}
	for _, service := range inUse.Services {
		window.services[service] = max(window.services[service], offset)
	}
}

// Since returns what the records from an offset on say, and forgets the earlier ones.
func (window *UseWindow) Since(first int64) InUse {
	window.mutex.Lock()
	defer window.mutex.Unlock()
	maps.DeleteFunc(window.versions, func(_ Origin, offset int64) bool { return offset < first })
	maps.DeleteFunc(window.services, func(_ string, offset int64) bool { return offset < first })
	return InUse{Versions: slices.Collect(maps.Keys(window.versions)), Services: slices.Sorted(maps.Keys(window.services))}
}
