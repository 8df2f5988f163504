package durable

import (
	"context"
	"errors"
	"time"
)

// TopicFollower follows a keyed topic. It loads a snapshot of the latest records
// once, then reads the records that follow it. It loads a new snapshot if the
// records to read have been trimmed or the partition's end has moved backwards.
// It is not safe for concurrent use.
//
// After a compaction the store may return older state for a few seconds.
// Receivers must therefore ignore a record whose offset is below that of the
// record already applied for its key. After a full update, keys that are absent
// may have been deleted.
type TopicFollower struct {
	log        Log
	topic      string
	nextOffset int64
	loaded     bool
}

// NewTopicFollower returns a follower that has read nothing.
func NewTopicFollower(log Log, topic string) *TopicFollower {
	return &TopicFollower{log: log, topic: topic}
}

// Update is the result of one call of Next.
type Update struct {
	// Full is true if Records is a snapshot of all keys.
	Full    bool
	Records []KeyedRecord
	// EndOffset is the offset up to which this and the earlier updates are complete.
	EndOffset int64
}

// Next returns the new records. If there are none, it waits for one for at most wait.
func (follower *TopicFollower) Next(ctx context.Context, wait time.Duration) (Update, error) {
	if !follower.loaded {
		return follower.loadSnapshot(ctx)
	}
	batch, err := follower.log.Read(ctx, Partition{Topic: follower.topic}, follower.nextOffset, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		follower.loaded = false
		return follower.loadSnapshot(ctx)
	}
	if err != nil {
		return Update{}, err
	}
	if batch.EndOffset < follower.nextOffset {
		follower.loaded = false
		return Update{}, nil
	}
	return follower.advance(batch), nil
}

func (follower *TopicFollower) advance(batch Batch) Update {
	follower.nextOffset = batch.Offset + int64(len(batch.Records))
	update := Update{EndOffset: follower.nextOffset}
	for index, record := range batch.Records {
		key, value, valid := DecodeKeyed(record)
		if valid {
			update.Records = append(update.Records, KeyedRecord{Key: key, Value: value, Offset: batch.Offset + int64(index)})
		}
	}
	return update
}

func (follower *TopicFollower) loadSnapshot(ctx context.Context) (Update, error) {
	snapshot, err := follower.log.Latest(ctx, follower.topic)
	if err != nil {
		return Update{}, err
	}
	follower.loaded = true
	follower.nextOffset = snapshot.EndOffset
	return Update{Full: true, Records: snapshot.Records, EndOffset: snapshot.EndOffset}, nil
}

// SkipTo continues from an offset up to which the receiver already has the records
// from another source. It never moves backwards.
func (follower *TopicFollower) SkipTo(offset int64) {
	if follower.loaded {
		follower.nextOffset = max(follower.nextOffset, offset)
	}
}

// Restart makes the next call of Next load a snapshot.
func (follower *TopicFollower) Restart() { follower.loaded = false }
