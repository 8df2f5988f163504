package agentengine

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// CrashMark ends the engine that runs a request with it in its target or body.
const CrashMark = "crash-mark"

// Crash is how an engine ends under a request with CrashMark. The zero value ends it as soon as it
// has read the request.
type Crash struct {
	// Delay is the time from the arrival of the request until the engine ends, also if the caller
	// has left by then.
	Delay time.Duration
	// AfterEvents ends the engine in a stream instead, once it has sent this many events.
	AfterEvents int
	// AnswerStatus, unless 0, is the status of a complete response that the engine sends first. It ends Delay
	// after that.
	AnswerStatus int
	// OnArrival is called when the request arrives; it may be nil.
	OnArrival func(engine *Engine)
	// Silent keeps connections open without another byte, like a host that lost its power. Requests
	// that arrive later are recorded, but not answered. Otherwise connections are reset.
	Silent bool
}

// SetCrash sets how the engine ends under a request with CrashMark, and a function that is called
// as it ends, before its connections are reset. Without it, such requests are served like others.
func (engine *Engine) SetCrash(crash Crash, ended func(engine *Engine)) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.crash = &crash
	engine.onEnd = ended
}

// crashFor returns how the engine ends under a request, nil if it does not.
func (engine *Engine) crashFor(request *http.Request, body string) *Crash {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.crash == nil || !strings.Contains(request.RequestURI+body, CrashMark) {
		return nil
	}
	return engine.crash
}

// crashAfter makes the engine end after a delay, from the arrival of a request or from its answer, if it sends
// one. It reports whether the request is answered as usual.
func (engine *Engine) crashAfter(request *http.Request, crash *Crash) (answers bool, answered func()) {
	end := func() {
		time.AfterFunc(crash.Delay, func() { engine.end(crash.Silent, request.Header.Get("Request-Id")) })
	}
	if crash.OnArrival != nil {
		crash.OnArrival(engine)
	}
	if crash.AnswerStatus == 0 {
		end()
		return false, nil
	}
	return true, end
}

// End is how an engine ended by itself.
type End struct {
	At time.Time
	// Request is the ID of the request under which it ended.
	Request string
	Silent  bool
	// Answered is true if the engine had answered the request.
	Answered bool
}

// end ends the engine once. All its connections are reset, or silent from now on.
func (engine *Engine) end(silent bool, request string) {
	engine.mutex.Lock()
	if engine.ended != nil {
		engine.mutex.Unlock()
		return
	}
	engine.ended = &End{At: time.Now(), Request: request, Silent: silent, Answered: engine.crash != nil && engine.crash.AnswerStatus != 0}
	onEnd := engine.onEnd
	engine.mutex.Unlock()
	if onEnd != nil {
		onEnd(engine)
	}
	engine.connections.end(silent)
}

// Crash ends the engine by resetting all its connections.
func (engine *Engine) Crash() { engine.end(false, "") }

// Ended returns how the engine ended by itself, false if it has not.
func (engine *Engine) Ended() (End, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.ended == nil {
		return End{}, false
	}
	return *engine.ended, true
}

// errEnded ends the exchanges of an engine that has ended.
var errEnded = errors.New("engine has ended")

// connectionTracker is a listener whose connections can be reset or made silent all at once. It is
// safe for concurrent use.
type connectionTracker struct {
	net.Listener
	mutex sync.Mutex
	open  map[*trackedConnection]bool
	// silenced is closed once no connection sends any more, closed once all are closed.
	silenced chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func newConnectionTracker(listener net.Listener) *connectionTracker {
	return &connectionTracker{Listener: listener, open: map[*trackedConnection]bool{}, silenced: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (tracker *connectionTracker) Accept() (net.Conn, error) {
	connection, err := tracker.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConnection{Conn: connection, tracker: tracker}
	tracker.mutex.Lock()
	tracker.open[tracked] = true
	tracker.mutex.Unlock()
	return tracked, nil
}

// Close implements net.Listener. It also ends the exchanges of a silent engine.
func (tracker *connectionTracker) Close() error {
	tracker.once.Do(func() { close(tracker.closed) })
	return tracker.Listener.Close()
}

// end resets all connections and takes no more, or makes all of them silent.
func (tracker *connectionTracker) end(silent bool) {
	if silent {
		close(tracker.silenced)
		return
	}
	_ = tracker.Listener.Close()
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for connection := range tracker.open {
		connection.reset()
	}
}

// trackedConnection is a connection of a connectionTracker.
type trackedConnection struct {
	net.Conn
	tracker *connectionTracker
}

// Write implements net.Conn.
func (connection *trackedConnection) Write(data []byte) (int, error) {
	if connection.waitIfSilent() {
		return 0, errEnded
	}
	return connection.Conn.Write(data)
}

// Close implements net.Conn.
func (connection *trackedConnection) Close() error {
	connection.waitIfSilent()
	connection.tracker.mutex.Lock()
	delete(connection.tracker.open, connection)
	connection.tracker.mutex.Unlock()
	return connection.Conn.Close()
}

// waitIfSilent returns false unless the engine is silent. Then it blocks until the engine is
// closed, and returns true.
func (connection *trackedConnection) waitIfSilent() bool {
	select {
	case <-connection.tracker.silenced:
	default:
		return false
	}
	<-connection.tracker.closed
	return true
}

// reset closes the connection with a reset.
func (connection *trackedConnection) reset() {
	if socket, ok := connection.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = connection.Conn.Close()
}
