package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// endWatchInterval is the interval at which the connections to engines are checked under whose requests
	// they may still end. A caller's next try comes within a few of them.
	endWatchInterval = 100 * time.Millisecond
	// endVerifyTimeout bounds a connection attempt that verifies the end of an engine, and endVerifyInterval is
	// the least time between two of them at one engine: connections are dear while links are reset.
	endVerifyTimeout  = 250 * time.Millisecond
	endVerifyInterval = time.Second
	// maxVerifyWait is how long a failed call is held until its engine is known to have ended.
	maxVerifyWait = 50 * time.Millisecond
	// endMemory is how long a node remembers that an engine has ended: longer than callers try.
	endMemory = time.Minute
)

// engineEnds finds out that engines have ended, and holds that against the requests that were there and are
// not known to be finished.
type engineEnds struct {
	node      *Node
	requests  *requestQuarantine
	exposures *quarantine.Exposures

	// mutex guards the fields below: the last check of each engine, and when its end became known.
	mutex    sync.Mutex
	verified map[quarantine.EngineLife]*verification
	known    map[quarantine.EngineLife]time.Time
}

func newEngineEnds(node *Node, requests *requestQuarantine) *engineEnds {
	return &engineEnds{node: node, requests: requests, exposures: quarantine.NewExposures(),
		verified: map[quarantine.EngineLife]*verification{}, known: map[quarantine.EngineLife]time.Time{}}
}

// add records an attempt that is over and under which its engine may still end.
func (ends *engineEnds) add(attempt quarantine.Attempt, answered bool) {
	ends.exposures.Add(attempt, answered, time.Now())
}

// relayed records an attempt that this node has sent for another one, which has no connections to the engine
// and may be lost.
func (ends *engineEnds) relayed(attempt quarantine.Attempt, answered bool) {
	if !feature.Enabled(feature.RequestQuarantine) || !feature.Enabled(feature.AllEngineEnds) {
		return
	}
	ends.add(attempt, answered)
	if !answered {
		ends.verifySoon(attempt.Engine, attempt.Address)
	}
}

// of returns the attempts of a request under which engines may still end.
func (ends *engineEnds) of(request quarantine.Fingerprint, now time.Time) []quarantine.Exposure {
	return ends.exposures.Of(request, now)
}

// answered records that an engine answered an attempt that began at a time. Requests that it has outlived were
// sound when it answered them; what came later is held against them.
func (ends *engineEnds) answered(engine quarantine.EngineLife, began time.Time) {
	outlived := ends.exposures.EngineAnswered(engine, began)
	if ends.requests.tracker.Empty() {
		return
	}
	for _, exposure := range outlived {
		ends.requests.shareRefuted(ends.requests.tracker.RequestAnswered(exposure.Identity, exposure.Over))
	}
}

// run checks the connections to engines until ctx ends. A process that ends closes its idle connections.
func (ends *engineEnds) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, endWatchInterval)
		for engine, address := range ends.exposures.Engines() {
			if ends.node.dependencies.Connections.IdleClosed(address, time.Now()) {
				ends.verifySoon(engine, address)
			}
		}
	}
}

// verification is a check whether an engine has ended.
type verification struct {
	at time.Time
	// done is closed once ended is known.
	done  chan struct{}
	ended bool
}

// verifySoon checks in the background whether an engine has ended, and returns the check. One that was begun
// a short while ago is not repeated.
func (ends *engineEnds) verifySoon(engine quarantine.EngineLife, address string) *verification {
	check, begun := ends.verificationOf(engine, time.Now())
	if begun {
		go ends.verify(check, engine, address)
	}
	return check
}

// verificationOf returns the latest check of an engine, and true if it is new.
func (ends *engineEnds) verificationOf(engine quarantine.EngineLife, now time.Time) (*verification, bool) {
	ends.mutex.Lock()
	defer ends.mutex.Unlock()
	latest := ends.verified[engine]
	if latest != nil && now.Sub(latest.at) < endVerifyInterval {
		return latest, false
	}
	check := &verification{at: now, done: make(chan struct{})}
	ends.verified[engine] = check
	return check, true
}

// verify checks whether nothing listens at an engine's address any more.
func (ends *engineEnds) verify(check *verification, engine quarantine.EngineLife, address string) {
	bounded, cancel := context.WithTimeout(context.Background(), endVerifyTimeout)
	defer cancel()
	check.ended = ends.node.dependencies.Connections.Refused(bounded, address)
	close(check.done)
	if check.ended {
		ends.found(engine)
	}
}

// endedSoon reports whether a check finds within maxVerifyWait that its engine has ended.
func (check *verification) endedSoon() bool {
	select {
	case <-check.done:
		return check.ended
	case <-time.After(maxVerifyWait):
		return false
	}
}

// found is called when this node has found out that an engine has ended. It tells all nodes unless that was
// known.
func (ends *engineEnds) found(engine quarantine.EngineLife) {
	if !ends.isKnown(engine) {
		ends.node.logger.Info("engine found ended", zap.String("engine", engine.ID), zap.Int64("life", engine.Incarnation))
		ends.requests.sharing.tellZones([]quarantine.Loss{quarantine.NewEngineEnd(engine, time.Now())}, 0)
	}
	ends.ended(engine, false)
}

// isKnown reports whether an engine is known to have ended a short while ago.
func (ends *engineEnds) isKnown(engine quarantine.EngineLife) bool {
	ends.mutex.Lock()
	defer ends.mutex.Unlock()
	_, known := ends.known[engine]
	return known
}

// ended holds the end of an engine against the requests that were there and are not known to be finished.
// One that has drained has finished those that it answered.
func (ends *engineEnds) ended(engine quarantine.EngineLife, drained bool) {
	now := time.Now()
	ends.mutex.Lock()
	ends.known[engine] = now
	ends.mutex.Unlock()
	for _, exposure := range ends.exposures.EngineEnded(engine, now) {
		if exposure.Request == (quarantine.Fingerprint{}) || exposure.Answered && drained {
			continue
		}
		cause := quarantine.Interrupted
		if exposure.Answered {
			cause = quarantine.Answered
		}
		if ends.requests.tracker.LostAs(exposure.Attempt, cause) {
			continue
		}
		ends.node.logger.Info("engine ended after an attempt", zap.Stringer("content", exposure.Request), zap.String("engine", engine.ID), zap.Stringer("cause", cause))
		go ends.requests.recordLoss(exposure.Attempt, cause, nil)
	}
}

// expire forgets what is too old to matter.
func (ends *engineEnds) expire(now time.Time) {
	for _, exposure := range ends.exposures.Expire(now) {
		ends.requests.sharing.shareSoon(ends.requests.tracker.Finish(exposure.Attempt))
	}
	ends.mutex.Lock()
	defer ends.mutex.Unlock()
	maps.DeleteFunc(ends.verified, func(_ quarantine.EngineLife, check *verification) bool { return now.Sub(check.at) > endMemory })
	maps.DeleteFunc(ends.known, func(_ quarantine.EngineLife, at time.Time) bool { return now.Sub(at) > endMemory })
}
