package durable

import (
	"context"
	"sync"
	"time"
)

// keptAnswers is how many of a writer's last appends may be repeated.
const keptAnswers = 5

// Memory is a Log in the process's memory, for tests and for deployments
// without a store.
type Memory struct {
	mutex      sync.Mutex
	partitions map[Partition]*memoryPartition
	// Intercept, where set, is asked before every call and may fail it.
	Intercept func(operation string, partition Partition) error
}

type memoryPartition struct {
	first   int64
	records [][]byte
	// newest holds the newest record of each key; trimming leaves it.
	newest  map[string]KeyedRecord
	writers map[string]*memoryWriter
	changed chan struct{}
}

type memoryWriter struct {
	epoch   int64
	started bool
	last    int64
	answers map[int64]AppendResult
}

// NewMemory returns an empty log.
func NewMemory() *Memory {
	return &Memory{partitions: map[Partition]*memoryPartition{}}
}

func (log *Memory) partition(name Partition) *memoryPartition {
	found := log.partitions[name]
	if found == nil {
		found = &memoryPartition{
			newest:  map[string]KeyedRecord{},
			writers: map[string]*memoryWriter{},
			changed: make(chan struct{}),
		}
		log.partitions[name] = found
	}
	return found
}

func (log *Memory) intercepted(operation string, partition Partition) error {
	if log.Intercept == nil {
		return nil
	}
	return log.Intercept(operation, partition)
}

// Append implements Log.
func (log *Memory) Append(_ context.Context, name Partition, records [][]byte, condition Condition) (AppendResult, error) {
	if err := log.intercepted("append", name); err != nil {
		return AppendResult{}, err
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	partition := log.partition(name)
	if condition.Fence != nil {
		answer, err := partition.admit(condition.Fence)
		if err != nil || answer != nil {
			return orZero(answer), err
		}
	}
	if condition.ExpectedEnd != nil && *condition.ExpectedEnd != partition.end() {
		return AppendResult{End: partition.end()}, ErrConflict
	}
	appended := partition.append(records)
	if condition.Fence != nil {
		partition.note(condition.Fence, appended, len(records) > 0)
	}
	return appended, nil
}

func orZero(answer *AppendResult) AppendResult {
	if answer == nil {
		return AppendResult{}
	}
	return *answer
}

// admit checks a fence. It returns the first answer of a repeated append.
func (partition *memoryPartition) admit(fence *Fence) (*AppendResult, error) {
	writer := partition.writers[fence.Producer]
	if writer == nil || fence.Epoch > writer.epoch {
		return nil, nil
	}
	if fence.Epoch < writer.epoch {
		return nil, ErrFenced
	}
	if answer, repeated := writer.answers[fence.Sequence]; repeated {
		return &answer, nil
	}
	if writer.started && fence.Sequence != writer.last+1 {
		return nil, ErrOutOfSequence
	}
	return nil, nil
}

// note remembers a writer's append for its repetition.
func (partition *memoryPartition) note(fence *Fence, appended AppendResult, numbered bool) {
	writer := partition.writers[fence.Producer]
	if writer == nil || fence.Epoch > writer.epoch {
		writer = &memoryWriter{epoch: fence.Epoch, answers: map[int64]AppendResult{}}
		partition.writers[fence.Producer] = writer
	}
	if !numbered {
		return
	}
	writer.started = true
	writer.last = fence.Sequence
	writer.answers[fence.Sequence] = appended
	delete(writer.answers, fence.Sequence-keptAnswers)
}

func (partition *memoryPartition) end() int64 { return partition.first + int64(len(partition.records)) }

func (partition *memoryPartition) append(records [][]byte) AppendResult {
	offset := partition.end()
	for _, record := range records {
		copied := append([]byte(nil), record...)
		key, value, sound := DecodeKeyed(copied)
		if sound {
			partition.newest[key] = KeyedRecord{Key: key, Value: value, Offset: partition.end()}
		}
		partition.records = append(partition.records, copied)
	}
	if len(records) > 0 {
		close(partition.changed)
		partition.changed = make(chan struct{})
	}
	return AppendResult{Offset: offset, End: partition.end()}
}

// Read implements Log.
func (log *Memory) Read(ctx context.Context, name Partition, from int64, wait time.Duration) (Batch, error) {
	if err := log.intercepted("read", name); err != nil {
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
	if from < partition.first {
		return Batch{}, nil, &TrimmedError{First: partition.first}
	}
	batch := Batch{Offset: from, FirstOffset: partition.first, EndOffset: partition.end()}
	if from < partition.end() {
		batch.Records = append(batch.Records, partition.records[from-partition.first:]...)
	}
	return batch, partition.changed, nil
}

// Latest implements Log.
func (log *Memory) Latest(_ context.Context, topic string) (Snapshot, error) {
	name := Partition{Topic: topic}
	if err := log.intercepted("newest", name); err != nil {
		return Snapshot{}, err
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	partition := log.partition(name)
	snapshot := Snapshot{End: partition.end()}
	for _, record := range partition.newest {
		if len(record.Value) > 0 {
			snapshot.Records = append(snapshot.Records, record)
		}
	}
	return snapshot, nil
}

// Trim drops the records before an offset.
func (log *Memory) Trim(name Partition, before int64) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	partition := log.partition(name)
	dropped := min(max(before-partition.first, 0), int64(len(partition.records)))
	partition.records = partition.records[dropped:]
	partition.first += dropped
}
