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
	// slowCheckInterval is the time between two checks of a log that does not respond at once.
	slowCheckInterval = 250 * time.Millisecond
	// maxSilence is how long an attempt waits for a log that does not respond at once before another
	// one is sent. The log may have dropped the attempt.
	maxSilence = time.Second
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

// Hedge sends an append to a partition, and sends further attempts while none has completed
// and the log responds to a read at once: an attempt whose response was lost never completes,
// but in a slow log each further attempt delays all appends to the partition. It returns the
// result of the first attempt with a known outcome, the last error once all attempts sent
// have failed, or ctx's error when it is done.
func Hedge(ctx context.Context, latency *AppendLatency, log Log, partition Partition, send IdempotentAppend) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, maxAppendAttempts)
	lastSent := time.Time{}
	launch := func() {
		lastSent = time.Now()
		go func() {
			start := time.Now()
			err := send(ctx)
			if err == nil {
				latency.Observe(time.Since(start))
			}
			results <- err
		}()
	}
	launch()
	sent, completed := 1, 0
	timer := time.NewTimer(latency.HedgeDelay())
	defer timer.Stop()
	checked := make(chan bool, 1)
	for {
		select {
		case err := <-results:
			completed++
			if err == nil || NotApplied(err) || completed == sent {
				return err
			}
		case <-timer.C:
			if sent < maxAppendAttempts && feature.Enabled(feature.HedgedAppends) {
				go func() {
					_, responds := ReadAtOnce(ctx, log, partition, UnknownEnd)
					checked <- responds
				}()
			}
		case responds := <-checked:
			if !responds && time.Since(lastSent) < maxSilence {
				timer.Reset(slowCheckInterval)
				continue
			}
			sent++
			launch()
			timer.Reset(latency.HedgeDelay())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
