package durable

import (
	"context"
	"time"
)

// Operations of a Log, as reported to Observe.
const (
	OperationAppend = "append"
	OperationRead   = "read"
	OperationLatest = "newest"
)

// ObserveFunc is called after each call of a Log with its operation, topic, duration
// and error.
type ObserveFunc func(operation, topic string, took time.Duration, err error)

// Instrumented is a Log that reports every call to Observe.
type Instrumented struct {
	Log     Log
	Observe ObserveFunc
}

// Append implements Log.
func (instrumented *Instrumented) Append(ctx context.Context, partition Partition, records [][]byte, condition Condition) (AppendResult, error) {
	start := time.Now()
	result, err := instrumented.Log.Append(ctx, partition, records, condition)
	instrumented.Observe(OperationAppend, partition.Topic, time.Since(start), err)
	return result, err
}

// Read implements Log.
func (instrumented *Instrumented) Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error) {
	start := time.Now()
	batch, err := instrumented.Log.Read(ctx, partition, from, wait)
	instrumented.Observe(OperationRead, partition.Topic, time.Since(start), err)
	return batch, err
}

// ReadRecord implements Log. It counts as a read.
func (instrumented *Instrumented) ReadRecord(ctx context.Context, partition Partition, offset int64, size int) ([]byte, error) {
	start := time.Now()
	record, err := instrumented.Log.ReadRecord(ctx, partition, offset, size)
	instrumented.Observe(OperationRead, partition.Topic, time.Since(start), err)
	return record, err
}

// Latest implements Log.
func (instrumented *Instrumented) Latest(ctx context.Context, topic string) (Snapshot, error) {
	start := time.Now()
	snapshot, err := instrumented.Log.Latest(ctx, topic)
	instrumented.Observe(OperationLatest, topic, time.Since(start), err)
	return snapshot, err
}
