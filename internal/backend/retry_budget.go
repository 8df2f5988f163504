package backend

import (
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// retryRatio is the number of retries earned by each successful request. It limits the
	// capacity that loaded engines lose to retries to a tenth of what they serve, and suffices
	// to retry the refusals of one engine in ten.
	retryRatio = 0.1
	// minRetriesPerSecond is the retry rate available regardless of successes, so that nodes
	// with few calls can retry at all.
	minRetriesPerSecond = 1.0
	// retryBurst is the maximum number of retries saved up: enough for a node's calls when one
	// engine restarts.
	retryBurst = 10.0
	// refusalsBeforeWait is the number of refusals after which a call waits for capacity, and
	// maxRefusals the number after which it is rejected. One refusal may be an exception; a
	// second one shows that the known load is outdated. A call that tried more engines would
	// keep them from their work.
	refusalsBeforeWait = 2
	maxRefusals        = 4
)

// RetryBudget limits the retries of a node after refusals by engines. Without it, engines under
// overload spend their time refusing calls that each try one engine after another, which
// sustains the overload. The zero value is a full budget. It is safe for concurrent use.
type RetryBudget struct {
	mutex sync.Mutex
	// spent is the number of retries missing from retryBurst, as of updated.
	spent   float64
	updated time.Time
	denied  int64
}

// RecordSuccess credits the budget with a successful request.
func (budget *RetryBudget) RecordSuccess() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(budget.spent-retryRatio, 0)
}

// Acquire takes a retry from the budget and reports whether one was available.
func (budget *RetryBudget) Acquire(now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	if budget.spent+1 > retryBurst+roundingTolerance && feature.Enabled(feature.RetryBudget) {
		budget.denied++
		return false
	}
	budget.spent = min(budget.spent+1, retryBurst)
	return true
}

// Available reports whether a retry is available.
func (budget *RetryBudget) Available(now time.Time) bool {
	return budget.Remaining(now) >= 1-roundingTolerance || !feature.Enabled(feature.RetryBudget)
}

// Release returns a retry that was not used.
func (budget *RetryBudget) Release() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(budget.spent-1, 0)
}

// Remaining returns the number of retries available.
func (budget *RetryBudget) Remaining(now time.Time) float64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	return retryBurst - budget.spent
}

// DeniedCount returns how often Acquire was denied.
func (budget *RetryBudget) DeniedCount() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.denied
}

func (budget *RetryBudget) refill(now time.Time) {
	if now.After(budget.updated) {
		budget.spent = max(budget.spent-minRetriesPerSecond*now.Sub(budget.updated).Seconds(), 0)
		budget.updated = now
	}
}

// RefusalState counts the refusals of one call by engines. The zero value is ready for use.
type RefusalState struct {
	// Refusals is their total number, sinceWait the number since the call last waited.
	Refusals  int
	sinceWait int
}

// RecordRefusal records a refusal.
func (state *RefusalState) RecordRefusal() {
	state.Refusals++
	state.sinceWait++
}

// RecordWait records that the call has waited for capacity.
func (state *RefusalState) RecordWait() { state.sinceWait = 0 }

// Exhausted reports whether the call has reached maxRefusals.
func (state *RefusalState) Exhausted() bool {
	return state.Refusals >= maxRefusals && feature.Enabled(feature.RetryBudget)
}

// AcquireAttempt reports whether the call may be sent to an engine. The first attempt is always
// allowed; after a refusal it is limited by the call's own refusals and the node's retry
// budget, from which a retry is taken.
func (state *RefusalState) AcquireAttempt(budget *RetryBudget, now time.Time) bool {
	if state.Refusals == 0 {
		return true
	}
	if state.sinceWait >= refusalsBeforeWait && feature.Enabled(feature.RetryBudget) {
		return false
	}
	return budget.Acquire(now)
}

// MayAttempt reports whether the call may be sent to an engine after it has waited.
func (state *RefusalState) MayAttempt(budget *RetryBudget, now time.Time) bool {
	return state.Refusals == 0 || budget.Available(now)
}

// ReleaseAttempt returns an attempt that was acquired but not made.
func (state *RefusalState) ReleaseAttempt(budget *RetryBudget) {
	if state.Refusals > 0 {
		budget.Release()
	}
}
