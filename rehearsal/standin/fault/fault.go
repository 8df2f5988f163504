// Package fault lets the stand-ins fail on purpose, as ordered through
// POST /debug/fault.
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

// Path is where faults are ordered; paths under debugPrefix never fail.
const (
	Path        = "/debug/fault"
	debugPrefix = "/debug/"
)

// Kind is a way to fail.
type Kind string

// Kinds of faults.
const (
	// Outage refuses every request before any effect, with status 503.
	Outage Kind = "outage"
	// Slow holds every request for DelayMillis before it is served.
	Slow Kind = "slow"
	// LoseAnswers serves a request and closes the connection instead of
	// answering.
	LoseAnswers Kind = "lose_answers"
	// Rubbish puts bytes that mean nothing into an answer.
	Rubbish Kind = "rubbish"
	// CutStream closes the connection inside a stream.
	CutStream Kind = "cut_stream"
	// Clear ends all faults.
	Clear Kind = "clear"
)

var kinds = []Kind{Outage, Slow, LoseAnswers, Rubbish, CutStream, Clear}

// Order is the body of POST /debug/fault.
type Order struct {
	Kind Kind `json:"kind"`
	// ForMillis is how long the fault lasts.
	ForMillis int64 `json:"for_ms"`
	// Probability is the chance that a request (Rubbish and CutStream: an
	// event of a stream) meets the fault; 0 means 1.
	Probability float64 `json:"probability"`
	// Seed makes the draws repeatable.
	Seed uint64 `json:"seed"`
	// DelayMillis is the delay of Slow.
	DelayMillis int64 `json:"delay_ms"`
}

// active is a fault under way.
type active struct {
	order  Order
	until  time.Time
	random *rand.Rand
}

// Injector holds the faults of one stand-in. It is safe for concurrent use.
type Injector struct {
	lock   sync.Mutex
	faults map[Kind]*active
}

// NewInjector makes an injector without faults.
func NewInjector() *Injector {
	return &Injector{faults: make(map[Kind]*active)}
}

// Set starts a fault, in place of an earlier one of its kind.
func (injector *Injector) Set(order Order) error {
	if !slices.Contains(kinds, order.Kind) {
		return reply.BadRequest("unknown kind of fault: " + string(order.Kind))
	}
	if order.Probability < 0 || order.Probability > 1 || order.ForMillis < 0 || order.DelayMillis < 0 {
		return reply.BadRequest("probability must be from 0 to 1, times not negative")
	}
	if order.Probability == 0 {
		order.Probability = 1
	}
	injector.lock.Lock()
	defer injector.lock.Unlock()
	if order.Kind == Clear {
		clear(injector.faults)
		return nil
	}
	injector.faults[order.Kind] = &active{
		order:  order,
		until:  time.Now().Add(time.Duration(order.ForMillis) * time.Millisecond),
		random: rand.New(rand.NewPCG(order.Seed, order.Seed)),
	}
	return nil
}

// Hits draws whether a request meets a fault of this kind now.
func (injector *Injector) Hits(kind Kind) bool {
	_, hit := injector.draw(kind)
	return hit
}

func (injector *Injector) draw(kind Kind) (Order, bool) {
	injector.lock.Lock()
	defer injector.lock.Unlock()
	fault, found := injector.faults[kind]
	if !found {
		return Order{}, false
	}
	if time.Now().After(fault.until) {
		delete(injector.faults, kind)
		return Order{}, false
	}
	return fault.order, fault.random.Float64() < fault.order.Probability
}

// Handler puts the faults before next. Routes that stream (streams) draw
// LoseAnswers and the stream faults themselves.
func (injector *Injector) Handler(next http.Handler, streams ...string) http.Handler {
	mux := http.NewServeMux()
	reply.HandlePost(mux, Path, func(order Order) (Order, error) {
		return order, injector.Set(order)
	})
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, debugPrefix) {
			next.ServeHTTP(writer, request)
			return
		}
		injector.serve(writer, request, next, slices.Contains(streams, request.URL.Path))
	})
	return mux
}

func (injector *Injector) serve(writer http.ResponseWriter, request *http.Request, next http.Handler, stream bool) {
	if order, hit := injector.draw(Slow); hit {
		wait(request, time.Duration(order.DelayMillis)*time.Millisecond)
	}
	if injector.Hits(Outage) {
		reply.WriteError(writer, reply.NotRun(http.StatusServiceUnavailable, "unavailable", "outage"))
		return
	}
	if stream {
		next.ServeHTTP(writer, request)
		return
	}
	if injector.Hits(LoseAnswers) {
		next.ServeHTTP(newDiscard(), request)
		reply.Abort(writer)
	}
	if injector.Hits(Rubbish) {
		next.ServeHTTP(newDiscard(), request)
		_, _ = writer.Write([]byte(RubbishBytes))
		return
	}
	next.ServeHTTP(writer, request)
}

// RubbishBytes is what a stand-in sends under the Rubbish fault.
const RubbishBytes = "\x00\xff{\"sequence\":\"x\nevent: \n\n:::{]"

// wait holds a request, but not past its connection's end.
func wait(request *http.Request, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}

// discard is a ResponseWriter that drops its answer.
type discard struct{ header http.Header }

func newDiscard() *discard { return &discard{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (writer *discard) Header() http.Header { return writer.header }

// Write implements http.ResponseWriter.
func (writer *discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (writer *discard) WriteHeader(int) {}
