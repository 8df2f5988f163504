package node

import (
	"sync/atomic"
	"time"
)

// processStart is the origin of atomicTime values.
var processStart = time.Now()

// atomicTime is a time that goroutines share. It uses the monotonic clock, so that wall clock
// adjustments do not affect it.
type atomicTime struct{ sinceStart atomic.Int64 }

// set stores a time obtained from time.Now in this process.
func (value *atomicTime) set(at time.Time) { value.sinceStart.Store(int64(at.Sub(processStart))) }

// advance stores a time unless the stored one is later.
func (value *atomicTime) advance(at time.Time) {
	offset := int64(at.Sub(processStart))
	for {
		current := value.sinceStart.Load()
		if current >= offset || value.sinceStart.CompareAndSwap(current, offset) {
			return
		}
	}
}

// isZero reports whether no time was stored; the value then equals processStart.
func (value *atomicTime) isZero() bool { return value.sinceStart.Load() == 0 }

// notBefore reports whether the stored time is equal to or later than another.
func (value *atomicTime) notBefore(other time.Time) bool {
	return value.sinceStart.Load() >= int64(other.Sub(processStart))
}

// age returns the time elapsed between the stored time and now.
func (value *atomicTime) age(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(value.sinceStart.Load())
}
