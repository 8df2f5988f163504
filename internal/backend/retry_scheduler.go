package backend

import (
	"sync"
	"time"
)

// RetryScheduler spreads the retries of calls that were rejected for lack of capacity, so that
// callers do not all return at the same moment. It is safe for concurrent use. The zero value
// is ready for use.
type RetryScheduler struct {
	mutex sync.Mutex
	// next is the earliest time for the next retry, by service.
	next map[string]time.Time
}

// RetryAfter returns when a call to a service should be retried: after its predicted wait, and
// one interval after the previously scheduled retry. If that is later than maxDelay, retries
// are spread over its second half.
func (scheduler *RetryScheduler) RetryAfter(service string, predicted, interval, maxDelay time.Duration, now time.Time) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.next == nil {
		scheduler.next = map[string]time.Time{}
	}
	earliest := now.Add(predicted)
	if predicted >= maxDelay {
		earliest = now.Add(maxDelay / 2)
	}
	retryAt := scheduler.next[service]
	if retryAt.Before(earliest) || retryAt.After(now.Add(maxDelay)) {
		retryAt = earliest
	}
	scheduler.next[service] = retryAt.Add(interval)
	return retryAt.Sub(now)
}
