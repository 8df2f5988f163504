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
	// Topic holds turns by the shard of their program; those whose own partition
	// did not answer in time stand in another one.
	Topic = "turns"
	// firstPause follows a round that the store refused; it doubles up to
	// longestPause, so that many waiting turns do not flood a store that is away.
	firstPause   = 40 * time.Millisecond
	longestPause = 250 * time.Millisecond
	// refusedFor is how long a failed append says that the log refuses this node.
	refusedFor = 500 * time.Millisecond
	// relayPause separates two rounds of asking other nodes.
	relayPause = 100 * time.Millisecond
	// batchBytes bounds the records of one append.
	batchBytes = 512 << 10
	// appendTimeout bounds one append.
	appendTimeout = 2500 * time.Millisecond
)

// Recorder writes turns to the log. A turn is a fact: it may be written by any
// node, in any partition that works, twice without harm. What waits for the
// same partition goes in one append. It is safe for concurrent use.
type Recorder struct {
	log     durable.Log
	shards  int
	mutex   sync.Mutex
	pending map[durable.Partition]*pendingAppend
	pace    durable.AppendLatency
	relay   Relay
	// underway counts the recordings that have not ended; waitingSince is when the
	// newest of them was recorded, or the first of them began. The mutex guards both.
	underway     int
	waitingSince time.Time
	// refused is when an append last failed with none done since, zero where the
	// last one was done. The mutex guards it.
	refused time.Time
}

// pendingAppend collects what waits while an append is under way.
type pendingAppend struct {
	workers int
	// begun is when the newest append began.
	begun   time.Time
	waiting []waitingRecord
}

// Relay has another node record a turn. An error says that this one could not.
type Relay func(ctx context.Context, shard int, turn *Turn) error

// maxWorkers bounds the appends under way in one partition.
const maxWorkers = 4

type waitingRecord struct {
	record []byte
	done   chan<- error
}

// NewRecorder returns a recorder for a number of shards.
func NewRecorder(log durable.Log, shards int) *Recorder {
	return &Recorder{log: log, shards: shards, pending: map[durable.Partition]*pendingAppend{}}
}

// SetRelay makes the recorder ask another node where the log does not answer this
// one: a store may refuse single nodes. It must be called before the first turn.
func (recorder *Recorder) SetRelay(relay Relay) { recorder.relay = relay }

// RecentlyRefused tells whether the log has just refused this node, so that it is no
// help to another one.
func (recorder *Recorder) RecentlyRefused() bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return time.Since(recorder.refused) < refusedFor
}

// Record returns nil once the log has acknowledged the turn. It tries the
// shard's partition, and one of the others after another while there is no
// answer, until ctx ends; beside that another node, where there is a Relay.
func (recorder *Recorder) Record(ctx context.Context, shard int, turn *Turn) error {
	return recorder.record(ctx, shard, turn, recorder.relay)
}

// RecordLocally is Record without asking another node.
func (recorder *Recorder) RecordLocally(ctx context.Context, shard int, turn *Turn) error {
	return recorder.record(ctx, shard, turn, nil)
}

func (recorder *Recorder) record(ctx context.Context, shard int, turn *Turn, relay Relay) error {
	record, err := encode(turn)
	if err != nil {
		return eris.Wrap(err, "encode turn")
	}
	current := &recording{
		recorder: recorder,
		relay:    relay,
		shard:    shard,
		turn:     turn,
		record:   record,
		done:     make(chan error, recorder.shards+1),
		relayed:  make(chan error, 1),
	}
	recorder.began()
	err = current.run(ctx)
	recorder.ended(err)
	return err
}

func (recorder *Recorder) began() {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if recorder.underway == 0 {
		recorder.waitingSince = time.Now()
	}
	recorder.underway++
}

func (recorder *Recorder) ended(err error) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.underway--
	if err == nil {
		recorder.waitingSince = time.Now()
	}
}

// StalledFor is for how long turns have waited here and none was recorded, 0 where none
// waits.
func (recorder *Recorder) StalledFor(now time.Time) time.Duration {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if recorder.underway == 0 {
		return 0
	}
	return now.Sub(recorder.waitingSince)
}

// recording is one turn on its way into the log.
type recording struct {
	recorder *Recorder
	relay    Relay
	shard    int
	turn     *Turn
	record   []byte
	// done takes the outcomes of appends, relayed that of the other node asked.
	done    chan error
	relayed chan error
	// partitions is the number of partitions tried, outstanding of them unanswered.
	partitions  int
	outstanding int
	relaying    bool
}

func (current *recording) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	current.tryNext()
	// Another partition is tried when an append takes unusually long, the next
	// one after twice that time, and so on.
	patience := current.recorder.pace.HedgeDelay()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	pause := firstPause
	for {
		select {
		case err := <-current.done:
			if err == nil {
				return nil
			}
			current.outstanding--
			current.ask(ctx)
			if current.outstanding == 0 {
				timer.Reset(pause)
				pause = min(2*pause, longestPause)
			}
		case err := <-current.relayed:
			if err == nil {
				return nil
			}
			current.relaying = false
		case <-timer.C:
			if current.partitions > 1 {
				current.ask(ctx)
			}
			current.tryNext()
			patience = min(2*patience, appendTimeout)
			timer.Reset(patience)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryNext appends the turn to the next partition, the shard's own first.
func (current *recording) tryNext() {
	number := (current.shard + current.partitions) % current.recorder.shards
	current.recorder.enqueue(durable.Partition{Topic: Topic, Number: number}, current.record, current.done)
	current.partitions++
	current.outstanding++
}

// ask has another node record the turn, unless one is being asked.
func (current *recording) ask(ctx context.Context) {
	if current.relaying || current.relay == nil {
		return
	}
	current.relaying = true
	go func() {
		err := current.relay(ctx, current.shard, current.turn)
		if err != nil {
			wait.Sleep(ctx, relayPause)
		}
		current.relayed <- err
	}()
}

func (recorder *Recorder) enqueue(partition durable.Partition, record []byte, done chan error) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	pending := recorder.pending[partition]
	if pending == nil {
		pending = &pendingAppend{}
		recorder.pending[partition] = pending
	}
	pending.waiting = append(pending.waiting, waitingRecord{record: record, done: done})
	stuck := time.Since(pending.begun) > recorder.pace.HedgeDelay()
	if pending.workers == 0 || (stuck && pending.workers < maxWorkers) {
		pending.workers++
		go recorder.work(partition, pending)
	}
}

// work appends what waits for a partition until nothing does.
func (recorder *Recorder) work(partition durable.Partition, pending *pendingAppend) {
	for {
		taken := recorder.take(pending)
		if len(taken) == 0 {
			return
		}
		records := make([][]byte, len(taken))
		for index, waiting := range taken {
			records[index] = waiting.record
		}
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		began := time.Now()
		_, err := recorder.log.Append(ctx, partition, records, durable.Condition{})
		cancel()
		recorder.note(began, err)
		for _, waiting := range taken {
			select {
			case waiting.done <- err:
			default: // Its caller has its answer from another partition.
			}
		}
	}
}

// note learns from an append's outcome.
func (recorder *Recorder) note(began time.Time, err error) {
	if err == nil {
		recorder.pace.Observe(time.Since(began))
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if err == nil {
		recorder.refused = time.Time{}
		return
	}
	recorder.refused = time.Now()
}

// take removes up to one append's worth of what waits.
func (recorder *Recorder) take(pending *pendingAppend) []waitingRecord {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	bytes := 0
	count := 0
	for count < len(pending.waiting) && (count == 0 || bytes+len(pending.waiting[count].record) <= batchBytes) {
		bytes += len(pending.waiting[count].record)
		count++
	}
	taken := pending.waiting[:count:count]
	pending.waiting = pending.waiting[count:]
	pending.begun = time.Now()
	if count == 0 {
		pending.workers--
		pending.waiting = nil
	}
	return taken
}
