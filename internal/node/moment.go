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

// age is the time from the moment to now.
func (moment *moment) age(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(moment.sinceStart.Load())
}
