package scheduler

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

// errTestLog is returned during an outage, and if the acknowledgement of an append is lost.
var errTestLog = errors.New("log unavailable")

// testLog simulates the platform's log.
type testLog struct {
	random  *rand.Rand
	streams map[string][][]byte
	down    bool
	// lost is the fraction of appends that fail without effect, lostAnswers the fraction that
	// take effect without being acknowledged.
	lost        float64
	lostAnswers float64
	// latency is the additional latency of appends of entries and claims.
	latency time.Duration
	// breakAfter fails all operations from the one with this number on; 0 disables it.
	breakAfter int
}

func newTestLog(random *rand.Rand) *testLog {
	return &testLog{random: random, streams: make(map[string][][]byte)}
}

// unavailable reports whether the current operation fails.
func (log *testLog) unavailable() bool {
	if log.breakAfter > 1 {
		log.breakAfter--
		return log.down
	}
	return log.down || log.breakAfter == 1
}

func (log *testLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	if log.unavailable() || log.chance(log.lost) {
		return 0, errTestLog
	}
	log.streams[stream] = append(log.streams[stream], data)
	if log.chance(log.lostAnswers) {
		return 0, errTestLog
	}
	return uint64(len(log.streams[stream]) - 1), nil
}

func (log *testLog) Read(_ context.Context, stream string, offset uint64, limit int) ([]outside.Record, error) {
	if log.unavailable() {
		return nil, errTestLog
	}
	var records []outside.Record
	for position := int(offset); position < len(log.streams[stream]) && len(records) < limit; position++ {
		records = append(records, outside.Record{Offset: uint64(position), Data: log.streams[stream][position]})
	}
	return records, nil
}

// chance draws a random number only if the fault is enabled, so that the runs of other tests do
// not change.
func (log *testLog) chance(part float64) bool {
	return part > 0 && log.random.Float64() < part
}
