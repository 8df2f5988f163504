package gateway

import "sync"

// retryBudget is a token bucket that requests fill and retries drain, so that
// retries stay a bounded fraction of the load.
type retryBudget struct {
	mutex  sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// deposit adds the tokens of one request.
func (budget *retryBudget) deposit() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.tokens = min(budget.tokens+budget.ratio, budget.burst)
}

// withdraw takes one token and reports whether one was available.
func (budget *retryBudget) withdraw() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
