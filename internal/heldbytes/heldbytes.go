// Package heldbytes bounds what a process keeps on behalf of others: bodies that callers
// send, and answers that they have not taken. Single calls are bounded elsewhere; many
// callers that are slow at once would hold many times that, and a process that passes its
// memory is killed with all its calls.
package heldbytes

import "sync/atomic"

// Limiter counts bytes held for one purpose over all calls. A nil Limiter and one made with no
// limit take everything. It is safe for concurrent use.
type Limiter struct {
	most int64
	held atomic.Int64
}

// New returns a bound of a number of bytes; 0 or less is no limit.
func New(most int64) *Limiter { return &Limiter{most: most} }

// TryAcquire counts further bytes, or returns false where they don't fit and counts nothing.
func (bound *Limiter) TryAcquire(count int64) bool {
	if bound == nil {
		return true
	}
	held := bound.held.Add(count)
	if bound.most > 0 && held > bound.most {
		bound.held.Add(-count)
		return false
	}
	return true
}

// ForceAcquire counts bytes that are held already, whether they fit or not.
func (bound *Limiter) ForceAcquire(count int64) {
	if bound != nil {
		bound.held.Add(count)
	}
}

// Release takes back what was counted.
func (bound *Limiter) Release(count int64) { bound.ForceAcquire(-count) }

// InUse returns the bytes counted now.
func (bound *Limiter) InUse() int64 {
	if bound == nil {
		return 0
	}
	return bound.held.Load()
}

// Exhausted tells whether nothing more fits.
func (bound *Limiter) Exhausted() bool {
	return bound != nil && bound.most > 0 && bound.held.Load() >= bound.most
}
