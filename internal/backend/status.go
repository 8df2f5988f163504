package backend

import (
	"cmp"
	"slices"
	"time"
)

// AvoidReason is why a node gives an engine requests only where no other can take them.
type AvoidReason string

// Reasons to pass an engine over.
const (
	// AvoidDraining: its record says that it leaves; it gets none at all.
	AvoidDraining AvoidReason = "leaving"
	// AvoidEvacuated: the operators have its zone evacuated; it gets none at all.
	AvoidEvacuated AvoidReason = "evacuated"
	// AvoidCold: it has just started, and others send what it bears meanwhile.
	AvoidCold AvoidReason = "cold"
	// AvoidUnreachableZone: its zone is out of reach.
	AvoidUnreachableZone AvoidReason = "zone"
	// AvoidFailures: requests failed there, or it took no connection.
	AvoidFailures AvoidReason = "failures"
	// AvoidFull: it has just refused a request for want of room.
	AvoidFull AvoidReason = "full"
	// AvoidBreakerOpen: its requests end badly far more often than others', and it gets
	// nothing but probes.
	AvoidBreakerOpen AvoidReason = "breaker"
	// AvoidNoResponse: a request there got no answer, as seen here.
	AvoidNoResponse AvoidReason = "silent"
	// AvoidReported: other nodes pass it over.
	AvoidReported AvoidReason = "reported"
)

// Status is what this node knows of an engine.
type Status struct {
	Instance
	// Running is the number of this node's requests there.
	Running       int
	ZoneReachable bool
	AvoidReasons  []AvoidReason
}

// Statuses returns what this node knows of each engine, by service and id.
func (directory *Directory) Statuses(now time.Time) []Status {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.usable("") // It lists the engines of all services.
	statuses := make([]Status, 0, len(directory.engines))
	heeded := map[string]bool{}
	for service, engines := range directory.services {
		heeded[service] = heedsDoubt(engines, now)
	}
	for _, engine := range directory.engines {
		statuses = append(statuses, directory.status(engine, heeded[engine.Service], now))
	}
	slices.SortFunc(statuses, func(left, right Status) int {
		return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.ID, right.ID))
	})
	return statuses
}

// status describes one engine. heedDoubt tells whether doubts count at its service. The
// caller holds the mutex.
func (directory *Directory) status(engine *Engine, heedDoubt bool, now time.Time) Status {
	reached := directory.zones == nil || directory.zones.Reachable(engine.Zone, now)
	status := Status{Instance: engine.Instance, Running: engine.running, ZoneReachable: reached}
	reasons := []struct {
		reason  AvoidReason
		applies bool
	}{
		{AvoidDraining, engine.Draining},
		{AvoidEvacuated, directory.evacuated[engine.Zone]},
		{AvoidCold, !directory.warms(engine, now)},
		{AvoidUnreachableZone, !reached},
		{AvoidFailures, now.Before(engine.avoidUntil)},
		{AvoidFull, now.Before(engine.fullUntil)},
		{AvoidBreakerOpen, engine.breaker.open},
		{AvoidNoResponse, heedDoubt && now.Before(engine.silentUntil)},
		{AvoidReported, heedDoubt && now.Before(engine.reportedUntil)},
	}
	for _, each := range reasons {
		if each.applies {
			status.AvoidReasons = append(status.AvoidReasons, each.reason)
		}
	}
	return status
}
