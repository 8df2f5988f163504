package backend

import (
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/region"
)

// VersionServed reports whether a request that requires a software version has an engine of it in the
// given zones.
func (directory *Directory) VersionServed(service, version string, zones region.ZoneSet, now time.Time) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(inZones(ofVersion(directory.eligible(service), &version), zones)) > 0
}

// HasCapacity reports whether Pick would return an engine.
func (directory *Directory) HasCapacity(request *Request, now time.Time) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.admitted(directory.candidates(request, now), request, now)) > 0
}

// ofVersion returns the engines of a software version; nil version means all.
func ofVersion(engines []*Engine, version *string) []*Engine {
	if version == nil {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(engine *Engine) bool { return engine.Version != *version })
}
