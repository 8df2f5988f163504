// Package freezetest provides detectors of frozen processes for tests.
package freezetest

import (
	"time"

	"github.com/magpielug/magpielug/internal/freeze"
)

// JustResumed returns the detector of a process that resumes now from a freeze of the given duration.
func JustResumed(duration time.Duration) *freeze.Detector {
	now := time.Now()
	clock := now.Add(-duration)
	detector := freeze.NewDetectorWithClock(func() time.Time { return clock })
	clock = now
	detector.LastResume()
	return detector
}
