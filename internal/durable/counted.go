package durable

import (
	"context"
	"time"
)

// Operations of a Log, as Observe is told.
const (
	OperationAppend = "append"
	OperationRead   = "read"
	OperationLatest = "newest"
)

// Observe is told of every call of a Log: its operation and topic, how long it
// took, and its error.
type Observe func(operation, topic string, took time.Duration, err error)

// Instrumented is a Log that tells of its calls.
type Instrumented struct {
	Log     Log
	Observe Observe
}

// Append implements Log.
func (counted *Instrumented) Append(ctx context.Context, partition Partition, records [][]byte, condition Condition) (AppendResult, error) {
	began := time.Now()
	appended, err := counted.Log.Append(ctx, partition, records, condition)
	counted.Observe(OperationAppend, partition.Topic, time.Since(began), err)
	return appended, err
}

// Read implements Log.
func (counted *Instrumented) Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error) {
	began := time.Now()
	batch, err := counted.Log.Read(ctx, partition, from, wait)
	counted.Observe(OperationRead, partition.Topic, time.Since(began), err)
	return batch, err
}

// Latest implements Log.
func (counted *Instrumented) Latest(ctx context.Context, topic string) (Snapshot, error) {
	began := time.Now()
	snapshot, err := counted.Log.Latest(ctx, topic)
	counted.Observe(OperationLatest, topic, time.Since(began), err)
	return snapshot, err
}
