package gateway

import "sync"

// retryBudget is a token bucket filled by requests and emptied by retries, so
// that retries stay a bounded share of the load whatever fails.
type retryBudget struct {
	mutex  sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// deposit credits one request.
func (budget *retryBudget) deposit() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.tokens = min(budget.tokens+budget.ratio, budget.burst)
}

// withdraw takes one retry and reports whether there was one left.
func (budget *retryBudget) withdraw() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
