package durable

import (
	"context"
	"errors"
	"time"
)

// TopicFollower follows a keyed topic. It reads the newest records once, then the stream
// of records from there on, and begins anew where the stream's history is gone
// or its offsets went backwards. It is used by one goroutine.
//
// A store whose history was just compacted may for some seconds answer with an
// older state. The view therefore hands every record on with its offset, and
// its receiver must not go back behind what it has applied; Restarted tells the
// receiver that absent keys may have been dropped unseen.
type TopicFollower struct {
	log   Log
	topic string
	next  int64
	read  bool
}

// NewTopicFollower returns a view that has read nothing.
func NewTopicFollower(log Log, topic string) *TopicFollower {
	return &TopicFollower{log: log, topic: topic}
}

// Update is what one call of Next found.
type Update struct {
	// Full is true where Records are the newest of all keys.
	Full    bool
	Records []KeyedRecord
	// End is the offset up to which the update, with those before it, is whole.
	End int64
}

// Next returns the records that are new, waiting up to wait for one.
func (view *TopicFollower) Next(ctx context.Context, wait time.Duration) (Update, error) {
	if !view.read {
		return view.restart(ctx)
	}
	batch, err := view.log.Read(ctx, Partition{Topic: view.topic}, view.next, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		view.read = false
		return view.restart(ctx)
	}
	if err != nil {
		return Update{}, err
	}
	if batch.EndOffset < view.next {
		view.read = false
		return Update{}, nil
	}
	return view.advance(batch), nil
}

func (view *TopicFollower) advance(batch Batch) Update {
	view.next = batch.Offset + int64(len(batch.Records))
	update := Update{End: view.next}
	for index, record := range batch.Records {
		key, value, sound := DecodeKeyed(record)
		if sound {
			update.Records = append(update.Records, KeyedRecord{Key: key, Value: value, Offset: batch.Offset + int64(index)})
		}
	}
	return update
}

func (view *TopicFollower) restart(ctx context.Context) (Update, error) {
	snapshot, err := view.log.Latest(ctx, view.topic)
	if err != nil {
		return Update{}, err
	}
	view.read = true
	view.next = snapshot.End
	return Update{Full: true, Records: snapshot.Records, End: snapshot.End}, nil
}

// SkipTo makes the view go on from an offset up to which the receiver has learned
// everything in another way.
func (view *TopicFollower) SkipTo(offset int64) {
	if view.read {
		view.next = max(view.next, offset)
	}
}

// Restart makes the next call read the newest records of all keys.
func (view *TopicFollower) Restart() { view.read = false }
