// Package overload detects that a node is short of processor time.
//
// A node without processor time does not fail: its goroutines wait longer for the processor, until callers
// leave before they are answered and come back. What they left behind is finished all the same, so that the
// node may stay overloaded after its load has fallen.
package overload

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
)

const (
	// sampleInterval is how long a sample sleeps.
	sampleInterval = 25 * time.Millisecond
	// pressureDecay is the time in which the weight of a sample falls to 1/e. A processor quota delays few
	// samples by much and most by nothing, so that single ones say little.
	pressureDecay = 500 * time.Millisecond
)

// Monitor measures the processor pressure: the share of time for which a goroutine that could run waits for
// a processor, as pressure stall information does for processes. It is safe for concurrent use.
type Monitor struct {
	mutex    sync.Mutex
	pressure float64
	// highest is the highest pressure since the last call of TakeHighest.
	highest float64
}

// Run takes samples until ctx ends. A sample is how much later than asked for a timer has woken its
// goroutine.
func (monitor *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		wait.Sleep(ctx, sampleInterval)
		monitor.Record(time.Since(began) - sampleInterval)
	}
}

// Record adds a sample, given the delay of its wake-up.
func (monitor *Monitor) Record(delay time.Duration) {
	delay = max(delay, 0)
	elapsed := sampleInterval + delay
	weight := 1 - math.Exp(-elapsed.Seconds()/pressureDecay.Seconds())
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.pressure += weight * (delay.Seconds()/elapsed.Seconds() - monitor.pressure)
	monitor.highest = max(monitor.highest, monitor.pressure)
}

// Pressure returns the pressure of late, from 0 to 1.
func (monitor *Monitor) Pressure() float64 {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.pressure
}

// TakeHighest returns the highest pressure since its last call.
func (monitor *Monitor) TakeHighest() float64 {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	highest := monitor.highest
	monitor.highest = monitor.pressure
	return highest
}
