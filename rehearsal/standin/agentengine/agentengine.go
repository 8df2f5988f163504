// Package agentengine stands in for the engines of the users' platform: it
// answers opaque requests and streams, refuses as they do, and remembers what
// ran.
package agentengine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults is how the engine misbehaves; the zero value is a sound engine.
type Faults struct {
	// Full refuses every request as not run.
	Full bool
	// Fail answers every request with a failure of the engine's own.
	Fail bool
	// LoseAnswers runs requests and closes the connection.
	LoseAnswers bool
	// BreakAfter breaks streams off after so many events, 0 not at all.
	BreakAfter int
	// Pause is between the events of a stream.
	Pause time.Duration
}

// Run is a request that the engine ran.
type Run struct {
	ID       string
	Method   string
	Target   string
	Body     string
	Header   http.Header
	Canceled bool
	// At is when the request arrived.
	At time.Time
}

// Engine is a running stand-in.
type Engine struct {
	ID     string
	Events int
	// Pace is the time between a stream's events, and before another answer, of an engine
	// that is sound. It is set before the first request.
	Pace     time.Duration
	server   *http.Server
	listener net.Listener
	mutex    sync.Mutex
	faults   Faults
	runs     []Run
}

const headerTimeout = 30 * time.Second

// An answer to a path that ends in LargeSuffix has LargeBytes before its text.
const (
	LargeSuffix = "/large"
	LargeBytes  = 1 << 20
)

// Start serves on address. A stream has the given number of events.
func Start(address, id string, events int) (*Engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	engine := &Engine{ID: id, Events: events, listener: listener}
	engine.server = &http.Server{Handler: engine, ReadHeaderTimeout: headerTimeout}
	go func() { _ = engine.server.Serve(listener) }()
	return engine, nil
}

// Address returns IP:PORT.
func (engine *Engine) Address() string { return engine.listener.Addr().String() }

// Close ends the stand-in and its connections.
func (engine *Engine) Close() { _ = engine.server.Close() }

// Drain takes no new connection and waits for requests under way, until ctx ends.
func (engine *Engine) Drain(ctx context.Context) error { return engine.server.Shutdown(ctx) }

// SetFaults replaces the faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = faults
}

// Runs returns what has run so far.
func (engine *Engine) Runs() []Run {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]Run(nil), engine.runs...)
}

// ServeHTTP implements http.Handler.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	faults := engine.faults
	engine.mutex.Unlock()
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != engine.ID {
		writer.Header().Set("Instance-Id", engine.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if faults.Full {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	number := engine.note(request, string(body))
	if faults.Fail {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Response-Stamp", "stamp-"+engine.ID)
	if strings.Contains(request.URL.Path, "/stream") {
		engine.stream(writer, request, faults, number)
		return
	}
	time.Sleep(engine.Pace)
	if strings.HasSuffix(request.URL.Path, LargeSuffix) {
		_, _ = io.WriteString(writer, strings.Repeat(".", LargeBytes))
	}
	_, _ = fmt.Fprintf(writer, "answer of %s to %s", engine.ID, request.Header.Get("Request-Id"))
}

func (engine *Engine) note(request *http.Request, body string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.runs = append(engine.runs, Run{
		ID:     request.Header.Get("Request-Id"),
		Method: request.Method,
		Target: request.RequestURI,
		Body:   body,
		Header: request.Header.Clone(),
		At:     time.Now(),
	})
	return len(engine.runs) - 1
}

func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, faults Faults, number int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := writer.(http.Flusher)
	for event := 1; event <= engine.Events; event++ {
		if faults.BreakAfter > 0 && event > faults.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		_, err := fmt.Fprintf(writer, "id: %d\ndata: %s-%d\n\n", event, request.Header.Get("Request-Id"), event)
		if err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-time.After(faults.Pause + engine.Pace):
		case <-request.Context().Done():
			engine.mutex.Lock()
			engine.runs[number].Canceled = true
			engine.mutex.Unlock()
			return
		}
	}
}
