package engine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

// generation is one request id's output. The stepping goroutine advances it;
// any number of streams read it. Item n of its stream is token n; the item
// after the last token is the finish.
type generation struct {
	id     string
	seed   uint64
	digest uint64
	// produced counts the tokens given out so far.
	produced atomic.Int64
	// finish is the last item, nil until the generation is over.
	finish     atomic.Pointer[wire.Chunk]
	finishedAt time.Time
	// wanted is the finish reason at the full length.
	wanted string

	lock    sync.Mutex
	readers []chan struct{}
}

// subscribe returns a channel that gets a value after each advance.
func (output *generation) subscribe() chan struct{} {
	wake := make(chan struct{}, 1)
	output.lock.Lock()
	defer output.lock.Unlock()
	output.readers = append(output.readers, wake)
	return wake
}

func (output *generation) unsubscribe(wake chan struct{}) {
	output.lock.Lock()
	defer output.lock.Unlock()
	place := slices.Index(output.readers, wake)
	output.readers = slices.Delete(output.readers, place, place+1)
}

func (output *generation) notify() {
	output.lock.Lock()
	defer output.lock.Unlock()
	for _, wake := range output.readers {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// end closes the generation with its last item.
func (output *generation) end(now time.Time, finish wire.Chunk) {
	finish.Sequence = uint64(output.produced.Load()) + 1
	output.finishedAt = now
	output.finish.Store(&finish)
	output.notify()
}

// chunk returns the item with this sequence number, a token already produced.
func (output *generation) chunk(sequence uint64) wire.Chunk {
	place := int(sequence)
	return wire.Chunk{Sequence: sequence, Text: outputText(output.seed, place-1, place), Tokens: 1}
}
