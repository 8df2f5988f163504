package backend

import (
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// retryShare is how many asks after a refusal each answered request pays for. A tenth
	// is the usual share of retry budgets: engines under load lose at most a tenth of what
	// they serve to it, while the refusals of a single engine of ten can be asked again.
	retryShare = 0.1
	// retryFloor is how many such asks a second are allowed besides, so that a node with
	// few calls can ask again at all: over all nodes a few percent of what engines serve.
	retryFloor = 1.0
	// retryBurst is the most that is saved up: the calls of a node that meet a restart of
	// one engine.
	retryBurst = 10.0
	// refusalsToWait is how many engines may refuse a call before it waits for room, and
	// mostRefusals how many may before it is refused itself. One engine that refuses though
	// it seemed to have room may be odd, a second one says that the load is not as it is
	// known; a call that meets four would keep the engines from their work.
	refusalsToWait = 2
	mostRefusals   = 4
)

// RetryBudget bounds the asks of a node that follow on refusals. It answers the load of
// engines that refuse most of what they are asked, whose refusals sent each call on to all
// other engines and thereby kept them from the work that would have ended the overload.
// Its zero value is full. It is safe for concurrent use.
type RetryBudget struct {
	mutex sync.Mutex
	// spent is what is missing from retryBurst, as of at.
	spent  float64
	at     time.Time
	denied int64
}

// RecordSuccess notes an answered request.
func (budget *RetryBudget) RecordSuccess() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(budget.spent-retryShare, 0)
}

// Acquire takes an ask from the budget; it is false where none is left.
func (budget *RetryBudget) Acquire(now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	if budget.spent+1 > retryBurst+roundingSlack && feature.Enabled(feature.RetryBudget) {
		budget.denied++
		return false
	}
	budget.spent = min(budget.spent+1, retryBurst)
	return true
}

// Available tells whether an ask is left.
func (budget *RetryBudget) Available(now time.Time) bool {
	return budget.Remaining(now) >= 1-roundingSlack || !feature.Enabled(feature.RetryBudget)
}

// Release puts an ask back that was not made.
func (budget *RetryBudget) Release() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(budget.spent-1, 0)
}

// Remaining is how many asks are left.
func (budget *RetryBudget) Remaining(now time.Time) float64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	return retryBurst - budget.spent
}

// DeniedCount is how often no ask was left.
func (budget *RetryBudget) DeniedCount() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.denied
}

func (budget *RetryBudget) refill(now time.Time) {
	if now.After(budget.at) {
		budget.spent = max(budget.spent-retryFloor*now.Sub(budget.at).Seconds(), 0)
		budget.at = now
	}
}

// RefusalState is how often engines have refused one call. Its zero value is ready.
type RefusalState struct {
	// Refusals counts them in all, sinceWait those since the call last waited.
	Refusals  int
	sinceWait int
}

// RecordRefusal notes a refusal.
func (asking *RefusalState) RecordRefusal() {
	asking.Refusals++
	asking.sinceWait++
}

// RecordWait notes that the call has waited for room.
func (asking *RefusalState) RecordWait() { asking.sinceWait = 0 }

// Exhausted tells whether too many engines have refused the call.
func (asking *RefusalState) Exhausted() bool {
	return asking.Refusals >= mostRefusals && feature.Enabled(feature.RetryBudget)
}

// AcquireAttempt tells whether the call may ask an engine: for the first time always, after refusals
// within its own bounds and those of the node.
func (asking *RefusalState) AcquireAttempt(budget *RetryBudget, now time.Time) bool {
	if asking.Refusals == 0 {
		return true
	}
	if asking.sinceWait >= refusalsToWait && feature.Enabled(feature.RetryBudget) {
		return false
	}
	return budget.Acquire(now)
}

// MayAttempt tells whether the call may ask an engine once it has waited.
func (asking *RefusalState) MayAttempt(budget *RetryBudget, now time.Time) bool {
	return asking.Refusals == 0 || budget.Available(now)
}

// ReleaseAttempt notes that no engine was asked after Take.
func (asking *RefusalState) ReleaseAttempt(budget *RetryBudget) {
	if asking.Refusals > 0 {
		budget.Release()
	}
}
