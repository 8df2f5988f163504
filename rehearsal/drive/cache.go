package drive

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/engine"
)

// Cache sums up the engines' caches over a run.
type Cache struct {
	// HeldBlockSeconds is memory held over time, and WastedBlockSeconds the
	// part held by blocks that were never reused.
	HeldBlockSeconds   float64
	WastedBlockSeconds float64
	Evictions          int
	BlocksUsed         int
}

// WastedShare is the wasted part of all memory held over time, 0 to 1.
func (cache Cache) WastedShare() float64 {
	if cache.HeldBlockSeconds == 0 {
		return 0
	}
	return cache.WastedBlockSeconds / cache.HeldBlockSeconds
}

// SettledCache is ReadCache once the engines hold no block any more, or after the
// bound: orders to release what ended programs held are on their way for a moment.
func SettledCache(ctx context.Context, engines []string, bound time.Duration) (Cache, error) {
	begun := time.Now()
	for {
		cache, err := ReadCache(ctx, engines)
		if err != nil || cache.BlocksUsed == 0 || time.Since(begun) > bound {
			return cache, err
		}
		time.Sleep(settleInterval)
	}
}

const settleInterval = 100 * time.Millisecond

// ReadCache asks the stand-in engines for their caches.
func ReadCache(ctx context.Context, engines []string) (Cache, error) {
	var total Cache
	for _, address := range engines {
		state, err := readState(ctx, address)
		if err != nil {
			return total, err
		}
		total.HeldBlockSeconds += state.HeldSeconds
		total.WastedBlockSeconds += state.WastedSeconds
		total.Evictions += int(state.BlockEvictions)
		total.BlocksUsed += state.BlocksUsed
	}
	return total, nil
}

func readState(ctx context.Context, address string) (wire.LoadReport, error) {
	var state wire.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.PathState, nil)
	if err != nil {
		return state, eris.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return state, eris.Wrapf(err, "read the state of engine %s", address)
	}
	defer response.Body.Close()
	return state, eris.Wrap(json.NewDecoder(response.Body).Decode(&state), "decode the engine's state")
}
