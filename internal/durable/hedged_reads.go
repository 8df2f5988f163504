package durable

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// readRetryInterval is how long to wait for a response to begin before another
	// attempt. A store that recovers responds to new calls, not to those it dropped.
	readRetryInterval = 400 * time.Millisecond
	// maxReadAttempts bounds the concurrent attempts of one read; a new attempt
	// cancels the oldest.
	maxReadAttempts = 5
	// transferRetryInterval is how long a response that has begun may take to arrive
	// before another attempt. It is longer than readRetryInterval so that up to four
	// duplicates of a large response do not compete with it for bandwidth.
	transferRetryInterval = 2500 * time.Millisecond
)

// HedgedReads is a Log that repeats reads while no response arrives.
type HedgedReads struct{ Log }

// Read implements Log. A read with a wait is sent once.
func (hedged *HedgedReads) Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error) {
	if wait > 0 || !feature.Enabled(feature.HedgedReads) {
		return hedged.Log.Read(ctx, partition, from, wait)
	}
	return hedgeRead(ctx, func(ctx context.Context) (Batch, error) {
		return hedged.Log.Read(ctx, partition, from, 0)
	})
}

// ReadRecord implements Log.
func (hedged *HedgedReads) ReadRecord(ctx context.Context, partition Partition, offset int64, size int) ([]byte, error) {
	if !feature.Enabled(feature.HedgedReads) {
		return hedged.Log.ReadRecord(ctx, partition, offset, size)
	}
	return hedgeRead(ctx, func(ctx context.Context) ([]byte, error) {
		return hedged.Log.ReadRecord(ctx, partition, offset, size)
	})
}

// Latest implements Log.
func (hedged *HedgedReads) Latest(ctx context.Context, topic string) (Snapshot, error) {
	if !feature.Enabled(feature.HedgedReads) {
		return hedged.Log.Latest(ctx, topic)
	}
	return hedgeRead(ctx, func(ctx context.Context) (Snapshot, error) {
		return hedged.Log.Latest(ctx, topic)
	})
}

// readResult is the outcome of one attempt.
type readResult[Content any] struct {
	content Content
	err     error
}

// hedgeRead sends a read, and further attempts until a response begins to arrive.
// It returns the first result, even if that is an error.
func hedgeRead[Content any](ctx context.Context, send func(ctx context.Context) (Content, error)) (Content, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult[Content], maxReadAttempts)
	started := make(chan int, 1)
	var cancels []context.CancelFunc
	launch := func() {
		attempt, cancelAttempt := context.WithCancel(ctx)
		cancels = append(cancels, cancelAttempt)
		number := len(cancels) - 1
		attempt = withResponseStarted(attempt, func() {
			select {
			case started <- number:
			default: // Another attempt's response is already arriving.
			}
		})
		go func() {
			content, err := send(attempt)
			if attempt.Err() == nil {
				results <- readResult[Content]{content: content, err: err}
			}
		}()
	}
	launch()
	ticker := time.NewTicker(readRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case first := <-results:
			return first.content, first.err
		case arriving := <-started:
			for number, cancelAttempt := range cancels {
				if number != arriving {
					cancelAttempt()
				}
			}
			ticker.Reset(transferRetryInterval)
		case <-ticker.C:
			if oldest := len(cancels) - maxReadAttempts; oldest >= 0 {
				cancels[oldest]()
			}
			launch()
		case <-ctx.Done():
			var none Content
			return none, ctx.Err()
		}
	}
}
