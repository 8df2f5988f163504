package backend

import (
	"maps"
	"slices"

	"github.com/magpielug/magpielug/internal/load"
)

// Load returns what this node has under way, by engine, where that is anything.
func (directory *Directory) Load() map[string]load.Engine {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	loads := map[string]load.Engine{}
	for id, engine := range directory.engines {
		if engine.running > 0 {
			loads[id] = load.Engine{Running: engine.running}
		}
	}
	return loads
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
