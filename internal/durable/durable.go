// Package durable defines the interface of the replicated log store: append-only
// partitions, writers fenced by an epoch, and keyed topics, of which the latest
// record of each key is retained.
package durable

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition identifies one log by a topic and a number within it.
type Partition struct {
	Topic  string
	Number int
}

// String returns the partition as topic/number.
func (partition Partition) String() string {
	return fmt.Sprintf("%s/%d", partition.Topic, partition.Number)
}

// Fence identifies a writer of a partition. The store rejects epochs lower than
// the highest it has seen, and requires consecutive sequence numbers within an
// epoch. An append repeated with the same number returns its first result.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// Condition is the precondition of an append; the zero value is unconditional.
type Condition struct {
	// ExpectedEnd, if set, is the end offset that the partition must have.
	ExpectedEnd *int64
	// Fence, if set, identifies the writer.
	Fence *Fence
}

// AppendResult is the position of appended records.
type AppendResult struct {
	// Offset is that of the first record; End is the partition's end afterwards.
	Offset    int64
	EndOffset int64
}

// Batch is the result of a read.
type Batch struct {
	// Offset is that of the first record in Records.
	Offset  int64
	Records [][]byte
	// FirstOffset is the oldest retained offset, EndOffset the partition's end.
	FirstOffset int64
	EndOffset   int64
}

// KeyedRecord is the latest record of a key. An empty value is a tombstone.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Snapshot holds the latest record of each key of a keyed topic up to End. Its
// pages are read one after another, so some records may be newer than End.
type Snapshot struct {
	Records   []KeyedRecord
	EndOffset int64
}

// Log is the client interface of the store. It is safe for concurrent use.
// Errors are those of this package; any other error of Append leaves its outcome
// unknown.
type Log interface {
	// Append adds all records or none. An empty list with a fence only sets
	// the epoch.
	Append(ctx context.Context, partition Partition, records [][]byte, condition Condition) (AppendResult, error)
	// Read returns the records from an offset on. If there are none, it waits
	// for one for at most wait.
	Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error)
	// ReadRecord returns the record at an offset, whose size in bytes is known. It is nil if the
	// partition has no such record, and the error a TrimmedError if it has been trimmed.
	ReadRecord(ctx context.Context, partition Partition, offset int64, size int) ([]byte, error)
	// Latest returns the latest record of each key of a keyed topic.
	Latest(ctx context.Context, topic string) (Snapshot, error)
}

// Errors of a Log. Each of them guarantees that the append was not applied.
var (
	// ErrFenced means that the store has seen a higher epoch.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrOutOfSequence means that the sequence number is not the next one.
	ErrOutOfSequence = errors.New("sequence number out of order")
	// ErrConflict means that the partition does not end at Condition.ExpectedEnd.
	ErrConflict = errors.New("partition end differs from the expected offset")
	// ErrUnavailable means that the store temporarily rejects the call.
	ErrUnavailable = errors.New("log store temporarily unavailable")
	// ErrRejected means that the log does not accept the records, now or later.
	ErrRejected = errors.New("log store rejects the records")
)

// TrimmedError means that a read began before the oldest retained record.
type TrimmedError struct{ FirstOffset int64 }

// Error implements error.
func (trimmed *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d have been trimmed", trimmed.FirstOffset)
}

// NotApplied reports whether err guarantees that an append was not applied and
// will not be.
func NotApplied(err error) bool {
	return errors.Is(err, ErrFenced) || errors.Is(err, ErrOutOfSequence) ||
		errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable)
}

// LogResponded reports whether err, which may be nil, is the response of a
// working store: the call succeeded or its precondition failed.
func LogResponded(err error) bool {
	var trimmed *TrimmedError
	return err == nil || errors.As(err, &trimmed) || (NotApplied(err) && !errors.Is(err, ErrUnavailable))
}

// maxKeyLength is the maximum length of a keyed record's key in bytes.
const maxKeyLength = 255

// EncodeKeyed returns the record of a keyed topic: the key's length in one byte,
// the key, the value. Longer keys are truncated to 255 bytes.
func EncodeKeyed(key string, value []byte) []byte {
	if len(key) > maxKeyLength {
		key = key[:maxKeyLength]
	}
	record := make([]byte, 0, 1+len(key)+len(value))
	record = append(record, byte(len(key)))
	record = append(record, key...)
	return append(record, value...)
}

// DecodeKeyed splits a keyed topic's record into key and value. It returns false
// for a malformed record.
func DecodeKeyed(record []byte) (key string, value []byte, valid bool) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return "", nil, false
	}
	length := int(record[0])
	return string(record[1 : 1+length]), record[1+length:], true
}
