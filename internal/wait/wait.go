// Package wait holds pauses that end early with their context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
