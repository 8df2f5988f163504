package backend

import "time"

// Capacity is what the sound engines of a service have.
type Capacity struct {
	Service string
	// Slots is how many requests they run at once, 0 where not all say so.
	Slots int
	// Engines lists their ids.
	Engines []string
}

// Capacities returns what the sound engines of each service have. An engine that has just
// said that it is full is as sound as others, and so is one among many that are silent:
// that is what load looks like. Engines of zones that are out of reach count only where a
// service has no others.
func (directory *Directory) Capacities(now time.Time) []Capacity {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.usable("")
	var all []Capacity
	for service := range directory.services {
		all = append(all, capacityOf(service, directory.usableNow(service, now), now))
	}
	return all
}

func capacityOf(service string, engines []*Engine, now time.Time) Capacity {
	capacity := Capacity{Service: service}
	heedDoubt := heedsDoubt(engines, now)
	allTell := true
	for _, engine := range engines {
		if now.Before(engine.avoidUntil) || (heedDoubt && engine.doubted(now)) {
			continue
		}
		allTell = allTell && engine.Slots > 0
		capacity.Slots += engine.Slots
		capacity.Engines = append(capacity.Engines, engine.ID)
	}
	if !allTell {
		capacity.Slots = 0
	}
	return capacity
}
