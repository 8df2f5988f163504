package history

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/rotisserie/eris"
)

const (
	// Topic holds turns, partitioned by the shard of their program. A turn is in another
	// partition if its shard's did not respond in time.
	Topic = "turns"
	// appendFailureWindow is how long a failed append counts as recent.
	appendFailureWindow = 500 * time.Millisecond
	// maxBatchBytes bounds the size of the records in one append.
	maxBatchBytes = 512 << 10
	// appendTimeout bounds one append.
	appendTimeout = 2500 * time.Millisecond
	// slowLogHedgeDelay is the minimum time between a turn's appends to different partitions while
	// no append is known to be fast. The log is then probably slow rather than losing responses,
	// and each further append slows it more.
	slowLogHedgeDelay = 500 * time.Millisecond
)

// Recorder writes turns to the log. Turns are immutable and duplicates are harmless, so
// any node may write a turn to any available partition. Turns waiting for the same
// partition are batched in one append. It is safe for concurrent use.
type Recorder struct {
	log           durable.Log
	shards        int
	mutex         sync.Mutex
	queues        map[durable.Partition]*partitionQueue
	appendLatency durable.AppendLatency
	relay         Relay
	// groupRelay and appendHealth are nil without group commit.
	groupRelay   Relay
	appendHealth AppendHealth
	// inFlight counts the recordings in progress. lastProgress is when a turn was last
	// recorded, or when the first of those began if that is later. The mutex guards both.
	inFlight     int
	lastProgress time.Time
	// lastAppendFailure is when the latest append failed, zero if it succeeded. The mutex
	// guards it.
	lastAppendFailure time.Time
}

// partitionQueue holds the records that wait for an append to a partition.
type partitionQueue struct {
	workers           int
	lastAppendStarted time.Time
	queued            []queuedRecord
}

// Relay asks another node to record a turn. An error means that it was not recorded there.
type Relay func(ctx context.Context, shard int, turn *Turn) error

// AppendHealth tracks how fast the log appends, as observed by any node.
type AppendHealth interface {
	// ObserveSlowAppend records that an append begun at a time has not responded within its hedge
	// delay.
	ObserveSlowAppend(begun time.Time)
	// AppendsSlow reports whether appends are slow: a slow one is recent, and no fast one has ended
	// since it began. A log that merely loses responses still has fast appends.
	AppendsSlow() bool
	// FastAppendSince reports whether an append that was not slow is known to have ended since a
	// time.
	FastAppendSince(since time.Time) bool
}

// ErrGroupWriter is the error of a group relay whose node batches the partition's appends itself.
var ErrGroupWriter = errors.New("this node batches the appends of the partition itself")

// maxWorkers bounds the concurrent appends to one partition.
const maxWorkers = 4

type queuedRecord struct {
	record []byte
	done   chan<- error
}

// NewRecorder returns a recorder for a number of shards.
func NewRecorder(log durable.Log, shards int) *Recorder {
	return &Recorder{log: log, shards: shards, queues: map[durable.Partition]*partitionQueue{}}
}

// SetRelay sets the function that asks another node to record a turn when the store does
// not respond to this node. It must be called before the first Record.
func (recorder *Recorder) SetRelay(relay Relay) { recorder.relay = relay }

// EnableGroupCommit makes the recorder leave turns to the node that batches the appends of
// their partition while appends are slow: a slow partition takes few appends a second, and one
// from each node would queue for longer than callers wait. groupRelay asks that node to record
// a turn, and fails if it does not respond or is this node. EnableGroupCommit must be called
// before the first Record.
func (recorder *Recorder) EnableGroupCommit(groupRelay Relay, health AppendHealth) {
	recorder.groupRelay = groupRelay
	recorder.appendHealth = health
}

// AppendFailedRecently reports whether the latest append failed less than appendFailureWindow
// ago. Such a node cannot record turns for other nodes.
func (recorder *Recorder) AppendFailedRecently() bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return time.Since(recorder.lastAppendFailure) < appendFailureWindow
}

// Record writes a turn and returns nil once the log has acknowledged it. It begins with the
// shard's partition, adds other partitions one by one while none responds, and uses the
// relays, if set. It retries until ctx is done.
func (recorder *Recorder) Record(ctx context.Context, shard int, turn *Turn) error {
	return recorder.record(ctx, shard, turn, recorder.relay, recorder.groupRelay)
}

// RecordLocally is Record without the relays.
func (recorder *Recorder) RecordLocally(ctx context.Context, shard int, turn *Turn) error {
	return recorder.record(ctx, shard, turn, nil, nil)
}

func (recorder *Recorder) record(ctx context.Context, shard int, turn *Turn, relay, groupRelay Relay) error {
	record, err := encode(turn)
	if err != nil {
		return eris.Wrap(err, "encode turn")
	}
	operation := &recordOperation{
		recorder:     recorder,
		relay:        relay,
		groupRelay:   groupRelay,
		shard:        shard,
		turn:         turn,
		record:       record,
		done:         make(chan error, recorder.shards+1),
		relayed:      make(chan error, 1),
		groupRelayed: make(chan error, 1),
	}
	recorder.beginRecording()
	err = operation.run(ctx)
	recorder.endRecording(err)
	return err
}

func (recorder *Recorder) beginRecording() {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if recorder.inFlight == 0 {
		recorder.lastProgress = time.Now()
	}
	recorder.inFlight++
}

func (recorder *Recorder) endRecording(err error) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.inFlight--
	if err == nil {
		recorder.lastProgress = time.Now()
	}
}

// InFlight returns the number of recordings in progress.
func (recorder *Recorder) InFlight() int {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.inFlight
}

// StalledFor returns how long turns have been waiting without any being recorded, 0 if none
// waits.
func (recorder *Recorder) StalledFor(now time.Time) time.Duration {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if recorder.inFlight == 0 {
		return 0
	}
	return now.Sub(recorder.lastProgress)
}

func (recorder *Recorder) enqueue(partition durable.Partition, record []byte, done chan error) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	queue := recorder.queues[partition]
	if queue == nil {
		queue = &partitionQueue{}
		recorder.queues[partition] = queue
	}
	queue.queued = append(queue.queued, queuedRecord{record: record, done: done})
	if queue.workers == 0 || (queue.workers < maxWorkers && recorder.stuck(queue)) {
		queue.workers++
		go recorder.appendQueued(partition, queue)
	}
}

// stuck reports whether the latest append of a queue is overdue, so that its response may be lost
// and another worker is needed. A second worker shows whether the log is slow instead; further
// ones wait for longer until an append was fast again. The caller holds the mutex.
func (recorder *Recorder) stuck(queue *partitionQueue) bool {
	overdue := recorder.appendLatency.HedgeDelay()
	if queue.workers > 1 && !recorder.fastAppendSince(queue.lastAppendStarted) {
		overdue = max(overdue, slowLogHedgeDelay)
	}
	return time.Since(queue.lastAppendStarted) > overdue
}

// appendQueued appends batches of queued records until the queue is empty or another worker can
// continue alone.
func (recorder *Recorder) appendQueued(partition durable.Partition, queue *partitionQueue) {
	start := time.Time{}
	for {
		batch := recorder.dequeueBatch(queue, start)
		if len(batch) == 0 {
			return
		}
		records := make([][]byte, len(batch))
		for index, queued := range batch {
			records[index] = queued.record
		}
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		start = time.Now()
		_, err := recorder.log.Append(ctx, partition, records, durable.Condition{})
		cancel()
		recorder.observeAppend(start, err)
		for _, queued := range batch {
			select {
			case queued.done <- err:
			default: // The caller has returned.
			}
		}
	}
}

// appendsSlow reports whether appends are slow at present; false without group commit.
func (recorder *Recorder) appendsSlow() bool {
	return recorder.appendHealth != nil && recorder.appendHealth.AppendsSlow()
}

func (recorder *Recorder) observeSlowAppend(begun time.Time) {
	if recorder.appendHealth != nil {
		recorder.appendHealth.ObserveSlowAppend(begun)
	}
}

// fastAppendSince reports whether an append is known to have been fast since a time; true without
// group commit.
func (recorder *Recorder) fastAppendSince(since time.Time) bool {
	return recorder.appendHealth == nil || recorder.appendHealth.FastAppendSince(since)
}

// observeAppend updates the append latency and lastAppendFailure.
func (recorder *Recorder) observeAppend(start time.Time, err error) {
	if err == nil {
		recorder.appendLatency.Observe(time.Since(start))
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if err == nil {
		recorder.lastAppendFailure = time.Time{}
		return
	}
	recorder.lastAppendFailure = time.Now()
}

// dequeueBatch removes the records of the next append from a queue, for a worker whose last append
// began at lastStart. It returns none if the worker is to end: the queue is empty, or another worker
// has begun an append since and is not stuck. Several workers would split what one append can carry.
func (recorder *Recorder) dequeueBatch(queue *partitionQueue, lastStart time.Time) []queuedRecord {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if !lastStart.IsZero() && queue.lastAppendStarted.After(lastStart) && !recorder.stuck(queue) {
		queue.workers--
		return nil
	}
	bytes := 0
	count := 0
	for count < len(queue.queued) && (count == 0 || bytes+len(queue.queued[count].record) <= maxBatchBytes) {
		bytes += len(queue.queued[count].record)
		count++
	}
	batch := queue.queued[:count:count]
	queue.queued = queue.queued[count:]
	queue.lastAppendStarted = time.Now()
	if count == 0 {
		queue.workers--
		queue.queued = nil
	}
	return batch
}
