package backend

import (
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/region"
)

// usedDrainShare is the share of an engine's drain time in which it still gets resumed streams. The
// time counts from when this node learned that the engine is draining, which is later than when the
// engine announced it.
const usedDrainShare = 0.5

// SetDrainTime sets how long an engine takes requests after it has announced that it is draining. It
// must be called before any other method.
func (directory *Directory) SetDrainTime(drainTime time.Duration) { directory.drainTime = drainTime }

// VersionServed reports whether an engine of a software version in the given zones may get a request
// that requires this version.
func (directory *Directory) VersionServed(service, version string, zones region.ZoneSet, now time.Time) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	request := &Request{Service: service, Version: &version, Zones: zones}
	eligible := inZones(ofVersion(directory.eligible(service), request.Version), zones)
	return len(eligible) > 0 || len(directory.drainingOfVersion(request, now)) > 0
}

// HasSeveralVersions reports whether engines of one service run different software versions, draining
// ones included.
func (directory *Directory) HasSeveralVersions() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	versions := map[string]string{}
	for _, engine := range directory.engines {
		version, known := versions[engine.Service]
		if known && version != engine.Version {
			return true
		}
		versions[engine.Service] = engine.Version
	}
	return false
}

// IsSoleVersion reports whether all known engines of a service run a software version, draining ones
// included. It returns false if none is known.
func (directory *Directory) IsSoleVersion(service, version string) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	found := false
	for _, engine := range directory.engines {
		if engine.Service != service {
			continue
		}
		if engine.Version != version {
			return false
		}
		found = true
	}
	return found
}

// ServiceVersion is a software version of a service's engines.
type ServiceVersion struct {
	Service string
	Version string
}

// Versions returns the software versions of all known engines, draining ones included.
func (directory *Directory) Versions() []ServiceVersion {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var versions []ServiceVersion
	for _, engine := range directory.engines {
		version := ServiceVersion{Service: engine.Service, Version: engine.Version}
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
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

// drainingOfVersion returns the draining engines of the required version that still take requests. The
// caller holds the mutex.
func (directory *Directory) drainingOfVersion(request *Request, now time.Time) []*Engine {
	usable := time.Duration(usedDrainShare * float64(directory.drainTime))
	var draining []*Engine
	for _, engine := range directory.engines {
		takesRequests := engine.Draining && now.Sub(engine.drainingSince) < usable && !directory.evacuated[engine.Zone]
		if takesRequests && engine.Service == request.Service {
			draining = append(draining, engine)
		}
	}
	return inZones(ofVersion(draining, request.Version), request.Zones)
}
