package history

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
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
	pace    durable.Pace
}

// pendingAppend collects what waits while an append is under way.
type pendingAppend struct {
	workers int
	// begun is when the newest append began.
	begun   time.Time
	waiting []waitingRecord
}

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

// Record returns nil once the log has acknowledged the turn. It tries the
// shard's partition, and one of the others after another while there is no
// answer, until ctx ends.
func (recorder *Recorder) Record(ctx context.Context, shard int, turn *Turn) error {
	record, err := encode(turn)
	if err != nil {
		return eris.Wrap(err, "encode turn")
	}
	done := make(chan error, recorder.shards+1)
	recorder.enqueue(durable.Partition{Topic: Topic, Number: shard}, record, done)
	outstanding := 1
	// Another partition is tried when an append takes unusually long, the next
	// one after twice that time, and so on.
	patience := recorder.pace.Patience()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	others := 0
	pause := firstPause
	for {
		select {
		case err := <-done:
			if err == nil {
				return nil
			}
			outstanding--
			if outstanding == 0 {
				timer.Reset(pause)
				pause = min(2*pause, longestPause)
			}
		case <-timer.C:
			others++
			number := (shard + others) % recorder.shards
			recorder.enqueue(durable.Partition{Topic: Topic, Number: number}, record, done)
			outstanding++
			patience = min(2*patience, appendTimeout)
			timer.Reset(patience)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
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
	stuck := time.Since(pending.begun) > recorder.pace.Patience()
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
		if err == nil {
			recorder.pace.Note(time.Since(began))
		}
		for _, waiting := range taken {
			select {
			case waiting.done <- err:
			default: // Its caller has its answer from another partition.
			}
		}
	}
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
