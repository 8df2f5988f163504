package backend

import (
	"maps"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// Load returns what this node has under way, by engine, where that is anything.
func (directory *Directory) Load() map[string]load.Engine {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	loads := map[string]load.Engine{}
	now := time.Now()
	for id, engine := range directory.engines {
		answered, failed := directory.outcomes(engine, now)
		told := load.Engine{Running: engine.running, AwaitingFirstByte: engine.silent, Succeeded: answered, Failed: failed}
		if told.Running > 0 || told.Succeeded+told.Failed >= leastTold {
			loads[id] = told
		}
	}
	return loads
}

// leastTold is the number of recent ends below which they are not told.
const leastTold = 0.1

// taken counts a request that is about to be sent to the engine.
func (engine *Engine) taken(now time.Time) *Engine {
	engine.running++
	engine.silent++
	engine.spendWarming(now)
	return engine
}

// EndFirstByteWait counts a request no more as one without a byte of an answer: a byte has come,
// or the request has ended. It is called once for each.
func (directory *Directory) EndFirstByteWait(engine *Engine) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine.silent--
}

// RunningAt returns the number of this node's requests under way at an engine.
func (directory *Directory) RunningAt(id string) int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil {
		return 0
	}
	return engine.running
}

// IDs returns the ids of all engines known, in order.
func (directory *Directory) IDs() []string {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return slices.Sorted(maps.Keys(directory.engines))
}

// ServiceOf returns the service of an engine, false where the engine is not known.
func (directory *Directory) ServiceOf(id string) (string, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil {
		return "", false
	}
	return engine.Service, true
}
