// Package agentengine is a stand-in for the platform's engines: it answers opaque requests
// and streams, injects faults and records the requests that it ran.
package agentengine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults is the set of injected faults; the zero value injects none.
type Faults struct {
	// Overloaded rejects every request as not executed.
	Overloaded bool
	// Fail answers every request with status 500.
	Fail bool
	// DropResponses runs requests and closes the connection without a response.
	DropResponses bool
	// AbortStreamAfter aborts streams after this many events; 0 disables it.
	AbortStreamAfter int
	// EventDelay is added to the delay between the events of a stream.
	EventDelay time.Duration
}

// Run is a request that the engine ran.
type Run struct {
	ID       string
	Method   string
	Target   string
	Body     string
	Header   http.Header
	Canceled bool
	// ArrivedAt is the request's arrival time.
	ArrivedAt time.Time
}

// Engine is a running stand-in.
type Engine struct {
	ID string
	// Version is the version of the engine's software, for its record. It must be set before the
	// record is written.
	Version         string
	EventsPerStream int
	// BaseDelay is the delay between the events of a stream, and before any other response. It
	// must be set before the first request.
	BaseDelay time.Duration
	server    *http.Server
	listener  net.Listener
	// connections are those that the listener accepted.
	connections *connectionTracker
	mutex       sync.Mutex
	faults      Faults
	runs        []Run
	// crash and onEnd are set by SetCrash; ended is set once the engine has ended by itself.
	crash *Crash
	onEnd func(engine *Engine)
	ended *End
}

const headerTimeout = 30 * time.Second

// A response to a path that ends in LargeSuffix begins with LargeBytes of padding.
const (
	LargeSuffix = "/large"
	LargeBytes  = 1 << 20
)

// Start serves on address; each stream has the given number of events.
func Start(address, id string, events int) (*Engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	engine := &Engine{ID: id, EventsPerStream: events, listener: listener, connections: newConnectionTracker(listener)}
	engine.server = &http.Server{Handler: engine, ReadHeaderTimeout: headerTimeout}
	go func() { _ = engine.server.Serve(engine.connections) }()
	return engine, nil
}

// Address returns the listen address, IP:PORT.
func (engine *Engine) Address() string { return engine.listener.Addr().String() }

// Close stops the engine and closes its connections.
func (engine *Engine) Close() {
	_ = engine.connections.Close()
	_ = engine.server.Close()
}

// Drain stops accepting connections and waits for requests in flight until ctx ends.
func (engine *Engine) Drain(ctx context.Context) error { return engine.server.Shutdown(ctx) }

// SetFaults replaces the injected faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = faults
}

// Runs returns the requests run so far.
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
	if faults.Overloaded {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	index := engine.recordRun(request, string(body))
	crash := engine.crashFor(request, string(body))
	if crash != nil && crash.AfterEvents == 0 {
		answers, answered := engine.crashAfter(request, crash)
		if !answers {
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
		defer answered()
		if crash.AnswerStatus != http.StatusOK {
			writer.WriteHeader(crash.AnswerStatus)
			return
		}
		crash = nil // The response is the usual one.
	}
	if faults.Fail {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Response-Stamp", "stamp-"+engine.ID)
	if strings.Contains(request.URL.Path, "/stream") {
		engine.stream(writer, request, faults, index, crash)
		return
	}
	time.Sleep(engine.BaseDelay)
	if strings.HasSuffix(request.URL.Path, LargeSuffix) {
		_, _ = io.WriteString(writer, strings.Repeat(".", LargeBytes))
	}
	_, _ = fmt.Fprintf(writer, "answer of %s to %s", engine.ID, request.Header.Get("Request-Id"))
}

// lastEventID returns the number of the event after which a resumed stream goes on, 0 for a new one.
func lastEventID(request *http.Request) int {
	last, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last
}

func (engine *Engine) recordRun(request *http.Request, body string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.runs = append(engine.runs, Run{
		ID:        request.Header.Get("Request-Id"),
		Method:    request.Method,
		Target:    request.RequestURI,
		Body:      body,
		Header:    request.Header.Clone(),
		ArrivedAt: time.Now(),
	})
	return len(engine.runs) - 1
}

func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, faults Faults, index int, crash *Crash) {
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := writer.(http.Flusher)
	for event := lastEventID(request) + 1; event <= engine.EventsPerStream; event++ {
		if faults.AbortStreamAfter > 0 && event > faults.AbortStreamAfter {
			panic(http.ErrAbortHandler)
		}
		if crash != nil && event > crash.AfterEvents {
			engine.end(crash.Silent, request.Header.Get("Request-Id"))
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
		_, err := fmt.Fprintf(writer, "id: %d\ndata: %s-%d\n\n", event, request.Header.Get("Request-Id"), event)
		if err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-time.After(faults.EventDelay + engine.BaseDelay):
		case <-request.Context().Done():
			engine.mutex.Lock()
			engine.runs[index].Canceled = true
			engine.mutex.Unlock()
			return
		}
	}
}
