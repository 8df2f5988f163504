// Package freezetest gives tests processes that have been frozen.
package freezetest

import (
	"time"

	"github.com/magpielug/magpielug/internal/freeze"
)

// JustWoken returns the watch of a process that goes on now after a freeze of a length.
func JustWoken(length time.Duration) *freeze.Detector {
	now := time.Now()
	clock := now.Add(-length)
	watch := freeze.NewDetectorWithClock(func() time.Time { return clock })
	clock = now
	watch.LastResume()
	return watch
}
