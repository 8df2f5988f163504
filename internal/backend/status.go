package backend

import (
	"cmp"
	"slices"
	"time"
)

// AvoidReason is a reason to avoid an engine.
type AvoidReason string

// Reasons to avoid an engine.
const (
	// AvoidDraining: the engine is leaving and gets no new requests.
	AvoidDraining AvoidReason = "leaving"
	// AvoidEvacuated: operators have evacuated the zone; the engine gets no new requests.
	AvoidEvacuated AvoidReason = "evacuated"
	// AvoidCold: the engine has just started, and its cold limit allows this node no request.
	AvoidCold AvoidReason = "cold"
	// AvoidUnreachableZone: the engine's zone is unreachable.
	AvoidUnreachableZone AvoidReason = "zone"
	// AvoidFailures: requests have failed, or the engine was unreachable.
	AvoidFailures AvoidReason = "failures"
	// AvoidFull: the engine has just refused a request as full.
	AvoidFull AvoidReason = "full"
	// AvoidBreakerOpen: the engine's breaker is open; it gets only probes.
	AvoidBreakerOpen AvoidReason = "breaker"
	// AvoidNoResponse: a request of this node got no response.
	AvoidNoResponse AvoidReason = "silent"
	// AvoidReported: other nodes avoid the engine.
	AvoidReported AvoidReason = "reported"
)

// Status is this node's knowledge of an engine.
type Status struct {
	Instance
	// Running is the number of this node's running requests there.
	Running       int
	ZoneReachable bool
	AvoidReasons  []AvoidReason
}

// Statuses returns the status of each engine, ordered by service and ID.
func (directory *Directory) Statuses(now time.Time) []Status {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.eligible("") // Rebuilds eligibleByService.
	statuses := make([]Status, 0, len(directory.engines))
	honored := map[string]bool{}
	for service, engines := range directory.eligibleByService {
		honored[service] = honorsSuspicion(engines, now)
	}
	for _, engine := range directory.engines {
		statuses = append(statuses, directory.status(engine, honored[engine.Service], now))
	}
	slices.SortFunc(statuses, func(left, right Status) int {
		return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.ID, right.ID))
	})
	return statuses
}

// status returns the status of one engine. honorSuspicion is the service's result of
// honorsSuspicion. The caller holds the mutex.
func (directory *Directory) status(engine *Engine, honorSuspicion bool, now time.Time) Status {
	reachable := directory.zones == nil || directory.zones.Reachable(engine.Zone, now)
	status := Status{Instance: engine.Instance, Running: engine.running, ZoneReachable: reachable}
	reasons := []struct {
		reason  AvoidReason
		applies bool
	}{
		{AvoidDraining, engine.Draining},
		{AvoidEvacuated, directory.evacuated[engine.Zone]},
		{AvoidCold, !directory.withinColdLimit(engine, now)},
		{AvoidUnreachableZone, !reachable},
		{AvoidFailures, now.Before(engine.avoidUntil)},
		{AvoidFull, now.Before(engine.fullUntil)},
		{AvoidBreakerOpen, engine.breaker.open},
		{AvoidNoResponse, honorSuspicion && now.Before(engine.noResponseUntil)},
		{AvoidReported, honorSuspicion && now.Before(engine.reportedUntil)},
	}
	for _, each := range reasons {
		if each.applies {
			status.AvoidReasons = append(status.AvoidReasons, each.reason)
		}
	}
	return status
}
