package history

import (
	"context"
	"errors"
	"slices"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// maxConcurrentRecordReads bounds the concurrent reads of single records for one chain.
const maxConcurrentRecordReads = 4

// mayHaveLost reports whether a shard's partition may hold a turn that was read, dropped and can't be
// located.
func (reader *Reader) mayHaveLost(shard int) bool {
	if !feature.Enabled(feature.RereadTurns) {
		return reader.store.Dropped().Evicted > 0
	}
	return reader.store.forgetful(shard)
}

// readDropped reads the turns of a chain again that the store has dropped, back to the first one that
// it has not, and returns them oldest first. It returns none if the store has not dropped the chain's
// last turn, or if the log has dropped it too.
func (reader *Reader) readDropped(ctx context.Context, key Key) ([]*Turn, error) {
	if !feature.Enabled(feature.RereadTurns) {
		return nil, nil
	}
	locations := reader.store.droppedChain(key)
	turns := make([]*Turn, len(locations))
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(maxConcurrentRecordReads)
	for position, location := range locations {
		reads.Go(func() error {
			turn, err := reader.readRecord(ctx, location)
			turns[position] = turn
			return err
		})
	}
	err := reads.Wait()
	if err != nil {
		return nil, err
	}
	return reader.addChain(key, turns, locations), nil
}

// readRecord reads the turn at a location, nil if the log has dropped it.
func (reader *Reader) readRecord(ctx context.Context, location Location) (*Turn, error) {
	record, err := reader.log.ReadRecord(ctx, durable.Partition{Topic: Topic, Number: location.Shard}, location.Offset, location.Size)
	var trimmed *durable.TrimmedError
	if errors.As(err, &trimmed) {
		reader.store.observeFirstOffset(location.Shard, trimmed.FirstOffset)
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read a turn again")
	}
	return decode(record), nil
}

// addChain adds turns that were read again, newest first, to the store as far as they form the chain
// that ends with key, and returns that chain, oldest first.
func (reader *Reader) addChain(key Key, turns []*Turn, locations []Location) []*Turn {
	var chain []*Turn
	for position, turn := range turns {
		if turn == nil || (turn.Key() != key && turn.Key() != Key{ID: key.ID}) {
			break
		}
		reader.store.AddRecorded(turn, locations[position])
		chain = append(chain, turn)
		key = turn.previousKey(key.Tenant)
	}
	slices.Reverse(chain)
	return chain
}
