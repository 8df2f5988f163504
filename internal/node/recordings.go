package node

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/history"
)

const (
	// remoteRecordTimeout bounds the recording of a turn for another node.
	remoteRecordTimeout = 4 * time.Second
	// recordingMemory is how long a successful recording is kept. Its requester may repeat the
	// request after the end, and the turn would otherwise be appended again.
	recordingMemory = 5 * time.Second
)

// recordings holds the recordings of other nodes' turns. Repeated requests for a turn share one. It
// is safe for concurrent use; the zero value is ready to use.
type recordings struct {
	mutex sync.Mutex
	byKey map[recordingKey]*recording
}

// recordingKey identifies a turn by its content, too: an answer may be made again under the same ID. A
// turn that is recorded again later is another recording.
type recordingKey struct {
	turn       history.Key
	output     [sha256.Size]byte
	recordedAt int64
}

// recording is the recording of one turn. err may be read once done is closed.
type recording struct {
	began time.Time
	done  chan struct{}
	err   error
}

// start returns the recording of a turn, and starts it unless it is in progress or has ended lately.
func (recordings *recordings) start(recorder *history.Recorder, shard int, turn *history.Turn) *recording {
	key := recordingKey{turn: turn.Key(), output: sha256.Sum256(turn.Output), recordedAt: turn.RecordedAt.UnixMilli()}
	recordings.mutex.Lock()
	defer recordings.mutex.Unlock()
	known := recordings.byKey[key]
	if known != nil {
		return known
	}
	if recordings.byKey == nil {
		recordings.byKey = map[recordingKey]*recording{}
	}
	started := &recording{began: time.Now(), done: make(chan struct{})}
	recordings.byKey[key] = started
	go recordings.run(key, started, recorder, shard, turn)
	return started
}

// run records a turn. Only a success is kept: after a failure, a further request starts anew.
func (recordings *recordings) run(key recordingKey, started *recording, recorder *history.Recorder, shard int, turn *history.Turn) {
	ctx, cancel := context.WithTimeout(context.Background(), remoteRecordTimeout)
	defer cancel()
	started.err = recorder.RecordLocally(ctx, shard, turn)
	if started.err != nil {
		recordings.forget(key)
	} else {
		time.AfterFunc(recordingMemory, func() { recordings.forget(key) })
	}
	close(started.done)
}

func (recordings *recordings) forget(key recordingKey) {
	recordings.mutex.Lock()
	defer recordings.mutex.Unlock()
	delete(recordings.byKey, key)
}
