// Package weights is a stand-in for the platform's rate-limited weight store. Its wire
// format is described in docs/INTERFACES.md.
package weights

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// Defaults of Config.
const (
	defaultPerSecond = 1
	defaultBurst     = 2
)

// Config configures the store; zero fields take defaults.
type Config struct {
	// PerSecond is the rate of granted loads, and Burst the number that can be granted at
	// once.
	PerSecond float64
	Burst     int
}

// Store is a stand-in weight store. It is safe for concurrent use.
type Store struct {
	faults  *fault.Injector
	limiter *rate.Limiter
}

// New returns a store with a full token bucket.
func New(config Config) *Store {
	if config.PerSecond <= 0 {
		config.PerSecond = defaultPerSecond
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	return &Store{
		faults:  fault.NewInjector(),
		limiter: rate.NewLimiter(rate.Limit(config.PerSecond), config.Burst),
	}
}

// Faults returns the store's fault injector.
func (store *Store) Faults() *fault.Injector { return store.faults }

// Handler serves the store's HTTP interface.
func (store *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	reply.HandlePost(mux, wire.PathWeightsReserve, store.reserve)
	return store.faults.Handler(mux)
}

// reserve grants a load if a token is available; a rejection consumes none.
func (store *Store) reserve(request wire.ReserveRequest) (wire.ReserveResponse, error) {
	if request.Model == "" || request.Version == "" {
		return wire.ReserveResponse{}, reply.BadRequest("model and version must not be empty")
	}
	reservation := store.limiter.Reserve()
	wait := reservation.Delay()
	if wait == 0 {
		return wire.ReserveResponse{Granted: true}, nil
	}
	reservation.Cancel()
	// Rounded up, so that a caller that waits this long finds a token.
	return wire.ReserveResponse{WaitMillis: (wait + time.Millisecond - 1).Milliseconds()}, nil
}
