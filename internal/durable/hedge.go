package durable

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// hedgeFactor times the usual time of an append is how long one may take
	// before it is sent again on another connection.
	hedgeFactor = 4
	hedgeLeast  = 60 * time.Millisecond
	hedgeMost   = 600 * time.Millisecond
	// hedgesInFlight bounds the sendings of one append.
	hedgesInFlight = 4
	// paceWeight is the weight of the newest append in the usual time.
	paceWeight = 0.2
)

// AppendLatency is the usual time of an append, learned from those that were answered.
// It is safe for concurrent use; the zero value is ready.
type AppendLatency struct {
	mutex sync.Mutex
	usual time.Duration
}

// Observe takes one append's time in.
func (pace *AppendLatency) Observe(took time.Duration) {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	if pace.usual == 0 {
		pace.usual = took
		return
	}
	pace.usual += time.Duration(paceWeight * float64(took-pace.usual))
}

// HedgeDelay is how long an append may take before it is worth another sending.
func (pace *AppendLatency) HedgeDelay() time.Duration {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	return min(max(hedgeFactor*pace.usual, hedgeLeast), hedgeMost)
}

// IdempotentAppend is an append that may be sent more than once: its fence's number
// makes the store do it once, or its records are facts.
type IdempotentAppend func(ctx context.Context) error

// Hedge sends an append, and sends it again where an answer takes unusually
// long: a store that has lost an answer says nothing more on that connection.
// The first sending with a known outcome decides. It gives up when ctx ends or
// no sending is left, with the last error.
func Hedge(ctx context.Context, pace *AppendLatency, send IdempotentAppend) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, hedgesInFlight)
	launch := func() {
		began := time.Now()
		err := send(ctx)
		if err == nil {
			pace.Observe(time.Since(began))
		}
		results <- err
	}
	go launch()
	sent, failed := 1, 0
	timer := time.NewTimer(pace.HedgeDelay())
	defer timer.Stop()
	for {
		select {
		case err := <-results:
			failed++
			if err == nil || NotApplied(err) || failed == sent {
				return err
			}
		case <-timer.C:
			if sent < hedgesInFlight && feature.Enabled(feature.HedgedAppends) {
				sent++
				go launch()
				timer.Reset(pace.HedgeDelay())
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
