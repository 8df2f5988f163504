package backend

import "time"

// Capacity is the total capacity of the healthy engines of a service.
type Capacity struct {
	Service string
	// Slots is the number of requests they run concurrently, 0 if an engine does not report its
	// slots.
	Slots int
	// Engines lists their IDs.
	Engines []string
}

// Capacities returns the capacity of the healthy engines of each service. Full engines count as
// healthy, and so do suspected ones if there are too many of them, because both indicate load.
// Engines in unreachable zones count only if a service has no others.
func (directory *Directory) Capacities(now time.Time) []Capacity {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.eligible("")
	var all []Capacity
	for service := range directory.eligibleByService {
		all = append(all, capacityOf(service, directory.eligibleReachable(service, now), now))
	}
	return all
}

func capacityOf(service string, engines []*Engine, now time.Time) Capacity {
	capacity := Capacity{Service: service}
	honorSuspicion := honorsSuspicion(engines, now)
	allReported := true
	for _, engine := range engines {
		if now.Before(engine.avoidUntil) || (honorSuspicion && engine.suspected(now)) {
			continue
		}
		allReported = allReported && engine.Slots > 0
		capacity.Slots += engine.Slots
		capacity.Engines = append(capacity.Engines, engine.ID)
	}
	if !allReported {
		capacity.Slots = 0
	}
	return capacity
}
