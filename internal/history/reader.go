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

// Find returns the chain that ends with id. An error says that it can't be told
// now whether the turn exists.
func (reader *Reader) Find(ctx context.Context, shard int, id string) (Lookup, error) {
	chain, _, complete := reader.store.Chain(id)
	if complete {
		return Lookup{Chain: chain, Exists: true}, nil
	}
	own := durable.Partition{Topic: Topic, Number: shard}
	ownFailure := reader.readOn(ctx, own)
	chain, _, complete = reader.store.Chain(id)
	if complete {
		return Lookup{Chain: chain, Exists: true}, nil
	}
	spareFailure := reader.readSpares(ctx)
	chain, missing, complete := reader.store.Chain(id)
	switch {
	case complete:
		return Lookup{Chain: chain, Exists: true}, nil
	case ownFailure != nil:
		return Lookup{}, ownFailure
	case spareFailure != nil:
		return Lookup{}, spareFailure
	case missing != id:
		return Lookup{}, eris.Errorf("turn %s of the chain is missing", missing)
	case reader.store.Evicted():
		return Lookup{}, eris.New("turns were dropped for want of memory")
	}
	return Lookup{}, nil
}

// readSpares reads all spare partitions at once.
func (reader *Reader) readSpares(ctx context.Context) error {
	failures := make(chan error, reader.shards)
	for number := range reader.shards {
		go func() { failures <- reader.readOn(ctx, durable.Partition{Topic: SpareTopic, Number: number}) }()
	}
	var failure error
	for range reader.shards {
		failure = errors.Join(failure, <-failures)
	}
	return failure
}

// Preload reads a shard's partition, so that its turns are at hand.
func (reader *Reader) Preload(ctx context.Context, shard int) error {
	return reader.readOn(ctx, durable.Partition{Topic: Topic, Number: shard})
}

// readOn reads a partition from where it was read to, up to its end.
func (reader *Reader) readOn(ctx context.Context, partition durable.Partition) error {
	tail := reader.tail(partition)
	tail.mutex.Lock()
	defer tail.mutex.Unlock()
	for {
		batch, err := reader.log.Read(ctx, partition, tail.next, 0)
		var trimmed *durable.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > tail.next {
			tail.next = trimmed.First
			continue
		}
		if err != nil {
			return eris.Wrap(err, "read "+partition.String())
		}
		if batch.End < tail.next {
			return eris.Errorf("%s ends at %d, before %d", partition, batch.End, tail.next)
		}
		for _, record := range batch.Records {
			if turn := decode(record); turn != nil {
				reader.store.Add(turn)
			}
		}
		tail.next += int64(len(batch.Records))
		if tail.next >= batch.End || len(batch.Records) == 0 {
			return nil
		}
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
