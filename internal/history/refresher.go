package history

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/region"
)

const (
	// refreshMargin is how long before the log drops a record that is still needed it is recorded
	// again. It covers the duration of the turn that needs it, and clocks that differ.
	refreshMargin = 20 * time.Second
	// minRefreshDivisor bounds how often a record is written again, as a divisor of the log's
	// retention. Without it, a log that keeps records hardly longer than turns are retained would get
	// the whole chain again with each turn.
	minRefreshDivisor = 4
	// refreshTimeout bounds the attempts to record a turn again. The next turn of the chain repeats
	// them.
	refreshTimeout = 10 * time.Second
	// maxConcurrentRefreshes bounds the turns that a node records again at once: a long chain is due as a
	// whole.
	maxConcurrentRefreshes = 16
)

// RecordFunc records a turn in the log.
type RecordFunc func(ctx context.Context, turn *Turn) error

// Refresher records the turns of a chain again before the log drops them, so that a chain that goes
// on for longer than the log keeps records stays whole. Each turn of a chain extends the time for which the
// turns before it are needed, so the node that serves it records them; nothing is written for a chain that
// does not go on. It is safe for concurrent use.
type Refresher struct {
	store        *Store
	record       RecordFunc
	logRetention time.Duration
	mutex        sync.Mutex
	// inProgress holds the turns that are being recorded.
	inProgress map[Key]bool
	refreshed  int
	// slots is a semaphore for the recordings.
	slots chan struct{}
}

// NewRefresher returns a refresher for a log that drops records after logRetention; 0 means never.
func NewRefresher(store *Store, record RecordFunc, logRetention time.Duration) *Refresher {
	return &Refresher{store: store, record: record, logRetention: logRetention, inProgress: map[Key]bool{}, slots: make(chan struct{}, maxConcurrentRefreshes)}
}

// Refresh records the turns of a chain again that the log may drop while the chain's next turn, which
// begins now, is retained. Only nodes of the permitted zones may see them; nil permits all. It does not
// wait for the log. onFailure is called for each turn that could not be recorded.
func (refresher *Refresher) Refresh(chain []*Turn, permitted region.ZoneSet, now time.Time, onFailure func(turn *Turn, err error)) {
	if refresher.logRetention <= 0 || !feature.Enabled(feature.RefreshTurns) {
		return
	}
	for _, turn := range chain {
		if now.Sub(turn.lastRecorded()) < refresher.refreshAge(turn) || !refresher.begin(turn.Key()) {
			continue
		}
		again := *turn
		again.RecordedAt = now
		again.Zones = permitted
		go refresher.refresh(&again, onFailure)
	}
}

// refreshAge returns the age from which a turn's record may be dropped while a turn that begins now and
// continues the chain is retained.
func (refresher *Refresher) refreshAge(turn *Turn) time.Duration {
	return max(refresher.logRetention-turn.Retention-refreshMargin, refresher.logRetention/minRefreshDivisor)
}

func (refresher *Refresher) refresh(turn *Turn, onFailure func(turn *Turn, err error)) {
	defer refresher.end(turn.Key())
	refresher.slots <- struct{}{}
	defer func() { <-refresher.slots }()
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	err := refresher.record(ctx, turn)
	if err != nil {
		onFailure(turn, err)
		return
	}
	refresher.store.Add(turn)
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	refresher.refreshed++
}

// begin reports whether no other goroutine is recording the turn. The caller must call end if so.
func (refresher *Refresher) begin(key Key) bool {
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	if refresher.inProgress[key] {
		return false
	}
	refresher.inProgress[key] = true
	return true
}

func (refresher *Refresher) end(key Key) {
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	delete(refresher.inProgress, key)
}

// Refreshed returns how many turns were recorded again.
func (refresher *Refresher) Refreshed() int {
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	return refresher.refreshed
}
