// Package wait provides sleeps that end early when their context is done.
package wait

import (
	"context"
	"time"
)

// Sleep blocks for the given duration or until ctx is done, whichever comes first.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
