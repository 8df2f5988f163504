// Package heldbytes limits the memory that a process uses for buffered data over all calls:
// request bodies, and responses that callers have not read yet. Limits per call exist
// elsewhere; many slow callers at once could still exceed the process's memory and get it
// killed by the OOM killer.
package heldbytes

import "sync/atomic"

// Limiter counts the buffered bytes of one kind over all calls. A nil Limiter and one without a
// limit accept everything. It is safe for concurrent use.
type Limiter struct {
	limit int64
	inUse atomic.Int64
}

// New returns a limiter for the given number of bytes; 0 or less is unlimited.
func New(limit int64) *Limiter { return &Limiter{limit: limit} }

// TryAcquire counts more bytes, or returns false and counts nothing if they exceed the limit.
func (limiter *Limiter) TryAcquire(count int64) bool {
	if limiter == nil {
		return true
	}
	inUse := limiter.inUse.Add(count)
	if limiter.limit > 0 && inUse > limiter.limit {
		limiter.inUse.Add(-count)
		return false
	}
	return true
}

// ForceAcquire counts bytes that are buffered already, even above the limit.
func (limiter *Limiter) ForceAcquire(count int64) {
	if limiter != nil {
		limiter.inUse.Add(count)
	}
}

// Release returns acquired bytes.
func (limiter *Limiter) Release(count int64) { limiter.ForceAcquire(-count) }

// InUse returns the number of acquired bytes.
func (limiter *Limiter) InUse() int64 {
	if limiter == nil {
		return 0
	}
	return limiter.inUse.Load()
}

// Exhausted reports whether the limit has been reached.
func (limiter *Limiter) Exhausted() bool {
	return limiter != nil && limiter.limit > 0 && limiter.inUse.Load() >= limiter.limit
}
