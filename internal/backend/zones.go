package backend

import (
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/region"
)

// recordZoneOutcome reports what a request's outcome shows about the reachability of the
// engine's zone.
func (directory *Directory) recordZoneOutcome(engine *Engine, outcome Outcome, now time.Time) {
	if directory.zones == nil {
		return
	}
	switch outcome {
	case Succeeded, Full, Misdirected:
		directory.zones.RecordEngineResponse(engine.Zone, now)
	case Failed, Unreachable, NoResponse:
		directory.zones.RecordEngineFailure(engine.Zone, now)
	case Abandoned:
	}
}

// inReachableZones returns the candidates in reachable zones, or all candidates if those were
// already tried. Otherwise each request would have to time out at every engine of an
// unreachable zone before it tries another, and one dialTimeout may be all the time that the
// request has.
func (directory *Directory) inReachableZones(candidates []*Engine, request *Request, now time.Time) []*Engine {
	if directory.zones == nil {
		return candidates
	}
	unreachable := func(engine *Engine) bool { return !directory.zones.Reachable(engine.Zone, now) }
	if !slices.ContainsFunc(candidates, unreachable) {
		return candidates
	}
	reachable := slices.DeleteFunc(slices.Clone(candidates), unreachable)
	if slices.ContainsFunc(reachable, func(engine *Engine) bool { return untried{}.Admits(engine, request, now) }) {
		return reachable
	}
	return candidates
}

// eligibleReachable returns the eligible engines of a service in reachable zones, or all of its
// eligible engines if none is in one. The caller holds the mutex.
func (directory *Directory) eligibleReachable(service string, now time.Time) []*Engine {
	return directory.inReachableZones(directory.eligible(service), &Request{}, now)
}

// inZones returns the engines in zones; nil zones means all.
func inZones(engines []*Engine, zones region.ZoneSet) []*Engine {
	if zones == nil {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(engine *Engine) bool { return !zones.Contains(engine.Zone) })
}
