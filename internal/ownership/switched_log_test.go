package ownership_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
)

// switchedLog is a log that can be replaced by another one while it is in use.
type switchedLog struct {
	durable.Log
	replacement atomic.Pointer[durable.Memory]
}

func (log *switchedLog) replace(replacement *durable.Memory) { log.replacement.Store(replacement) }

func (log *switchedLog) current() durable.Log {
	if replacement := log.replacement.Load(); replacement != nil {
		return replacement
	}
	return log.Log
}

func (log *switchedLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	return log.current().Append(ctx, partition, records, condition)
}

func (log *switchedLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	return log.current().Read(ctx, partition, from, wait)
}
