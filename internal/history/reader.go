package history

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/rotisserie/eris"
)

// RemoteLookup queries the node that reads a shard's partition. Its result is that of
// Reader.PartialChain.
type RemoteLookup func(ctx context.Context, shard int, key Key) ([]*Turn, error)

// Reader finds turns in the log that are not in this node's store. It reads each
// partition once from its oldest retained record, then only new records and those of turns
// that the store has dropped. With
// SetRemoteLookup, other nodes are queried for the partitions of other shards, so that
// each node need not read every partition after a restart of all nodes. It is safe for
// concurrent use.
type Reader struct {
	log          durable.Log
	store        *Store
	shards       int
	remoteLookup RemoteLookup
	mutex        sync.Mutex
	cursors      map[int]*cursor
}

// cursor is the read position in a shard's partition.
type cursor struct {
	mutex    sync.Mutex
	progress durable.ReadProgress
	// lastReadStarted is when the latest successful read to the end began.
	lastReadStarted time.Time
}

// maxLookups bounds the lookups for one chain. Each follows the chain to another program
// or to another partition.
const maxLookups = 64

// NewReader returns a reader that adds the turns it finds to store and reads all
// partitions itself.
func NewReader(log durable.Log, store *Store, shards int) *Reader {
	reader := &Reader{log: log, store: store, shards: shards, cursors: map[int]*cursor{}}
	reader.remoteLookup = reader.PartialChain
	return reader
}

// SetRemoteLookup sets the function that looks up turns of other shards. It must be
// called before the first Find.
func (reader *Reader) SetRemoteLookup(lookup RemoteLookup) { reader.remoteLookup = lookup }

// LookupResult is the result of Find.
type LookupResult struct {
	Chain []*Turn
	// Found is false if the log has no such turn: it never existed or its retention has
	// ended.
	Found bool
}

// IncompleteChainError means that a turn's chain leads to a turn that was not found.
type IncompleteChainError struct {
	// Turn is the last turn of the chain, Missing the one that was not found.
	Turn, Missing Key
}

// Error implements error.
func (incomplete *IncompleteChainError) Error() string {
	return fmt.Sprintf("turn %s of the chain is missing", incomplete.Missing.ID)
}

// Find returns the chain that ends with a turn. It searches the shard's partition first,
// then all others, as a program may continue another program's turn. The chain may be larger than
// the store. An error means that the turn may or may not exist.
func (reader *Reader) Find(ctx context.Context, shard int, key Key) (LookupResult, error) {
	var chain []*Turn // The newest turns found so far, oldest first.
	missing := key
	for range maxLookups {
		part := reader.store.PartialChain(missing)
		if len(part) == 0 {
			found, err := reader.search(ctx, shard, missing)
			if err != nil {
				return LookupResult{}, err
			}
			if len(found) == 0 && missing == key {
				return LookupResult{}, nil
			}
			if len(found) == 0 {
				return LookupResult{}, &IncompleteChainError{Turn: key, Missing: missing}
			}
			for _, turn := range found {
				reader.store.Add(turn)
			}
			part = found
		}
		chain = append(slices.Clone(part), chain...)
		missing = chain[0].previousKey(key.Tenant)
		if missing.ID == "" {
			return LookupResult{Chain: chain, Found: true}, nil
		}
		if len(chain) >= maxChain {
			break
		}
	}
	return LookupResult{}, eris.Errorf("chain of turn %s exceeds the limits of %d turns and %d lookups", key.ID, maxChain, maxLookups)
}

// search looks up a turn in the shard's partition, then in all others concurrently.
func (reader *Reader) search(ctx context.Context, shard int, key Key) ([]*Turn, error) {
	chain, failures := reader.PartialChain(ctx, shard, key)
	if len(chain) > 0 {
		return chain, nil
	}
	type outcome struct {
		chain []*Turn
		err   error
	}
	outcomes := make(chan outcome, reader.shards)
	for other := range reader.shards {
		if other == shard {
			continue
		}
		go func() {
			found, err := reader.remoteLookup(ctx, other, key)
			outcomes <- outcome{chain: found, err: err}
		}()
	}
	for range reader.shards - 1 {
		completed := <-outcomes
		if len(completed.chain) > 0 {
			return completed.chain, nil
		}
		failures = errors.Join(failures, completed.err)
	}
	return nil, failures
}

// PartialChain returns the chain that ends with a turn, oldest first, as far back as this
// node stores it after reading the shard's partition. It is empty if the partition does
// not contain the turn. An error means that the partition may contain it.
func (reader *Reader) PartialChain(ctx context.Context, shard int, key Key) ([]*Turn, error) {
	chain := reader.store.PartialChain(key)
	if len(chain) > 0 {
		return chain, nil
	}
	chain, err := reader.readDropped(ctx, key)
	if len(chain) > 0 || err != nil {
		return chain, err
	}
	err = reader.catchUp(ctx, shard)
	chain = reader.store.PartialChain(key)
	if len(chain) > 0 || err != nil {
		return chain, err
	}
	chain, err = reader.readDropped(ctx, key) // The turns read last may have displaced it.
	if len(chain) > 0 || err != nil {
		return chain, err
	}
	if reader.mayHaveLost(shard) {
		return nil, eris.New("turn not found: turns have been evicted for lack of memory")
	}
	return nil, nil
}

// catchUp reads the new records of a partition. A read that another goroutine began after
// the call satisfies it too.
func (reader *Reader) catchUp(ctx context.Context, shard int) error {
	called := time.Now()
	position := reader.cursor(shard)
	position.mutex.Lock()
	defer position.mutex.Unlock()
	if position.lastReadStarted.After(called) {
		return nil
	}
	start := time.Now()
	add := func(offset int64, record []byte) {
		reader.addRecord(record, Location{Shard: shard, Offset: offset, Size: len(record)})
	}
	progress, err := durable.ReadToEnd(ctx, reader.log, durable.Partition{Topic: Topic, Number: shard}, position.progress, add)
	position.progress = progress
	reader.store.observeFirstOffset(shard, progress.FirstOffset)
	if err == nil {
		position.lastReadStarted = start
	}
	return err
}

// addRecord adds the turn of a record to the store. Malformed records are skipped.
func (reader *Reader) addRecord(record []byte, location Location) {
	if turn := decode(record); turn != nil {
		reader.store.AddRecorded(turn, location)
	}
}

func (reader *Reader) cursor(shard int) *cursor {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	found := reader.cursors[shard]
	if found == nil {
		found = &cursor{}
		reader.cursors[shard] = found
	}
	return found
}
