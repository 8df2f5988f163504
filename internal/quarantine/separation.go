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

// EngineFor returns the engine at which a request that was lost with an engine is tried next, or ""
// if it was not. engines are those of its service. All nodes give suspects different engines, as far
// as there are enough: each takes the engine of its rank among them. Requests that shared the batch
// of one that ends its engines are thus not lost with it again, and are not held responsible.
func (tracker *Tracker) EngineFor(fingerprint Fingerprint, engines []EngineLife, now time.Time) string {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	rank := slices.IndexFunc(tracker.suspects(now), func(other suspect) bool { return other.fingerprint == fingerprint })
	if rank < 0 {
		return ""
	}
	candidates := tracker.withoutLosses(engines)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rank%len(candidates)].ID
}

// withoutLosses returns the engines at which no request was lost, in an order that all nodes share.
// The caller holds the mutex.
func (tracker *Tracker) withoutLosses(engines []EngineLife) []EngineLife {
	var candidates []EngineLife
	for _, engine := range engines {
		if len(tracker.byEngine[engine]) == 0 {
			candidates = append(candidates, engine)
		}
	}
	slices.SortFunc(candidates, func(left, right EngineLife) int { return cmp.Compare(left.ID, right.ID) })
	return candidates
}

// suspects returns the requests that were lost with an engine within suspectPeriod and are not
// quarantined, those with most losses first. The caller holds the mutex.
func (tracker *Tracker) suspects(now time.Time) []suspect {
	var found []suspect
	for fingerprint, held := range tracker.requests {
		if !held.lostSince(now.Add(-suspectPeriod)) {
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

// lostSince reports whether the request was lost with an engine since a time. A wait that was given
// up early is too weak a sign.
func (request *request) lostSince(since time.Time) bool {
	return slices.ContainsFunc(request.losses, func(loss *Loss) bool {
		return !loss.Refuted && loss.Cause != Left && loss.At.After(since)
	})
}
