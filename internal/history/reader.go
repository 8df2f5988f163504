package history

import (
	"context"
	"errors"
	"sync"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/rotisserie/eris"
)

// Reader finds turns that this node does not hold in the log. It reads each
// partition once, from the oldest record kept, and later only what is new. It
// is safe for concurrent use.
type Reader struct {
	log    durable.Log
	store  *Store
	shards int
	mutex  sync.Mutex
	tails  map[durable.Partition]*tail
}

// tail is how far a partition has been read.
type tail struct {
	mutex sync.Mutex
	next  int64
}

// NewReader returns a reader that puts what it finds into store.
func NewReader(log durable.Log, store *Store, shards int) *Reader {
	return &Reader{log: log, store: store, shards: shards, tails: map[durable.Partition]*tail{}}
}

// Lookup is the outcome of a search.
type Lookup struct {
	Chain []*Turn
	// Exists is false where the log has no such turn; then it never had one
	// whose retention is not over.
	Exists bool
}

// Find returns the chain that ends with id. It looks in the shard's partition
// first, then in all others: a program may go on from another program's turn. An
// error says that it can't be told now whether the turn exists.
func (reader *Reader) Find(ctx context.Context, shard int, id string) (Lookup, error) {
	chain, _, complete := reader.store.Chain(id)
	if complete {
		return Lookup{Chain: chain, Exists: true}, nil
	}
	failure := reader.readOn(ctx, durable.Partition{Topic: Topic, Number: shard})
	chain, _, complete = reader.store.Chain(id)
	if complete {
		return Lookup{Chain: chain, Exists: true}, nil
	}
	failure = errors.Join(failure, reader.readOthers(ctx, shard))
	chain, missing, complete := reader.store.Chain(id)
	switch {
	case complete:
		return Lookup{Chain: chain, Exists: true}, nil
	case failure != nil:
		return Lookup{}, failure
	case missing != id:
		return Lookup{}, eris.Errorf("turn %s of the chain is missing", missing)
	case reader.store.Evicted():
		return Lookup{}, eris.New("turns were dropped for want of memory")
	}
	return Lookup{}, nil
}

// readOthers reads all partitions but the shard's own, at once.
func (reader *Reader) readOthers(ctx context.Context, shard int) error {
	var partitions []durable.Partition
	for number := range reader.shards {
		partitions = append(partitions, durable.Partition{Topic: SpareTopic, Number: number})
		if number != shard {
			partitions = append(partitions, durable.Partition{Topic: Topic, Number: number})
		}
	}
	failures := make(chan error, len(partitions))
	for _, partition := range partitions {
		go func() { failures <- reader.readOn(ctx, partition) }()
	}
	var failure error
	for range partitions {
		failure = errors.Join(failure, <-failures)
	}
	return failure
}

// readOn reads a partition from where it was read to, up to its end.
func (reader *Reader) readOn(ctx context.Context, partition durable.Partition) error {
	tail := reader.tail(partition)
	tail.mutex.Lock()
	defer tail.mutex.Unlock()
	next, err := durable.ReadToEnd(ctx, reader.log, partition, tail.next, reader.take)
	tail.next = next
	return err
}

// take keeps the turn of a record; bytes that are no turn are passed over.
func (reader *Reader) take(record []byte) {
	if turn := decode(record); turn != nil {
		reader.store.Add(turn)
	}
}

func (reader *Reader) tail(partition durable.Partition) *tail {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	found := reader.tails[partition]
	if found == nil {
		found = &tail{}
		reader.tails[partition] = found
	}
	return found
}
