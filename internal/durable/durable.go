// Package durable is the interface of the log store that keeps what must
// outlast every process: partitions of records that only grow, writers fenced
// by an epoch, and keyed topics of which the newest record of each key stays.
package durable

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition names one log: a topic and a number within it.
type Partition struct {
	Topic  string
	Number int
}

// String names the partition in logs.
func (partition Partition) String() string {
	return fmt.Sprintf("%s/%d", partition.Topic, partition.Number)
}

// Fence names a writer of a partition. The store refuses a lower epoch than it
// has seen, and within an epoch takes sequence numbers in order; an append that
// is repeated with its number gets its first answer.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// Condition is what an append depends on; the zero value is no condition.
type Condition struct {
	// ExpectedEnd, where set, is the end that the partition must have.
	ExpectedEnd *int64
	// Fence, where set, is the writer's.
	Fence *Fence
}

// AppendResult is where an append's records stand.
type AppendResult struct {
	// Offset is the first record's; End is the partition's after the append.
	Offset int64
	End    int64
}

// Batch is what a read returned.
type Batch struct {
	// Offset is the first record's.
	Offset  int64
	Records [][]byte
	// FirstOffset is the oldest offset kept, End the partition's end.
	FirstOffset int64
	EndOffset   int64
}

// KeyedRecord is the newest record of a key. An empty value says that the key
// was dropped.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Snapshot holds the newest records of a keyed topic up to End. Later pages are
// read later, so a record may be newer than End.
type Snapshot struct {
	Records []KeyedRecord
	End     int64
}

// Log is the store. Every method may be called from any goroutine. Errors are
// the ones of this package, or ErrUnknown's kind where the outcome is not known.
type Log interface {
	// Append adds all records or none. An empty list with a fence only sets
	// the epoch.
	Append(ctx context.Context, partition Partition, records [][]byte, condition Condition) (AppendResult, error)
	// Read returns records from an offset on, and waits up to wait for one.
	Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (Batch, error)
	// Latest returns the newest record of each key of a keyed topic.
	Latest(ctx context.Context, topic string) (Snapshot, error)
}

// Errors of a Log. An error that is none of them leaves the outcome of an
// append unknown.
var (
	// ErrFenced says that a higher epoch has been seen; nothing was done.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrOutOfSequence says that the sequence number does not follow; nothing was done.
	ErrOutOfSequence = errors.New("sequence number does not follow")
	// ErrConflict says that the partition does not end at Condition.At; nothing
	// was done.
	ErrConflict = errors.New("the partition ends elsewhere")
	// ErrUnavailable says that the store refused for now; nothing was done.
	ErrUnavailable = errors.New("the store refuses for now")
)

// TrimmedError says that a read began before the oldest record kept.
type TrimmedError struct{ First int64 }

// Error implements error.
func (trimmed *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are gone", trimmed.First)
}

// NotApplied tells whether err promises that an append was not done and will
// not be.
func NotApplied(err error) bool {
	return errors.Is(err, ErrFenced) || errors.Is(err, ErrOutOfSequence) ||
		errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable)
}

// LogResponded tells whether err, or nil, is the answer of a log that works: it did what it
// was asked, or refused that for good reason.
func LogResponded(err error) bool {
	var trimmed *TrimmedError
	return err == nil || errors.As(err, &trimmed) || (NotApplied(err) && !errors.Is(err, ErrUnavailable))
}

// maxKeyLength is the longest key of a keyed record, bytes.
const maxKeyLength = 255

// EncodeKeyed returns a keyed topic's record: the key's length in one byte, the
// key, the value.
func EncodeKeyed(key string, value []byte) []byte {
	if len(key) > maxKeyLength {
		key = key[:maxKeyLength]
	}
	record := make([]byte, 0, 1+len(key)+len(value))
	record = append(record, byte(len(key)))
	record = append(record, key...)
	return append(record, value...)
}

// DecodeKeyed takes a keyed topic's record apart. It returns false for bytes
// that are none.
func DecodeKeyed(record []byte) (key string, value []byte, sound bool) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return "", nil, false
	}
	length := int(record[0])
	return string(record[1 : 1+length]), record[1+length:], true
}
