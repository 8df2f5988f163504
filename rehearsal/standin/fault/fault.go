// Package fault injects faults into the stand-ins, as requested through POST /debug/fault.
package fault

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// Path is the endpoint that sets faults. Paths under debugPrefix are exempt from faults.
const (
	Path        = "/debug/fault"
	debugPrefix = "/debug/"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Outage rejects every request with status 503 before it has any effect.
	Outage Kind = "outage"
	// Slow delays every request by DelayMillis.
	Slow Kind = "slow"
	// DropResponses serves a request and closes the connection without a response.
	DropResponses Kind = "lose_answers"
	// Garbage replaces a response or part of a stream with invalid bytes.
	Garbage Kind = "rubbish"
	// AbortStream closes the connection in the middle of a stream.
	AbortStream Kind = "cut_stream"
	// Clear ends all faults.
	Clear Kind = "clear"
)

var kinds = []Kind{Outage, Slow, DropResponses, Garbage, AbortStream, Clear}

// Spec is the body of POST /debug/fault.
type Spec struct {
	Kind Kind `json:"kind"`
	// DurationMillis is the duration of the fault.
	DurationMillis int64 `json:"for_ms"`
	// Probability is the chance that a request (for Garbage and AbortStream: an event of a
	// stream) meets the fault; 0 means 1.
	Probability float64 `json:"probability"`
	// Seed makes the random draws reproducible.
	Seed uint64 `json:"seed"`
	// DelayMillis is the delay of Slow.
	DelayMillis int64 `json:"delay_ms"`
}

type activeFault struct {
	spec   Spec
	until  time.Time
	random *rand.Rand
}

// Injector holds the faults of one stand-in. It is safe for concurrent use.
type Injector struct {
	lock   sync.Mutex
	faults map[Kind]*activeFault
}

// NewInjector returns an injector without faults.
func NewInjector() *Injector {
	return &Injector{faults: make(map[Kind]*activeFault)}
}

// Set starts a fault, replacing an earlier one of the same kind.
func (injector *Injector) Set(spec Spec) error {
	if !slices.Contains(kinds, spec.Kind) {
		return reply.BadRequest("unknown kind of fault: " + string(spec.Kind))
	}
	if spec.Probability < 0 || spec.Probability > 1 || spec.DurationMillis < 0 || spec.DelayMillis < 0 {
		return reply.BadRequest("probability must be from 0 to 1, times not negative")
	}
	if spec.Probability == 0 {
		spec.Probability = 1
	}
	injector.lock.Lock()
	defer injector.lock.Unlock()
	if spec.Kind == Clear {
		clear(injector.faults)
		return nil
	}
	injector.faults[spec.Kind] = &activeFault{
		spec:   spec,
		until:  time.Now().Add(time.Duration(spec.DurationMillis) * time.Millisecond),
		random: rand.New(rand.NewPCG(spec.Seed, spec.Seed)),
	}
	return nil
}

// Triggers draws whether a request meets a fault of this kind.
func (injector *Injector) Triggers(kind Kind) bool {
	_, hit := injector.draw(kind)
	return hit
}

func (injector *Injector) draw(kind Kind) (Spec, bool) {
	injector.lock.Lock()
	defer injector.lock.Unlock()
	fault, found := injector.faults[kind]
	if !found {
		return Spec{}, false
	}
	if time.Now().After(fault.until) {
		delete(injector.faults, kind)
		return Spec{}, false
	}
	return fault.spec, fault.random.Float64() < fault.spec.Probability
}

// Handler applies the faults to next. Handlers of streamPaths apply DropResponses, Garbage
// and AbortStream themselves.
func (injector *Injector) Handler(next http.Handler, streamPaths ...string) http.Handler {
	mux := http.NewServeMux()
	reply.HandlePost(mux, Path, func(spec Spec) (Spec, error) {
		return spec, injector.Set(spec)
	})
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, debugPrefix) {
			next.ServeHTTP(writer, request)
			return
		}
		injector.serve(writer, request, next, slices.Contains(streamPaths, request.URL.Path))
	})
	return mux
}

func (injector *Injector) serve(writer http.ResponseWriter, request *http.Request, next http.Handler, streaming bool) {
	if spec, hit := injector.draw(Slow); hit {
		sleep(request, time.Duration(spec.DelayMillis)*time.Millisecond)
	}
	if injector.Triggers(Outage) {
		reply.WriteError(writer, reply.NotRun(http.StatusServiceUnavailable, "unavailable", "outage"))
		return
	}
	if streaming {
		next.ServeHTTP(writer, request)
		return
	}
	if injector.Triggers(DropResponses) {
		next.ServeHTTP(newDiscardWriter(), request)
		reply.Abort(writer)
	}
	if injector.Triggers(Garbage) {
		next.ServeHTTP(newDiscardWriter(), request)
		_, _ = writer.Write([]byte(GarbageBytes))
		return
	}
	next.ServeHTTP(writer, request)
}

// GarbageBytes is what Garbage sends.
const GarbageBytes = "\x00\xff{\"sequence\":\"x\nevent: \n\n:::{]"

// sleep waits for delay, or until the request is canceled.
func sleep(request *http.Request, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}

// discardWriter is a ResponseWriter that drops the response.
type discardWriter struct{ header http.Header }

func newDiscardWriter() *discardWriter { return &discardWriter{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (writer *discardWriter) Header() http.Header { return writer.header }

// Write implements http.ResponseWriter.
func (writer *discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (writer *discardWriter) WriteHeader(int) {}
