// Package freeze tells when this process was frozen: stopped by its machine for a while, with
// all goroutines and timers, and then gone on. What the process knew is then older than it
// seems, what it measured took longer, and timers that it set fire for nothing.
package freeze

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
)

const (
	// frozenAfter is for how long the process may not have run to count as frozen: longer
	// than its scheduler or a processor's quota delays a beat, and short beside the bounds
	// within which a change has to be heeded.
	frozenAfter = 500 * time.Millisecond
	// beatPause separates two beats, by which a freeze of an idle process is seen.
	beatPause = 200 * time.Millisecond
)

// Detector notes freezes of the process. It is safe for concurrent use; of a nil Detector nothing
// was ever frozen.
type Detector struct {
	clock func() time.Time

	mutex sync.Mutex
	// beat is when the process last was seen to run, woken when it did after its last freeze.
	beat  time.Time
	woken time.Time
}

// NewDetector returns a watch that has seen no freeze. Run must be called.
func NewDetector() *Detector { return NewDetectorWithClock(time.Now) }

// NewDetectorWithClock is NewWatch by a clock of its own, for tests.
func NewDetectorWithClock(clock func() time.Time) *Detector {
	return &Detector{clock: clock, beat: clock()}
}

// Run beats until ctx ends.
func (watch *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, beatPause)
		watch.LastResume()
	}
}

// LastResume is when the process went on after its last freeze, false where it never was frozen. A
// freeze that has just ended is seen also before the next beat.
func (watch *Detector) LastResume() (time.Time, bool) {
	if watch == nil {
		return time.Time{}, false
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	now := watch.clock()
	if now.Sub(watch.beat) > frozenAfter {
		watch.woken = now
	}
	if now.After(watch.beat) {
		watch.beat = now
	}
	return watch.woken, !watch.woken.IsZero()
}

// FrozenSince tells whether the process was frozen at any time since a moment.
func (watch *Detector) FrozenSince(moment time.Time) bool {
	woken, frozen := watch.LastResume()
	return frozen && moment.Before(woken)
}

// ClampAge bounds an age by the time since the process went on: nothing could be heard while it
// was frozen.
func (watch *Detector) ClampAge(age time.Duration, now time.Time) time.Duration {
	woken, frozen := watch.LastResume()
	if !frozen {
		return age
	}
	return min(age, max(now.Sub(woken), 0))
}

// Timer runs a function once a time has passed in which the process was not frozen.
type Timer struct {
	watch *Detector
	run   func()

	mutex  sync.Mutex
	length time.Duration
	set    time.Time
	timer  *time.Timer
}

// After runs a function after a time, which begins anew where the process is frozen in it:
// what the function waits for may have come meanwhile.
func (watch *Detector) After(length time.Duration, run func()) *Timer {
	made := &Timer{watch: watch, run: run}
	made.Reset(length)
	return made
}

// Reset begins the time anew.
func (timer *Timer) Reset(length time.Duration) {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	timer.length = length
	timer.set = time.Now()
	if timer.timer == nil {
		timer.timer = time.AfterFunc(length, timer.fire)
		return
	}
	timer.timer.Reset(length)
}

// Stop keeps the function from being run, unless it is run already.
func (timer *Timer) Stop() {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	timer.timer.Stop()
}

func (timer *Timer) fire() {
	if timer.beginsAnew() {
		return
	}
	timer.run()
}

// beginsAnew sets the timer again where the process was frozen since it was set.
func (timer *Timer) beginsAnew() bool {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	if !timer.watch.FrozenSince(timer.set) {
		return false
	}
	timer.set = time.Now()
	timer.timer.Reset(timer.length)
	return true
}
