package durable

import (
	"context"
	"sync"
	"time"
)

// maxDeduplicatedAppends is the number of each writer's latest appends whose results are kept
// for deduplication.
const maxDeduplicatedAppends = 5

// Memory is an in-process Log for tests and for deployments without a store.
type Memory struct {
	mutex      sync.Mutex
	partitions map[Partition]*memoryPartition
	// retention is how long records are kept, 0 for good.
	retention time.Duration
	// Intercept, if set, is called before every call; its error fails the call.
	Intercept func(operation string, partition Partition) error
}

type memoryPartition struct {
	firstOffset int64
	records     [][]byte
	// appendedAt holds when each record was appended.
	appendedAt []time.Time
	// latest holds the latest record of each key, also of trimmed records.
	latest  map[string]KeyedRecord
	writers map[string]*memoryWriter
	changed chan struct{}
}

type memoryWriter struct {
	epoch        int64
	hasAppended  bool
	lastSequence int64
	results      map[int64]AppendResult
}

// NewMemory returns an empty log.
func NewMemory() *Memory {
	return &Memory{partitions: map[Partition]*memoryPartition{}}
}

func (log *Memory) partition(name Partition) *memoryPartition {
	found := log.partitions[name]
	if found == nil {
		found = &memoryPartition{
			latest:  map[string]KeyedRecord{},
			writers: map[string]*memoryWriter{},
			changed: make(chan struct{}),
		}
		log.partitions[name] = found
	}
	if log.retention > 0 {
		found.dropBefore(time.Now().Add(-log.retention))
	}
	return found
}

// SetRetention makes the log drop records that are older than a retention; 0 keeps them for good. The
// latest record of each key and the writers' epochs are kept.
func (log *Memory) SetRetention(retention time.Duration) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.retention = retention
}

// dropBefore drops the records that were appended before a time.
func (partition *memoryPartition) dropBefore(oldest time.Time) {
	count := 0
	for count < len(partition.records) && partition.appendedAt[count].Before(oldest) {
		count++
	}
	partition.drop(count)
}

// drop drops the first records.
func (partition *memoryPartition) drop(count int) {
	partition.records = partition.records[count:]
	partition.appendedAt = partition.appendedAt[count:]
	partition.firstOffset += int64(count)
}

func (log *Memory) runIntercept(operation string, partition Partition) error {
	if log.Intercept == nil {
		return nil
	}
	return log.Intercept(operation, partition)
}

// Append implements Log.
func (log *Memory) Append(_ context.Context, name Partition, records [][]byte, condition Condition) (AppendResult, error) {
	if err := log.runIntercept("append", name); err != nil {
		return AppendResult{}, err
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	partition := log.partition(name)
	if condition.Fence != nil {
		previous, err := partition.checkFence(condition.Fence)
		if err != nil || previous != nil {
			return valueOrZero(previous), err
		}
	}
	if condition.ExpectedEnd != nil && *condition.ExpectedEnd != partition.end() {
		return AppendResult{EndOffset: partition.end()}, ErrConflict
	}
	result := partition.append(records)
	if condition.Fence != nil {
		partition.recordAppend(condition.Fence, result, len(records) > 0)
	}
	return result, nil
}

func valueOrZero(result *AppendResult) AppendResult {
	if result == nil {
		return AppendResult{}
	}
	return *result
}

// checkFence validates a fence. It returns the first result of a repeated append,
// nil for a new one.
func (partition *memoryPartition) checkFence(fence *Fence) (*AppendResult, error) {
	writer := partition.writers[fence.Producer]
	if writer == nil || fence.Epoch > writer.epoch {
		return nil, nil
	}
	if fence.Epoch < writer.epoch {
		return nil, ErrFenced
	}
	if result, repeated := writer.results[fence.Sequence]; repeated {
		return &result, nil
	}
	if writer.hasAppended && fence.Sequence != writer.lastSequence+1 {
		return nil, ErrOutOfSequence
	}
	return nil, nil
}

// recordAppend stores the result of a writer's append for deduplication. numbered
// is false for an append that only sets the epoch.
func (partition *memoryPartition) recordAppend(fence *Fence, result AppendResult, numbered bool) {
	writer := partition.writers[fence.Producer]
	if writer == nil || fence.Epoch > writer.epoch {
		writer = &memoryWriter{epoch: fence.Epoch, results: map[int64]AppendResult{}}
		partition.writers[fence.Producer] = writer
	}
	if !numbered {
		return
	}
	writer.hasAppended = true
	writer.lastSequence = fence.Sequence
	writer.results[fence.Sequence] = result
	delete(writer.results, fence.Sequence-maxDeduplicatedAppends)
}

func (partition *memoryPartition) end() int64 {
	return partition.firstOffset + int64(len(partition.records))
}

func (partition *memoryPartition) append(records [][]byte) AppendResult {
	offset := partition.end()
	for _, record := range records {
		copied := append([]byte(nil), record...)
		key, value, valid := DecodeKeyed(copied)
		if valid {
			partition.latest[key] = KeyedRecord{Key: key, Value: value, Offset: partition.end()}
		}
		partition.records = append(partition.records, copied)
		partition.appendedAt = append(partition.appendedAt, time.Now())
	}
	if len(records) > 0 {
		close(partition.changed)
		partition.changed = make(chan struct{})
	}
	return AppendResult{Offset: offset, EndOffset: partition.end()}
}

// Read implements Log.
func (log *Memory) Read(ctx context.Context, name Partition, from int64, wait time.Duration) (Batch, error) {
	if err := log.runIntercept("read", name); err != nil {
		return Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := log.readOnce(name, from)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (log *Memory) readOnce(name Partition, from int64) (Batch, <-chan struct{}, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	partition := log.partition(name)
	if from < partition.firstOffset {
		return Batch{}, nil, &TrimmedError{FirstOffset: partition.firstOffset}
	}
	batch := Batch{Offset: from, FirstOffset: partition.firstOffset, EndOffset: partition.end()}
	if from < partition.end() {
		batch.Records = append(batch.Records, partition.records[from-partition.firstOffset:]...)
	}
	return batch, partition.changed, nil
}

// ReadRecord implements Log.
func (log *Memory) ReadRecord(ctx context.Context, name Partition, offset int64, _ int) ([]byte, error) {
	batch, err := log.Read(ctx, name, offset, 0)
	if err != nil || len(batch.Records) == 0 {
		return nil, err
	}
	return batch.Records[0], nil
}

// Latest implements Log.
func (log *Memory) Latest(_ context.Context, topic string) (Snapshot, error) {
	name := Partition{Topic: topic}
	if err := log.runIntercept("newest", name); err != nil {
		return Snapshot{}, err
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	partition := log.partition(name)
	snapshot := Snapshot{EndOffset: partition.end()}
	for _, record := range partition.latest {
		if len(record.Value) > 0 {
			snapshot.Records = append(snapshot.Records, record)
		}
	}
	return snapshot, nil
}

// Trim deletes the records before an offset.
func (log *Memory) Trim(name Partition, before int64) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	partition := log.partition(name)
	partition.drop(int(min(max(before-partition.firstOffset, 0), int64(len(partition.records)))))
}
