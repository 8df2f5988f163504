package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is how often an engine writes its record.
const heartbeatInterval = 1200 * time.Millisecond

// engineRecord is what an engine writes of itself into the store.
type engineRecord struct {
	Service    string
	Address    string
	Zone       string
	Version    string
	Slots      int
	State      string
	ColdLeftMs int
	Sequence   int
}

// execution is one run of a request at an engine.
type execution struct {
	engine  string
	request string
	path    string
	began   time.Time
}

// engine is a stand-in of a server behind the nodes. It serves one request at a time on a connection.
type engine struct {
	record   engineRecord
	id       string
	log      *record
	listener net.Listener
	ended    chan struct{}
	// work is how long a request runs.
	work time.Duration
	// full reports whether the engine refuses requests at present; nil means never.
	full func() bool
	// surplus reports whether a further copy of a refusal is sent late on the connection; nil means never.
	surplus func() bool

	running    atomic.Int64
	mutex      sync.Mutex
	executions []execution
	answers    int
	refusals   int
	surpluses  int
	// window is the number of the latest disruption in which a refusal was sent, windowAnswers and windowSurpluses
	// are the counts at that time.
	window          int
	windowAnswers   int
	windowSurpluses int
}

// startEngine starts an engine that keeps itself in the store.
func (deployed *deployment) startEngine(id, service, zone string, slots int, work time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("start engine %s: %w", id, err)
	}
	started := &engine{
		id: id, log: deployed.record, listener: listener, work: work, ended: make(chan struct{}),
		record: engineRecord{Service: service, Address: listener.Addr().String(), Zone: zone, Version: "v1", Slots: slots, State: "ready"},
	}
	deployed.engines = append(deployed.engines, started)
	go started.beat(deployed)
	go started.accept()
	return started, nil
}

// beat writes the engine's record until it ends.
func (engine *engine) beat(deployed *deployment) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		engine.write(deployed)
		select {
		case <-engine.ended:
			return
		case <-ticker.C:
		}
	}
}

// write puts the engine's record.
func (engine *engine) write(deployed *deployment) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.record.Sequence++
	deployed.store.Put("keyed.servers", engine.id, encodeJSON(engine.record))
}

// drain says that the engine leaves. It returns when the store has taken that.
func (engine *engine) drain(deployed *deployment) time.Time {
	engine.mutex.Lock()
	engine.record.State = "draining"
	engine.mutex.Unlock()
	engine.write(deployed)
	engine.log.write("%s says that it is draining, and the store has taken it", engine.id)
	return time.Now()
}

func (engine *engine) stop() {
	select {
	case <-engine.ended:
		return
	default:
	}
	close(engine.ended)
	_ = engine.listener.Close()
}

func (engine *engine) accept() {
	for {
		socket, err := engine.listener.Accept()
		if err != nil {
			return
		}
		go engine.serve(socket)
	}
}

// serve answers the requests of a connection one after the other.
func (engine *engine) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(late) > 0 {
			// The surplus answer arrives in the place where the next one is due.
			engine.log.write("%s sends a surplus answer where that of %s is due: %s", engine.id, request.Header.Get("Request-Id"), headOf(late))
			_, _ = socket.Write(late)
			late = nil
		}
		answer, refused := engine.answer(request, body)
		_, err = socket.Write(answer)
		if err != nil {
			return
		}
		if refused && engine.surplus != nil && engine.surplus() {
			engine.count(&engine.surpluses)
			late = answer
		}
	}
}

// headOf returns the status line and the request of an answer.
func headOf(answer []byte) string {
	lines := strings.SplitN(string(answer), "\r\n", 3)
	return lines[0] + ", " + lines[1]
}

func (engine *engine) count(counter *int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	*counter++
}

// answer runs a request, or refuses it as not run.
func (engine *engine) answer(request *http.Request, body []byte) (answer []byte, refused bool) {
	id := request.Header.Get("Request-Id")
	engine.count(&engine.answers)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != engine.id {
		engine.log.write("%s answers 421 to %s, which expects %s", engine.id, id, expected)
		return response(http.StatusMisdirectedRequest, id, "Instance-Id: "+engine.id+"\r\nNot-Executed: 1\r\n", nil), false
	}
	if engine.full != nil && engine.full() {
		engine.count(&engine.refusals)
		engine.log.write("%s is full and refuses %s", engine.id, id)
		return response(http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", nil), true
	}
	engine.mutex.Lock()
	engine.executions = append(engine.executions, execution{engine: engine.id, request: id, path: request.RequestURI, began: time.Now()})
	number := len(engine.executions)
	engine.mutex.Unlock()
	engine.log.write("%s (service %s) runs %s: %s %s, %d bytes", engine.id, engine.record.Service, id, request.Method, request.RequestURI, len(body))
	engine.running.Add(1)
	time.Sleep(engine.work)
	engine.running.Add(-1)
	stamp := fmt.Sprintf("Response-Stamp: %s.%d\r\n", engine.id, number)
	if strings.HasPrefix(request.RequestURI, "/turns/") {
		return response(http.StatusOK, id, stamp+"Content-Type: text/event-stream\r\n", []byte("id: 1\ndata: one\n\nid: 2\ndata: two\n\n")), false
	}
	return response(http.StatusOK, id, stamp, []byte("answer to "+id)), false
}

func response(status int, id, headers string, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, headers, len(body))
	return append([]byte(head), body...)
}

// runs returns how often each request has run at the engines.
func (deployed *deployment) runs() map[string][]execution {
	found := map[string][]execution{}
	for _, engine := range deployed.engines {
		engine.mutex.Lock()
		for _, run := range engine.executions {
			found[run.request] = append(found[run.request], run)
		}
		engine.mutex.Unlock()
	}
	return found
}
