package backend

import "github.com/magpielug/magpielug/internal/region"

// SetEvacuated records whether operators have evacuated a zone, and reports whether that is a
// change. Engines in an evacuated zone get no new requests; running ones finish there.
func (directory *Directory) SetEvacuated(zone string, evacuated bool) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.evacuated[zone] == evacuated {
		return false
	}
	if evacuated {
		directory.evacuated[zone] = true
	} else {
		delete(directory.evacuated, zone)
	}
	directory.eligibleByService = nil
	return true
}

// NoneAvailable reports whether a service has engines, but none that accepts new requests in
// the given zones: they are draining, evacuated or in other zones. Waiting for such a service
// is futile.
func (directory *Directory) NoneAvailable(service string, zones region.ZoneSet) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, engine := range directory.eligible(service) {
		if zones.Contains(engine.Zone) {
			return false
		}
	}
	for _, engine := range directory.engines {
		if engine.Service == service {
			return true
		}
	}
	return false
}
