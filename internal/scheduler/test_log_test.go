package scheduler

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

// errTestLog is the answer of a log that is away, or whose answer was lost.
var errTestLog = errors.New("the log does not answer")

// testLog is the platform's log of a test cluster.
type testLog struct {
	random  *rand.Rand
	streams map[string][][]byte
	down    bool
	// lost is the part of appends that fail with no effect, and lostAnswers the
	// part that take effect and whose answer is lost.
	lost        float64
	lostAnswers float64
	// latency is added to the appends of entries and claims.
	latency time.Duration
	// breakAfter lets so many operations through and fails the rest; 0 is no such
	// bound.
	breakAfter int
}

func newTestLog(random *rand.Rand) *testLog {
	return &testLog{random: random, streams: make(map[string][][]byte)}
}

// away tells whether this operation fails.
func (log *testLog) away() bool {
	if log.breakAfter > 1 {
		log.breakAfter--
		return log.down
	}
	return log.down || log.breakAfter == 1
}

func (log *testLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	if log.away() || log.chance(log.lost) {
		return 0, errTestLog
	}
	log.streams[stream] = append(log.streams[stream], data)
	if log.chance(log.lostAnswers) {
		return 0, errTestLog
	}
	return uint64(len(log.streams[stream]) - 1), nil
}

func (log *testLog) Read(_ context.Context, stream string, offset uint64, limit int) ([]outside.Record, error) {
	if log.away() {
		return nil, errTestLog
	}
	var records []outside.Record
	for position := int(offset); position < len(log.streams[stream]) && len(records) < limit; position++ {
		records = append(records, outside.Record{Offset: uint64(position), Data: log.streams[stream][position]})
	}
	return records, nil
}

// chance draws only where the fault is on, so that it leaves other seeds' runs
// as they are.
func (log *testLog) chance(part float64) bool {
	return part > 0 && log.random.Float64() < part
}
