package backend

import "github.com/magpielug/magpielug/internal/region"

// SetEvacuated notes whether the operators have a zone evacuated, and tells whether that is
// new. Engines of such a zone get no new requests; what runs there ends there.
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
	directory.services = nil
	return true
}

// NoneAvailable tells whether engines of a service are known, and none of those that a request may
// use takes new ones: they leave, their zones are evacuated, or they stand in zones where the
// request must not go. A call that waits for them waits for nothing.
func (directory *Directory) NoneAvailable(service string, zones region.ZoneSet) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, engine := range directory.usable(service) {
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
