package backend

import (
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/region"
)

// noteZone tells what a request's end says of the engine's zone.
func (directory *Directory) noteZone(engine *Engine, outcome Outcome, now time.Time) {
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

// reached returns the engines of zones that are reached, or all where each of those was asked
// already. Each node finds out for itself that an engine behind a cut is silent, a second a
// connection; with a third of the engines there, that second is all the time that a request
// has.
func (directory *Directory) reached(candidates []*Engine, request *Request, now time.Time) []*Engine {
	if directory.zones == nil {
		return candidates
	}
	beyond := func(engine *Engine) bool { return !directory.zones.Reachable(engine.Zone, now) }
	if !slices.ContainsFunc(candidates, beyond) {
		return candidates
	}
	reached := slices.DeleteFunc(slices.Clone(candidates), beyond)
	if slices.ContainsFunc(reached, func(engine *Engine) bool { return untried{}.Admits(engine, request, now) }) {
		return reached
	}
	return candidates
}

// usableNow returns those of a service's engines that get requests as its zones are reached
// now. The caller holds the mutex.
func (directory *Directory) usableNow(service string, now time.Time) []*Engine {
	return directory.reached(directory.usable(service), &Request{}, now)
}

// inZones returns the engines in the zones where a request may be served.
func inZones(engines []*Engine, zones region.ZoneSet) []*Engine {
	if zones == nil {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(engine *Engine) bool { return !zones.Contains(engine.Zone) })
}
