package history

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/wait"
	"github.com/rotisserie/eris"
)

const (
	// Topic holds turns, partitioned by the shard of their program. A turn is in another
	// partition if its shard's did not respond in time.
	Topic = "turns"
	// initialBackoff is the delay after all appends of a turn have failed. It doubles up
	// to maxBackoff to limit the load on a recovering store.
	initialBackoff = 40 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// appendFailureWindow is how long a failed append counts as recent.
	appendFailureWindow = 500 * time.Millisecond
	// relayRetryDelay is the delay after a failed relay call.
	relayRetryDelay = 100 * time.Millisecond
	// maxBatchBytes bounds the size of the records in one append.
	maxBatchBytes = 512 << 10
	// appendTimeout bounds one append.
	appendTimeout = 2500 * time.Millisecond
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

// AppendFailedRecently reports whether the latest append failed less than appendFailureWindow
// ago. Such a node cannot record turns for other nodes.
func (recorder *Recorder) AppendFailedRecently() bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return time.Since(recorder.lastAppendFailure) < appendFailureWindow
}

// Record writes a turn and returns nil once the log has acknowledged it. It begins with the
// shard's partition, adds other partitions one by one while none responds, and uses the
// Relay, if set, in parallel. It retries until ctx is done.
func (recorder *Recorder) Record(ctx context.Context, shard int, turn *Turn) error {
	return recorder.record(ctx, shard, turn, recorder.relay)
}

// RecordLocally is Record without the Relay.
func (recorder *Recorder) RecordLocally(ctx context.Context, shard int, turn *Turn) error {
	return recorder.record(ctx, shard, turn, nil)
}

func (recorder *Recorder) record(ctx context.Context, shard int, turn *Turn, relay Relay) error {
	record, err := encode(turn)
	if err != nil {
		return eris.Wrap(err, "encode turn")
	}
	operation := &recordOperation{
		recorder: recorder,
		relay:    relay,
		shard:    shard,
		turn:     turn,
		record:   record,
		done:     make(chan error, recorder.shards+1),
		relayed:  make(chan error, 1),
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

// recordOperation is the state of one Record call.
type recordOperation struct {
	recorder *Recorder
	relay    Relay
	shard    int
	turn     *Turn
	record   []byte
	// done receives the results of appends, relayed those of relay calls.
	done    chan error
	relayed chan error
	// partitionsTried counts the partitions to which the turn was sent, pendingAppends those
	// that have not responded.
	partitionsTried int
	pendingAppends  int
	relaying        bool
}

func (operation *recordOperation) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	operation.tryNextPartition()
	// Without a response, another partition is tried after hedgeDelay, which doubles each
	// time.
	hedgeDelay := operation.recorder.appendLatency.HedgeDelay()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	backoff := initialBackoff
	for {
		select {
		case err := <-operation.done:
			if err == nil {
				return nil
			}
			operation.pendingAppends--
			operation.startRelay(ctx)
			if operation.pendingAppends == 0 {
				timer.Reset(backoff)
				backoff = min(2*backoff, maxBackoff)
			}
		case err := <-operation.relayed:
			if err == nil {
				return nil
			}
			operation.relaying = false
		case <-timer.C:
			if operation.partitionsTried > 1 {
				operation.startRelay(ctx)
			}
			operation.tryNextPartition()
			hedgeDelay = min(2*hedgeDelay, appendTimeout)
			timer.Reset(hedgeDelay)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryNextPartition queues the turn for the next partition, the shard's own first.
func (operation *recordOperation) tryNextPartition() {
	number := (operation.shard + operation.partitionsTried) % operation.recorder.shards
	operation.recorder.enqueue(durable.Partition{Topic: Topic, Number: number}, operation.record, operation.done)
	operation.partitionsTried++
	operation.pendingAppends++
}

// startRelay starts a relay call unless one is in progress.
func (operation *recordOperation) startRelay(ctx context.Context) {
	if operation.relaying || operation.relay == nil {
		return
	}
	operation.relaying = true
	go func() {
		err := operation.relay(ctx, operation.shard, operation.turn)
		if err != nil {
			wait.Sleep(ctx, relayRetryDelay)
		}
		operation.relayed <- err
	}()
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
	stuck := time.Since(queue.lastAppendStarted) > recorder.appendLatency.HedgeDelay()
	if queue.workers == 0 || (stuck && queue.workers < maxWorkers) {
		queue.workers++
		go recorder.appendQueued(partition, queue)
	}
}

// appendQueued appends batches of queued records until the queue is empty.
func (recorder *Recorder) appendQueued(partition durable.Partition, queue *partitionQueue) {
	for {
		batch := recorder.dequeueBatch(queue)
		if len(batch) == 0 {
			return
		}
		records := make([][]byte, len(batch))
		for index, queued := range batch {
			records[index] = queued.record
		}
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		start := time.Now()
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

// dequeueBatch removes the records of the next append from a queue.
func (recorder *Recorder) dequeueBatch(queue *partitionQueue) []queuedRecord {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
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
