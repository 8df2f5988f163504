package backend

import (
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// limitDecreaseFactor scales the limit on a refusal. limitIncrease is added to it per as
	// many successes as the limit.
	limitDecreaseFactor = 0.7
	limitIncrease       = 0.5
	// limitDecreaseInterval is the minimum time between two decreases, so that concurrent
	// refusals count once.
	limitDecreaseInterval = 100 * time.Millisecond
	// limitExpiry is how long after the last refusal the limit is removed.
	limitExpiry = 3 * time.Second
	// maxFullBackoff bounds the backoff after a refusal, which doubles with each consecutive
	// one. An engine that refuses everything has no requests running and would otherwise
	// attract each call, at the expense of the retry budget; so it gets at most 2.5 attempts
	// per second from a node.
	maxFullBackoff = 400 * time.Millisecond
)

// concurrencyLimit bounds this node's concurrent requests to an engine or a service by additive
// increase and multiplicative decrease (AIMD). Without refusals there is no limit. It keeps the
// total load offered by all nodes close to what an engine accepts, without coordination.
type concurrencyLimit struct {
	// value is the limit, 0 for none.
	value        float64
	lastDecrease time.Time
	// consecutiveRefusals counts the refusals since the last success; concurrent ones count
	// once.
	consecutiveRefusals int
}

// current returns the limit at a time, 0 for none.
func (limit *concurrencyLimit) current(now time.Time) float64 {
	if now.Sub(limit.lastDecrease) > limitExpiry {
		return 0
	}
	return limit.value
}

// admits reports whether the limit allows one more request.
func (limit *concurrencyLimit) admits(running int, now time.Time) bool {
	current := limit.current(now)
	return current == 0 || float64(running+1) <= current || !feature.Enabled(feature.EngineLimits)
}

// decrease lowers the limit after a refusal with the given number of other requests running.
func (limit *concurrencyLimit) decrease(running int, now time.Time) {
	current := limit.current(now)
	if current != 0 && now.Sub(limit.lastDecrease) < limitDecreaseInterval {
		return
	}
	limit.lastDecrease = now
	attempted := float64(running + 1)
	if current != 0 {
		attempted = min(attempted, current)
	}
	limit.value = max(limitDecreaseFactor*attempted, 1)
}

// backOffFull avoids an engine for a while after it has refused a request as full.
func (engine *Engine) backOffFull(now time.Time) {
	// The engine may be avoided already for lack of connections, before any refusal.
	if !now.Before(engine.fullUntil) || engine.limit.consecutiveRefusals == 0 {
		engine.limit.consecutiveRefusals++
	}
	delay := fullBackoff
	if feature.Enabled(feature.LoadBasedCapacity) {
		delay = min(backoff(fullBackoff, engine.limit.consecutiveRefusals-1), maxFullBackoff)
	}
	engine.fullUntil = now.Add(delay)
}

// increase raises the limit after a success.
func (limit *concurrencyLimit) increase() {
	limit.consecutiveRefusals = 0
	if limit.value != 0 {
		limit.value += limitIncrease / limit.value
	}
}
