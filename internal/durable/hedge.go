package durable

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// hedgeDelayFactor is the hedge delay as a multiple of the average latency.
	hedgeDelayFactor = 4
	minHedgeDelay    = 60 * time.Millisecond
	maxHedgeDelay    = 600 * time.Millisecond
	// overdueFactor is the latency of an overdue append as a multiple of the average.
	overdueFactor = 2
	minOverdue    = 30 * time.Millisecond
	// SlowAppend is the latency from which a successful append counts as slow.
	SlowAppend = 100 * time.Millisecond
	// SlowAppendMemory is how long appends count as slow after a slow one. It exceeds the time
	// between two appends to a slow partition.
	SlowAppendMemory = 1500 * time.Millisecond
	// slowHedgeDelay is the hedge delay while appends are slow. Hedges then lengthen the queue
	// that delays the appends.
	slowHedgeDelay = 1600 * time.Millisecond
	// maxAppendAttempts bounds the attempts of one append.
	maxAppendAttempts = 4
	// latencyWeight is the weight of the newest sample in the moving average.
	latencyWeight = 0.2
)

// AppendLatency is an exponential moving average of the latency of successful
// appends. It is safe for concurrent use; the zero value is ready to use.
type AppendLatency struct {
	mutex   sync.Mutex
	average time.Duration
	// lastSlow is when a slow append was last observed.
	lastSlow time.Time
}

// Observe adds the latency of one append.
func (latency *AppendLatency) Observe(took time.Duration) {
	latency.mutex.Lock()
	defer latency.mutex.Unlock()
	if took >= SlowAppend {
		latency.lastSlow = time.Now()
	}
	if latency.average == 0 {
		latency.average = took
		return
	}
	latency.average += time.Duration(latencyWeight * float64(took-latency.average))
}

// HedgeDelay returns how long to wait for an append before sending another attempt.
func (latency *AppendLatency) HedgeDelay() time.Duration {
	latency.mutex.Lock()
	defer latency.mutex.Unlock()
	if time.Since(latency.lastSlow) < SlowAppendMemory {
		return slowHedgeDelay
	}
	return min(max(hedgeDelayFactor*latency.average, minHedgeDelay), maxHedgeDelay)
}

// OverdueAfter returns the latency from which an append is worth a check that costs the log nothing.
func (latency *AppendLatency) OverdueAfter() time.Duration {
	latency.mutex.Lock()
	defer latency.mutex.Unlock()
	return min(max(overdueFactor*latency.average, minOverdue), maxHedgeDelay)
}

// IdempotentAppend is an append that may be sent more than once: the store
// deduplicates it by its fence's sequence number, or duplicates are harmless.
type IdempotentAppend func(ctx context.Context) error

// Hedge sends an append, and sends further attempts while none has completed,
// because an attempt whose response was lost never completes. It returns the result
// of the first attempt with a known outcome, the last error once all attempts sent
// have failed, or ctx's error when it is done.
func Hedge(ctx context.Context, latency *AppendLatency, send IdempotentAppend) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, maxAppendAttempts)
	launch := func() {
		start := time.Now()
		err := send(ctx)
		if err == nil {
			latency.Observe(time.Since(start))
		}
		results <- err
	}
	go launch()
	sent, completed := 1, 0
	timer := time.NewTimer(latency.HedgeDelay())
	defer timer.Stop()
	for {
		select {
		case err := <-results:
			completed++
			if err == nil || NotApplied(err) || completed == sent {
				return err
			}
		case <-timer.C:
			if sent < maxAppendAttempts && feature.Enabled(feature.HedgedAppends) {
				sent++
				go launch()
				timer.Reset(latency.HedgeDelay())
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
