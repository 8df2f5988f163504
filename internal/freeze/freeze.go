// Package freeze detects when this process was frozen: suspended by its host for a while, with
// all goroutines and timers, and then resumed. After a freeze, the state the process holds is
// older than it assumes, durations it measured include the freeze, and its timers fire although
// the events they wait for may have arrived meanwhile.
package freeze

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
)

const (
	// freezeThreshold is the gap between two heartbeats that counts as a freeze. It exceeds
	// the delays caused by scheduling and CPU throttling, and is short compared with the time
	// within which configuration changes must take effect.
	freezeThreshold = 500 * time.Millisecond
	// heartbeatInterval makes freezes of an idle process detectable.
	heartbeatInterval = 200 * time.Millisecond
)

// Detector detects freezes of the process. It is safe for concurrent use. A nil Detector
// reports no freezes.
type Detector struct {
	clock func() time.Time

	mutex sync.Mutex
	// lastHeartbeat is when the process was last known to run.
	lastHeartbeat time.Time
	// lastResume is when the process resumed after its last freeze, zero if there was none.
	lastResume time.Time
}

// NewDetector returns a detector that has seen no freeze. The caller must call Run.
func NewDetector() *Detector { return NewDetectorWithClock(time.Now) }

// NewDetectorWithClock is NewDetector with a clock for tests.
func NewDetectorWithClock(clock func() time.Time) *Detector {
	return &Detector{clock: clock, lastHeartbeat: clock()}
}

// Run records heartbeats until ctx is done.
func (detector *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, heartbeatInterval)
		detector.LastResume()
	}
}

// LastResume returns when the process resumed after its last freeze, false if it was never
// frozen. It counts as a heartbeat itself, so it reports a freeze that has just ended before Run
// notices it.
func (detector *Detector) LastResume() (time.Time, bool) {
	if detector == nil {
		return time.Time{}, false
	}
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	now := detector.clock()
	if now.Sub(detector.lastHeartbeat) > freezeThreshold {
		detector.lastResume = now
	}
	if now.After(detector.lastHeartbeat) {
		detector.lastHeartbeat = now
	}
	return detector.lastResume, !detector.lastResume.IsZero()
}

// FrozenSince reports whether the process resumed from a freeze after start.
func (detector *Detector) FrozenSince(start time.Time) bool {
	resumed, frozen := detector.LastResume()
	return frozen && start.Before(resumed)
}

// ClampAge limits the age of received data to the time since the last resume: the process could
// receive nothing while it was frozen.
func (detector *Detector) ClampAge(age time.Duration, now time.Time) time.Duration {
	resumed, frozen := detector.LastResume()
	if !frozen {
		return age
	}
	return min(age, max(now.Sub(resumed), 0))
}

// Timer runs a function after a duration without a freeze.
type Timer struct {
	detector *Detector
	function func()

	mutex    sync.Mutex
	duration time.Duration
	started  time.Time
	timer    *time.Timer
}

// AfterFunc runs a function after a duration. A freeze during that time restarts the timer, because
// the event whose absence the timer detects may have arrived during the freeze.
func (detector *Detector) AfterFunc(duration time.Duration, function func()) *Timer {
	timer := &Timer{detector: detector, function: function}
	timer.Reset(duration)
	return timer
}

// Reset restarts the timer with a new duration.
func (timer *Timer) Reset(duration time.Duration) {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	timer.duration = duration
	timer.started = time.Now()
	if timer.timer == nil {
		timer.timer = time.AfterFunc(duration, timer.fire)
		return
	}
	timer.timer.Reset(duration)
}

// Stop prevents the function from running unless it has already started.
func (timer *Timer) Stop() {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	timer.timer.Stop()
}

func (timer *Timer) fire() {
	if timer.restartAfterFreeze() {
		return
	}
	timer.function()
}

// restartAfterFreeze restarts the timer and returns true if the process was frozen since the
// timer started.
func (timer *Timer) restartAfterFreeze() bool {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	if !timer.detector.FrozenSince(timer.started) {
		return false
	}
	timer.started = time.Now()
	timer.timer.Reset(timer.duration)
	return true
}
