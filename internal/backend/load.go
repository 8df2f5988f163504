package backend

import (
	"maps"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// Load returns this node's load on each engine that has running requests or recent outcomes.
func (directory *Directory) Load() map[string]load.Engine {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	loads := map[string]load.Engine{}
	now := time.Now()
	for id, engine := range directory.engines {
		succeeded, failed := directory.localOutcomes(engine, now)
		reported := load.Engine{Running: engine.running, AwaitingFirstByte: engine.awaitingFirstByte, Succeeded: succeeded, Failed: failed}
		if reported.Running > 0 || reported.Succeeded+reported.Failed >= minReportedOutcomes {
			loads[id] = reported
		}
	}
	return loads
}

// minReportedOutcomes is the decayed number of outcomes below which they are not reported.
const minReportedOutcomes = 0.1

// startRequest counts a request that is about to be sent to the engine.
func (engine *Engine) startRequest(now time.Time) *Engine {
	engine.running++
	engine.awaitingFirstByte++
	engine.takeColdToken(now)
	return engine
}

// EndFirstByteWait stops counting a request as awaiting its first byte: it has arrived, or the
// request has finished. It must be called once per request.
func (directory *Directory) EndFirstByteWait(engine *Engine) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine.awaitingFirstByte--
}

// RunningAt returns the number of this node's running requests at an engine.
func (directory *Directory) RunningAt(id string) int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil {
		return 0
	}
	return engine.running
}

// IDs returns the sorted IDs of all known engines.
func (directory *Directory) IDs() []string {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return slices.Sorted(maps.Keys(directory.engines))
}

// ServiceOf returns the service of an engine, false if the engine is not known.
func (directory *Directory) ServiceOf(id string) (string, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engine := directory.engines[id]
	if engine == nil {
		return "", false
	}
	return engine.Service, true
}
