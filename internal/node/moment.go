package node

import (
	"sync/atomic"
	"time"
)

// processStart is what moments count from.
var processStart = time.Now()

// moment is a point in time that goroutines share. It does not jump with the time of
// day, which machines may set at any moment.
type moment struct{ sinceStart atomic.Int64 }

// set takes a time of this process's time.Now.
func (moment *moment) set(at time.Time) { moment.sinceStart.Store(int64(at.Sub(processStart))) }

// advance is set, unless the moment is later already.
func (moment *moment) advance(at time.Time) {
	later := int64(at.Sub(processStart))
	for {
		held := moment.sinceStart.Load()
		if held >= later || moment.sinceStart.CompareAndSwap(held, later) {
			return
		}
	}
}

// unset tells whether the moment was never set; it then is the process's start.
func (moment *moment) unset() bool { return moment.sinceStart.Load() == 0 }

// since tells whether the moment is another one of this process or later.
func (moment *moment) since(other time.Time) bool {
	return moment.sinceStart.Load() >= int64(other.Sub(processStart))
}

// age is the time from the moment to now.
func (moment *moment) age(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(moment.sinceStart.Load())
}
