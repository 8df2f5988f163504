package history

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/rotisserie/eris"
)

// RemoteLookup asks whichever node reads a shard's partition for the line of turns
// that ends with a turn, as Reader.Line returns it.
type RemoteLookup func(ctx context.Context, shard int, key Key) ([]*Turn, error)

// Reader finds turns that this node does not hold in the log. It reads a
// partition once, from the oldest record kept, and later only what is new. The
// partitions of other shards are read by other nodes where Delegate names a way
// to ask them: after the loss of all nodes each partition is then read about
// once, and not by each node. It is safe for concurrent use.
type Reader struct {
	log       durable.Log
	store     *Store
	shards    int
	elsewhere RemoteLookup
	mutex     sync.Mutex
	tails     map[int]*tail
}

// tail is how far a shard's partition has been read.
type tail struct {
	mutex sync.Mutex
	next  int64
	// readSince is when the newest whole reading began.
	readSince time.Time
}

// maxSearches bounds the lookups of one chain: each goes from one program to the
// one that it goes on from, or to a turn that was recorded in another partition.
const maxSearches = 64

// NewReader returns a reader that puts what it finds into store, and reads all
// partitions itself.
func NewReader(log durable.Log, store *Store, shards int) *Reader {
	reader := &Reader{log: log, store: store, shards: shards, tails: map[int]*tail{}}
	reader.elsewhere = reader.PartialChain
	return reader
}

// SetRemoteLookup makes the reader ask others for the turns of other shards. It must be
// called before the first search.
func (reader *Reader) SetRemoteLookup(elsewhere RemoteLookup) { reader.elsewhere = elsewhere }

// Lookup is the outcome of a search.
type Lookup struct {
	Chain []*Turn
	// Found is false where the log has no such turn; then it never had one
	// whose retention is not over.
	Found bool
}

// Find returns the chain that ends with a turn. It looks in the shard's partition
// first, then in all others: a program may go on from another program's turn. An
// error says that it can't be told now whether the turn exists.
func (reader *Reader) Find(ctx context.Context, shard int, key Key) (Lookup, error) {
	for range maxSearches {
		chain, missing, complete := reader.store.Chain(key)
		if complete {
			return Lookup{Chain: chain, Found: true}, nil
		}
		line, err := reader.search(ctx, shard, missing)
		if err != nil {
			return Lookup{}, err
		}
		if len(line) == 0 && missing == key {
			return Lookup{}, nil
		}
		if len(line) == 0 {
			return Lookup{}, eris.Errorf("turn %s of the chain is missing", missing.ID)
		}
		for _, turn := range line {
			reader.store.Add(turn)
		}
	}
	return Lookup{}, eris.Errorf("the chain of turn %s is spread too far", key.ID)
}

// search looks for a turn in the shard's partition, then in all others.
func (reader *Reader) search(ctx context.Context, shard int, key Key) ([]*Turn, error) {
	line, failure := reader.PartialChain(ctx, shard, key)
	if len(line) > 0 {
		return line, nil
	}
	type outcome struct {
		line []*Turn
		err  error
	}
	outcomes := make(chan outcome, reader.shards)
	for other := range reader.shards {
		if other == shard {
			continue
		}
		go func() {
			found, err := reader.elsewhere(ctx, other, key)
			outcomes <- outcome{line: found, err: err}
		}()
	}
	for range reader.shards - 1 {
		ended := <-outcomes
		if len(ended.line) > 0 {
			return ended.line, nil
		}
		failure = errors.Join(failure, ended.err)
	}
	return nil, failure
}

// PartialChain returns the turns of the line that ends with a turn, the oldest first, as far
// back as this node holds them once it has read the shard's partition to its
// end; none where the partition has no such turn. An error says that it can't be
// told now.
func (reader *Reader) PartialChain(ctx context.Context, shard int, key Key) ([]*Turn, error) {
	line := reader.store.PartialChain(key)
	if len(line) > 0 {
		return line, nil
	}
	err := reader.readOn(ctx, shard)
	line = reader.store.PartialChain(key)
	switch {
	case len(line) > 0:
		return line, nil
	case err != nil:
		return nil, err
	case reader.store.Evicted():
		return nil, eris.New("turns were dropped for want of memory")
	}
	return nil, nil
}

// readOn reads a partition from where it was read to, up to its end. A reading
// that began after the call serves the call too.
func (reader *Reader) readOn(ctx context.Context, shard int) error {
	called := time.Now()
	tail := reader.tail(shard)
	tail.mutex.Lock()
	defer tail.mutex.Unlock()
	if tail.readSince.After(called) {
		return nil
	}
	began := time.Now()
	next, err := durable.ReadToEnd(ctx, reader.log, durable.Partition{Topic: Topic, Number: shard}, tail.next, reader.take)
	tail.next = next
	if err == nil {
		tail.readSince = began
	}
	return err
}

// take keeps the turn of a record; bytes that are no turn are passed over.
func (reader *Reader) take(record []byte) {
	if turn := decode(record); turn != nil {
		reader.store.Add(turn)
	}
}

func (reader *Reader) tail(shard int) *tail {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	found := reader.tails[shard]
	if found == nil {
		found = &tail{}
		reader.tails[shard] = found
	}
	return found
}
