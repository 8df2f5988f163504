package engine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

// generation is the output of one request id. runSteps advances it, and any number of
// streams read it. Chunk n of a stream is token n; the chunk after the last token is the
// finish.
type generation struct {
	id     string
	seed   uint64
	digest uint64
	// produced is the number of tokens generated so far.
	produced atomic.Int64
	// finish is the last chunk, nil until the generation ends.
	finish     atomic.Pointer[wire.Chunk]
	finishedAt time.Time
	// finishReason applies if the generation reaches its full length.
	finishReason string

	lock        sync.Mutex
	subscribers []chan struct{}
}

// subscribe returns a channel that is signaled after each advance.
func (generation *generation) subscribe() chan struct{} {
	wakeup := make(chan struct{}, 1)
	generation.lock.Lock()
	defer generation.lock.Unlock()
	generation.subscribers = append(generation.subscribers, wakeup)
	return wakeup
}

func (generation *generation) unsubscribe(wakeup chan struct{}) {
	generation.lock.Lock()
	defer generation.lock.Unlock()
	index := slices.Index(generation.subscribers, wakeup)
	generation.subscribers = slices.Delete(generation.subscribers, index, index+1)
}

func (generation *generation) notify() {
	generation.lock.Lock()
	defer generation.lock.Unlock()
	for _, wakeup := range generation.subscribers {
		select {
		case wakeup <- struct{}{}:
		default:
		}
	}
}

// complete ends the generation with its last chunk.
func (generation *generation) complete(now time.Time, finish wire.Chunk) {
	finish.Sequence = uint64(generation.produced.Load()) + 1
	generation.finishedAt = now
	generation.finish.Store(&finish)
	generation.notify()
}

// chunk returns the chunk of a token that has been produced.
func (generation *generation) chunk(sequence uint64) wire.Chunk {
	index := int(sequence)
	return wire.Chunk{Sequence: sequence, Text: outputText(generation.seed, index-1, index), Tokens: 1}
}
