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
)

// Recorder writes turns to the log. Turns are immutable and duplicates are harmless, so
// any node may write a turn to any available partition. Turns waiting for the same
// partition are batched in one append. It is safe for concurrent use.
type Recorder struct {
	log           durable.Log
	shards        int
	mutex         sync.Mutex
	writers       map[durable.Partition]*partitionWriter
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

// Relay asks another node to record a turn. An error means that it was not recorded there.
type Relay func(ctx context.Context, shard int, turn *Turn) error

// AppendHealth tracks how fast the log appends, as observed by any node.
type AppendHealth interface {
	// AppendsSlow reports whether appends are slow: a slow one is recent, and no fast one has begun
	// since. A log that merely loses responses still has fast appends.
	AppendsSlow() bool
	// FastAppendSince reports whether an append that was not slow is known to have begun since a
	// time.
	FastAppendSince(since time.Time) bool
}

// ErrGroupWriter is the error of a group relay whose node batches the partition's appends itself.
var ErrGroupWriter = errors.New("this node batches the appends of the partition itself")

// NewRecorder returns a recorder for a number of shards.
func NewRecorder(log durable.Log, shards int) *Recorder {
	return &Recorder{log: log, shards: shards, writers: map[durable.Partition]*partitionWriter{}}
}

// SetRelay sets the function that asks another node to record a turn when the store does
// not respond to this node. It must be called before the first Record.
func (recorder *Recorder) SetRelay(relay Relay) { recorder.relay = relay }

// EnableGroupCommit makes the recorder leave turns to the node that batches the appends of their
// partition: a slow partition takes few appends a second, and one from each node would queue for
// longer than callers wait. A slow log is known only after the first slow append, so turns are left
// to that node at all times. groupRelay asks it to record a turn, and fails if it does not respond or
// is this node. EnableGroupCommit must be called before the first Record.
func (recorder *Recorder) EnableGroupCommit(groupRelay Relay, health AppendHealth) {
	recorder.groupRelay = groupRelay
	recorder.appendHealth = health
}

// LogRespondsAtOnce reports whether the log responds to a read of a shard's partition at once. A log
// that does not is slow, or does not respond to this node.
func (recorder *Recorder) LogRespondsAtOnce(ctx context.Context, shard int) bool {
	_, responds := durable.ReadAtOnce(ctx, recorder.log, durable.Partition{Topic: Topic, Number: shard}, durable.UnknownEnd)
	return responds
}

// AppendFailedRecently reports whether the latest append failed less than appendFailureWindow
// ago. Such a node cannot record turns for other nodes.
func (recorder *Recorder) AppendFailedRecently() bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return time.Since(recorder.lastAppendFailure) < appendFailureWindow
}

// Record writes a turn and returns nil once the log has acknowledged it. With group commit, it leaves
// the turn to the node that batches the appends of the shard's partition, and appends it itself if
// that fails. Its own appends begin with the shard's partition, add others one by one while none
// responds, and use the relay, if set. It retries until ctx is done,
// except a turn that the log rejects for good: no other partition or node can record it either.
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

// writer returns the writer of a partition.
func (recorder *Recorder) writer(partition durable.Partition) *partitionWriter {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	writer := recorder.writers[partition]
	if writer == nil {
		writer = newPartitionWriter(recorder, partition)
		recorder.writers[partition] = writer
	}
	return writer
}

// appendsSlow reports whether appends are slow at present; false without group commit.
func (recorder *Recorder) appendsSlow() bool {
	return recorder.appendHealth != nil && recorder.appendHealth.AppendsSlow()
}

// fastAppendSince reports whether an append is known to have been fast since a time; true without
// group commit.
func (recorder *Recorder) fastAppendSince(since time.Time) bool {
	return recorder.appendHealth == nil || recorder.appendHealth.FastAppendSince(since)
}

// observeSuccess updates the append latency and lastAppendFailure after a successful append.
func (recorder *Recorder) observeSuccess(began time.Time) {
	recorder.appendLatency.Observe(time.Since(began))
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.lastAppendFailure = time.Time{}
}

// observeFailure updates lastAppendFailure after a failed append.
func (recorder *Recorder) observeFailure() {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.lastAppendFailure = time.Now()
}
