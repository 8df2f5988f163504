// Package overload detects that a node is short of processor time, and decides which calls it then
// refuses so that the others are served in time.
//
// A node without processor time does not fail: all its goroutines wait longer for the processor, until
// callers leave before they are answered and come back. What they left behind is finished all the same,
// so that the node stays overloaded after its load has fallen. Refusing a call costs a small part of
// serving it.
package overload

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
)

const (
	// sampleInterval is the interval between two samples of the processor delay.
	sampleInterval = 25 * time.Millisecond
	// samplesPerWindow is the number of samples of which the smallest is the standing delay. A single
	// long computation delays a few of them only.
	samplesPerWindow = 8
)

// Monitor measures the processor delay: how long a goroutine that could run waits for a processor. It is
// safe for concurrent use.
type Monitor struct {
	mutex sync.Mutex
	// samples holds the last samples, the oldest at next.
	samples [samplesPerWindow]time.Duration
	next    int
	// longest is the longest standing delay since the last call of TakeLongest.
	longest time.Duration
}

// Run takes samples until ctx ends. A sample is how much later than asked for a timer has woken its
// goroutine.
func (monitor *Monitor) Run(ctx context.Context, observe func()) {
	for ctx.Err() == nil {
		began := time.Now()
		wait.Sleep(ctx, sampleInterval)
		monitor.Record(time.Since(began) - sampleInterval)
		if observe != nil {
			observe()
		}
	}
}

// Record adds a sample.
func (monitor *Monitor) Record(delay time.Duration) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.samples[monitor.next] = max(delay, 0)
	monitor.next = (monitor.next + 1) % samplesPerWindow
	monitor.longest = max(monitor.longest, monitor.standing())
}

// StandingDelay returns the smallest delay of the last window: a delay that no goroutine escapes.
func (monitor *Monitor) StandingDelay() time.Duration {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.standing()
}

// standing returns the standing delay. The caller holds the mutex.
func (monitor *Monitor) standing() time.Duration {
	smallest := monitor.samples[0]
	for _, sample := range monitor.samples[1:] {
		smallest = min(smallest, sample)
	}
	return smallest
}

// TakeLongest returns the longest standing delay since its last call.
func (monitor *Monitor) TakeLongest() time.Duration {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	longest := monitor.longest
	monitor.longest = 0
	return longest
}
