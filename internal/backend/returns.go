package backend

import (
	"sync"
	"time"
)

// RetryScheduler spreads the calls that come back after they were refused for want of room. It
// answers the load of many callers that were told the same time and came back at one
// moment. It is safe for concurrent use, its zero value is ready.
type RetryScheduler struct {
	mutex sync.Mutex
	// next is when the next call may come back, by service.
	next map[string]time.Time
}

// RetryAfter is when a call to a service is to come back: when its predicted wait is over, one
// interval after the call before it. Where that is later than most, which is all that a
// caller has, calls come back over the second half of that time.
func (returns *RetryScheduler) RetryAfter(service string, predicted, interval, most time.Duration, now time.Time) time.Duration {
	returns.mutex.Lock()
	defer returns.mutex.Unlock()
	if returns.next == nil {
		returns.next = map[string]time.Time{}
	}
	soonest := now.Add(predicted)
	if predicted >= most {
		soonest = now.Add(most / 2)
	}
	at := returns.next[service]
	if at.Before(soonest) || at.After(now.Add(most)) {
		at = soonest
	}
	returns.next[service] = at.Add(interval)
	return at.Sub(now)
}
