package durable

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// readPatience is how long a read that need not wait for a record may take
	// before it is sent again: a store that was silent answers new calls once it is
	// back, and not those of before.
	readPatience = 400 * time.Millisecond
	// readsInFlight bounds the sendings of one read; the oldest is given up for a
	// new one.
	readsInFlight = 5
	// arrivalPatience is how long an answer may take to arrive from its beginning on before
	// the read is sent again. It spares a full link up to four copies of each answer, 1 MB
	// each, which would share it with the first one.
	arrivalPatience = 2500 * time.Millisecond
)

// HedgedReads is a Log that sends reads again which get no answer.
type HedgedReads struct{ Log }

// Read implements Log. A read that waits for a record is sent once.
func (rereading *HedgedReads) Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error) {
	if wait > 0 || !feature.Enabled(feature.HedgedReads) {
		return rereading.Log.Read(ctx, partition, from, wait)
	}
	return reread(ctx, func(ctx context.Context) (Batch, error) {
		return rereading.Log.Read(ctx, partition, from, 0)
	})
}

// Latest implements Log.
func (rereading *HedgedReads) Latest(ctx context.Context, topic string) (Snapshot, error) {
	if !feature.Enabled(feature.HedgedReads) {
		return rereading.Log.Latest(ctx, topic)
	}
	return reread(ctx, func(ctx context.Context) (Snapshot, error) {
		return rereading.Log.Latest(ctx, topic)
	})
}

// answer is the outcome of one sending.
type answer[Content any] struct {
	content Content
	err     error
}

// reread sends a read, and again for as long as no answer begins to arrive. The first answer
// decides, be it an error.
func reread[Content any](ctx context.Context, send func(ctx context.Context) (Content, error)) (Content, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer[Content], readsInFlight)
	begun := make(chan int, 1)
	var cancels []context.CancelFunc
	launch := func() {
		sending, giveUp := context.WithCancel(ctx)
		cancels = append(cancels, giveUp)
		number := len(cancels) - 1
		sending = withAnswering(sending, func() {
			select {
			case begun <- number:
			default: // Another sending's answer arrives already.
			}
		})
		go func() {
			content, err := send(sending)
			if sending.Err() == nil {
				answers <- answer[Content]{content: content, err: err}
			}
		}()
	}
	launch()
	ticker := time.NewTicker(readPatience)
	defer ticker.Stop()
	for {
		select {
		case first := <-answers:
			return first.content, first.err
		case arriving := <-begun:
			for number, giveUp := range cancels {
				if number != arriving {
					giveUp()
				}
			}
			ticker.Reset(arrivalPatience)
		case <-ticker.C:
			if oldest := len(cancels) - readsInFlight; oldest >= 0 {
				cancels[oldest]()
			}
			launch()
		case <-ctx.Done():
			var none Content
			return none, ctx.Err()
		}
	}
}
