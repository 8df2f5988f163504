package durable

import (
	"context"
	"time"
)

// Operations of a Log, as Observe is told.
const (
	OperationAppend = "append"
	OperationRead   = "read"
	OperationNewest = "newest"
)

// Observe is told of every call of a Log: its operation and topic, how long it
// took, and its error.
type Observe func(operation, topic string, took time.Duration, err error)

// Counted is a Log that tells of its calls.
type Counted struct {
	Log     Log
	Observe Observe
}

// Append implements Log.
func (counted *Counted) Append(ctx context.Context, partition Partition, records [][]byte, condition Condition) (Appended, error) {
	began := time.Now()
	appended, err := counted.Log.Append(ctx, partition, records, condition)
	counted.Observe(OperationAppend, partition.Topic, time.Since(began), err)
	return appended, err
}

// Read implements Log.
func (counted *Counted) Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error) {
	began := time.Now()
	batch, err := counted.Log.Read(ctx, partition, from, wait)
	counted.Observe(OperationRead, partition.Topic, time.Since(began), err)
	return batch, err
}

// Newest implements Log.
func (counted *Counted) Newest(ctx context.Context, topic string) (Snapshot, error) {
	began := time.Now()
	snapshot, err := counted.Log.Newest(ctx, topic)
	counted.Observe(OperationNewest, topic, time.Since(began), err)
	return snapshot, err
}
