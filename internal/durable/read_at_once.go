package durable

import (
	"context"
	"errors"
	"time"
)

const (
	// UnknownEnd is an offset beyond the end of any partition. A read from it has a small response.
	UnknownEnd int64 = 1 << 40
	// responseTimeout is how long a log that responds at once may take for a read.
	responseTimeout = 100 * time.Millisecond
)

// ReadAtOnce reads a partition from an offset, and reports whether the log responds at once. It tells
// an append whose response was lost from one to a slow log, and does not wait for appends.
func ReadAtOnce(ctx context.Context, log Log, partition Partition, from int64) (Batch, bool) {
	bounded, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	batch, err := log.Read(bounded, partition, from, 0)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		batch.FirstOffset = trimmed.FirstOffset
	}
	return batch, LogResponded(err)
}
