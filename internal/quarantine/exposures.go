package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// exposurePeriod is how long an engine may still end under a request at least, after it has answered the
	// request or the request was given up. The record of an engine that ended goes within it.
	exposurePeriod = 5 * time.Second
	// maxExposurePeriod bounds the same for a request that was given up with much of its time left, which the
	// engine may use.
	maxExposurePeriod = time.Minute
	// EndSettling is how long after its answer to a request an engine may end under it and answer others
	// meanwhile.
	EndSettling = 2 * time.Second
	// maxExposures bounds the exposures that are remembered of one engine. A batch is smaller.
	maxExposures = 64
)

// Exposure is an attempt under which its engine may still end: it is over as far as this node can see, but
// the engine may have kept what it needs to end under it.
type Exposure struct {
	Attempt
	// Answered is true if the engine answered it completely.
	Answered bool
	// Over is when the attempt was over, for an answered one when the engine had answered.
	Over time.Time
}

// until returns when the engine no longer ends under the attempt.
func (exposure *Exposure) until() time.Time {
	latest := exposure.Over.Add(exposurePeriod)
	if !exposure.Answered && exposure.Deadline.After(latest) {
		latest = exposure.Deadline
	}
	if bound := exposure.Over.Add(maxExposurePeriod); latest.After(bound) {
		return bound
	}
	return latest
}

// Exposures remembers the attempts of this node under which engines may still end. Most engines go on; one
// that ends instead has ended under these attempts, whatever seemed to be their result. It is safe for
// concurrent use.
type Exposures struct {
	mutex    sync.Mutex
	byEngine map[EngineLife][]Exposure
}

// NewExposures returns an empty Exposures.
func NewExposures() *Exposures { return &Exposures{byEngine: map[EngineLife][]Exposure{}} }

// Add records that an attempt was over at a time.
func (exposures *Exposures) Add(attempt Attempt, answered bool, at time.Time) {
	exposures.mutex.Lock()
	defer exposures.mutex.Unlock()
	known := exposures.byEngine[attempt.Engine]
	if len(known) >= maxExposures {
		known = slices.Delete(known, 0, 1)
	}
	exposures.byEngine[attempt.Engine] = append(known, Exposure{Attempt: attempt, Answered: answered, Over: at})
}

// EngineAnswered records that an engine answered an attempt that began at a time: it has outlived the
// attempts that it answered EndSettling before, which are returned. An attempt that was given up may run on at
// the engine.
func (exposures *Exposures) EngineAnswered(engine EngineLife, began time.Time) []Exposure {
	exposures.mutex.Lock()
	defer exposures.mutex.Unlock()
	before := began.Add(-EndSettling)
	var outlived []Exposure
	exposures.drop(engine, func(exposure *Exposure) bool {
		if !exposure.Answered || !exposure.Over.Before(before) {
			return false
		}
		outlived = append(outlived, *exposure)
		return true
	})
	return outlived
}

// EngineEnded returns the attempts under which an engine has ended that is found to have ended now, one for
// each request that it answered and one for each that it did not, and forgets them.
func (exposures *Exposures) EngineEnded(engine EngineLife, now time.Time) []Exposure {
	exposures.mutex.Lock()
	defer exposures.mutex.Unlock()
	exposures.dropOver(engine, now)
	var ended []Exposure
	for _, exposure := range exposures.byEngine[engine] {
		if !slices.ContainsFunc(ended, func(other Exposure) bool {
			return other.Request == exposure.Request && other.Answered == exposure.Answered
		}) {
			ended = append(ended, exposure)
		}
	}
	delete(exposures.byEngine, engine)
	return ended
}

// Of returns the attempts of a request under which engines may still end.
func (exposures *Exposures) Of(request Fingerprint, now time.Time) []Exposure {
	exposures.mutex.Lock()
	defer exposures.mutex.Unlock()
	var found []Exposure
	for _, known := range exposures.byEngine {
		for _, exposure := range known {
			if exposure.Request == request && now.Before(exposure.until()) {
				found = append(found, exposure)
			}
		}
	}
	return found
}

// Engines returns the addresses of the engines that may still end under an attempt.
func (exposures *Exposures) Engines() map[EngineLife]string {
	exposures.mutex.Lock()
	defer exposures.mutex.Unlock()
	addresses := make(map[EngineLife]string, len(exposures.byEngine))
	for engine, known := range exposures.byEngine {
		addresses[engine] = known[len(known)-1].Address
	}
	return addresses
}

// Expire forgets the attempts under which no engine ends any more, and returns those that were not answered.
func (exposures *Exposures) Expire(now time.Time) []Exposure {
	exposures.mutex.Lock()
	defer exposures.mutex.Unlock()
	var unanswered []Exposure
	for engine, known := range exposures.byEngine {
		for _, exposure := range known {
			if !exposure.Answered && now.After(exposure.until()) {
				unanswered = append(unanswered, exposure)
			}
		}
		exposures.dropOver(engine, now)
	}
	return unanswered
}

// dropOver forgets an engine's attempts that are over. The caller holds the mutex.
func (exposures *Exposures) dropOver(engine EngineLife, now time.Time) {
	exposures.drop(engine, func(exposure *Exposure) bool { return now.After(exposure.until()) })
}

// drop forgets an engine's attempts that match. The caller holds the mutex.
func (exposures *Exposures) drop(engine EngineLife, matches func(exposure *Exposure) bool) {
	remaining := slices.DeleteFunc(exposures.byEngine[engine], func(exposure Exposure) bool { return matches(&exposure) })
	if len(remaining) == 0 {
		delete(exposures.byEngine, engine)
		return
	}
	exposures.byEngine[engine] = remaining
}
