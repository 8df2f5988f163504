package egress

import (
	"context"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/freeze"
)

// leastSilence is how long an engine may at least send nothing of an answer: as long as
// where a node sends itself.
const leastSilence = 600 * time.Millisecond

// silence counts a request of another node against an engine that sends nothing of its
// answer for long, or breaks it off. The asker can't tell that from the loss of this node.
// It is safe for concurrent use.
type silence struct {
	// asker ends when the asker leaves.
	asker   context.Context
	engines Engines
	engine  backend.Instance
	limit   time.Duration
	freezes *freeze.Detector
	began   time.Time

	mutex   sync.Mutex
	timer   *freeze.Timer
	counted bool
	stopped bool
}

// watchSilence begins with a request's sending.
func watchSilence(asker context.Context, engines Engines, freezes *freeze.Detector, engine backend.Instance) *silence {
	watched := &silence{asker: asker, engines: engines, engine: engine, freezes: freezes, began: time.Now(),
		limit: max(leastSilence, engines.FirstByteTimeout(engine.Service))}
	watched.mutex.Lock()
	defer watched.mutex.Unlock()
	watched.timer = freezes.AfterFunc(watched.limit, watched.count)
	return watched
}

// count counts the request once.
func (watched *silence) count() {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()
	if watched.counted || watched.stopped {
		return
	}
	watched.counted = true
	watched.engines.CountFailed(watched.engine, time.Now())
}

// takeBack uncounts the request.
func (watched *silence) takeBack() {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()
	if watched.counted {
		watched.counted = false
		watched.engines.UncountFailed(watched.engine, time.Now())
	}
}

// heard notes a part of the answer. What the asker takes to read it is not the engine's
// silence, which goes on with awaits.
func (watched *silence) heard() {
	watched.timer.Stop()
	watched.takeBack()
}

// awaits begins the wait for the next part.
func (watched *silence) awaits() { watched.timer.Reset(watched.limit) }

// broken notes that the answer has broken off, unless that is for the asker's leaving, or
// because this node read nothing of it while it was frozen.
func (watched *silence) broken() {
	if watched.asker.Err() == nil && !watched.freezes.FrozenSince(watched.began) {
		watched.count()
	}
}

// stop ends the watch.
func (watched *silence) stop() {
	watched.timer.Stop()
	watched.mutex.Lock()
	defer watched.mutex.Unlock()
	watched.stopped = true
}
