package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// suspectPeriod is how long after a loss a request is kept apart from others that were lost with an
// engine: most callers try again within it.
const suspectPeriod = 5 * time.Second

// suspect is a request that was lost with an engine a short while ago.
type suspect struct {
	fingerprint Fingerprint
	losses      int
}

// Placement is where a request that was lost with an engine is tried next. The zero value leaves the
// choice free.
type Placement struct {
	// Engine is the ID of the engine to prefer.
	Engine string
	// Avoid holds the IDs of the engines that other such requests prefer.
	Avoid []string
}

// PlacementFor returns where a request is tried next, out of the engines of its service. All nodes give
// suspects different engines, as far as there are enough: each prefers the engine of its rank among
// them. Requests that shared the batch of one that ends its engines are thus not lost with it again, and
// are not held responsible.
func (tracker *Tracker) PlacementFor(fingerprint Fingerprint, engines []EngineLife, now time.Time) Placement {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	suspects := tracker.suspects(now)
	rank := slices.IndexFunc(suspects, func(other suspect) bool { return other.fingerprint == fingerprint })
	candidates := tracker.withoutSuspects(tracker.withoutLosses(engines), fingerprint, now)
	if rank < 0 || len(candidates) == 0 {
		return Placement{}
	}
	preferred := rank % len(candidates)
	placement := Placement{Engine: candidates[preferred].ID}
	for index := range min(len(suspects), len(candidates)) {
		if index != preferred {
			placement.Avoid = append(placement.Avoid, candidates[index].ID)
		}
	}
	return placement
}

// withoutLosses returns the engines at which no request was lost, in an order that all nodes share.
// The caller holds the mutex.
func (tracker *Tracker) withoutLosses(engines []EngineLife) []EngineLife {
	var candidates []EngineLife
	for _, engine := range engines {
		if !slices.ContainsFunc(tracker.byEngine[engine], (*Loss).Counts) {
			candidates = append(candidates, engine)
		}
	}
	slices.SortFunc(candidates, func(left, right EngineLife) int { return cmp.Compare(left.ID, right.ID) })
	return candidates
}

// withoutSuspects returns the engines that run no other request under which engines have ended, or all if each
// runs one. The caller holds the mutex.
func (tracker *Tracker) withoutSuspects(engines []EngineLife, fingerprint Fingerprint, now time.Time) []EngineLife {
	free := slices.DeleteFunc(slices.Clone(engines), func(engine EngineLife) bool {
		return slices.ContainsFunc(tracker.byEngine[engine], func(loss *Loss) bool {
			return loss.Cause == Unfinished && loss.Request != fingerprint && tracker.count(loss.Request, now) > 0
		})
	})
	if len(free) == 0 {
		return engines
	}
	return free
}

// suspects returns the requests that were lost with an engine within suspectPeriod and are not
// quarantined, those with most losses first. The caller holds the mutex.
func (tracker *Tracker) suspects(now time.Time) []suspect {
	var found []suspect
	for fingerprint, held := range tracker.requests {
		if !held.lostBetween(now.Add(-suspectPeriod), now) {
			continue
		}
		losses := tracker.count(fingerprint, now)
		if losses < MaxLosses {
			found = append(found, suspect{fingerprint: fingerprint, losses: losses})
		}
	}
	slices.SortFunc(found, func(left, right suspect) int {
		if left.losses != right.losses {
			return right.losses - left.losses
		}
		return bytes.Compare(left.fingerprint[:], right.fingerprint[:])
	})
	return found
}

// lostBetween reports whether the request was lost with an engine after a time and not after another. A
// wait that was given up early, and an engine that ended after its answer, are too weak a sign.
func (request *request) lostBetween(from, until time.Time) bool {
	return slices.ContainsFunc(request.losses, func(loss *Loss) bool {
		return loss.Counts() && (loss.Cause == Interrupted || loss.Cause == Silent) && loss.At.After(from) && !loss.At.After(until)
	})
}
