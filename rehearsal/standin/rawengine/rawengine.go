// Package rawengine is a stand-in for engines that send bytes that are no answer: bytes without end,
// and bytes of nobody's answer between two answers. It speaks HTTP/1.1 on plain sockets.
package rawengine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Misbehavior is what an engine sends for a request with Mark in its target.
type Misbehavior int

// Misbehaviors. Those without end go on until the node closes the connection.
const (
	// EndlessHeaderLine sends a header line without end.
	EndlessHeaderLine Misbehavior = iota
	// EndlessHeaders sends headers without end.
	EndlessHeaders
	// EndlessInterims sends interim responses without end.
	EndlessInterims
	// EndlessStaleBody sends the body of another request's answer without end.
	EndlessStaleBody
	// EndlessBody sends the body of the answer without end.
	EndlessBody
	// EndlessRefusal sends the body of a refusal without end.
	EndlessRefusal
	// EndlessEvent sends one event of a stream without end.
	EndlessEvent
	// EndlessEvents sends events of a stream without end.
	EndlessEvents
	// EndlessSurplus sends bytes without end behind a whole answer.
	EndlessSurplus
	// SlowHeaders sends a short header now and then, without end.
	SlowHeaders
	// StrayAnswer sends a success without an ID while it works on the request, and then the answer.
	StrayAnswer
	// StrayRefusal sends a refusal without an ID while it works on the request, and then the answer.
	StrayRefusal
	// InterimFirst sends an interim response, and then the answer.
	InterimFirst
	// LateRefusal refuses a request at its first attempt, and sends a copy of the refusal late: where the answer
	// to the next request on the connection is due, while it works on that.
	LateRefusal
	// OddStatus sends an answer whose status is that of the query's parameter "status".
	OddStatus
	// CutAnswer sends the first bytes of an answer in a form, both named by the target, and closes.
	CutAnswer
	// GivenAnswer sends the bytes that the target gives; see Given.
	GivenAnswer
)

// Mark is the part of a target that makes an engine misbehave.
const Mark = "misbehave"

const (
	chunkBytes = 64 << 10
	// slowInterval is the time between two headers of SlowHeaders.
	slowInterval = 20 * time.Millisecond
	// workTime is how long the engine works on a request.
	workTime = 20 * time.Millisecond
)

// Engine is a running stand-in.
type Engine struct {
	ID          string
	misbehavior Misbehavior
	listener    net.Listener
	mutex       sync.Mutex
	runs        map[string]int
	// refused holds the requests that LateRefusal has refused.
	refused map[string]bool
	endless []time.Duration
	open    int
}

// Start starts an engine on a loopback port.
func Start(id string, misbehavior Misbehavior) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &Engine{ID: id, misbehavior: misbehavior, listener: listener, runs: map[string]int{}, refused: map[string]bool{}}
	go engine.accept()
	return engine, nil
}

// Address returns the listen address, IP:PORT.
func (engine *Engine) Address() string { return engine.listener.Addr().String() }

// Close stops the engine. Its connections end as the nodes close them.
func (engine *Engine) Close() { _ = engine.listener.Close() }

// Runs returns how often the engine ran each request.
func (engine *Engine) Runs() map[string]int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	copied := map[string]int{}
	for id, count := range engine.runs {
		copied[id] = count
	}
	return copied
}

// Endless returns how long each output without end went on until the node closed the connection, and
// how many still go on.
func (engine *Engine) Endless() (ended []time.Duration, open int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]time.Duration(nil), engine.endless...), engine.open
}

func (engine *Engine) accept() {
	for {
		socket, err := engine.listener.Accept()
		if err != nil {
			return
		}
		go engine.serve(socket)
	}
}

func (engine *Engine) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	late := "" // the copy of a refusal that is still to be sent
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, request.Body)
		if err != nil || !send(socket, late) {
			return
		}
		late = ""
		if engine.refusesFirst(request) {
			late = refusal(request.Header.Get("Request-Id"))
			if !send(socket, late) {
				return
			}
			continue
		}
		if !engine.answer(socket, request) {
			return
		}
	}
}

// refusesFirst reports whether LateRefusal refuses a request now.
func (engine *Engine) refusesFirst(request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if engine.misbehavior != LateRefusal || !strings.Contains(request.RequestURI, Mark) {
		return false
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	known := engine.refused[id]
	engine.refused[id] = true
	return !known
}

// refusal returns the answer of an engine that is full.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// answer answers a request, and returns false if the connection can't be used any more.
func (engine *Engine) answer(socket net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if request.Header.Get("Expect-Instance") != engine.ID {
		return send(socket, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	}
	misbehaves := strings.Contains(request.RequestURI, Mark)
	if !misbehaves || engine.misbehavior != EndlessRefusal { // A refused request has not run.
		engine.mutex.Lock()
		engine.runs[id]++
		engine.mutex.Unlock()
	}
	if !misbehaves {
		time.Sleep(workTime)
		return send(socket, whole(id))
	}
	if engine.misbehavior == OddStatus {
		return send(socket, strings.Replace(whole(id), "200 OK", request.URL.Query().Get("status")+" Odd", 1))
	}
	if engine.misbehavior == CutAnswer {
		_ = send(socket, cutAnswer(id, request.URL.Query()))
		return false
	}
	if engine.misbehavior == GivenAnswer {
		return sendGiven(socket, id, request.URL.Query())
	}
	return engine.misbehave(socket, id)
}

// whole returns the whole answer to a request.
func whole(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp\r\nContent-Length: %d\r\n\r\n%s", id, len(answerTo(id)), answerTo(id))
}

// answerTo returns a body that is a stream of one event too.
func answerTo(id string) string { return "data: answer to " + id + "\n\n" }

func send(socket net.Conn, text string) bool {
	_, err := io.WriteString(socket, text)
	return err == nil
}

func (engine *Engine) misbehave(socket net.Conn, id string) bool {
	chunk := strings.Repeat("x", chunkBytes)
	chunked := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, chunk)
	success := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: stamp\r\n"
	switch engine.misbehavior {
	case EndlessHeaderLine:
		engine.sendEndless(socket, success+"Filler: ", chunk, 0)
	case EndlessHeaders:
		engine.sendEndless(socket, success, strings.Repeat("Filler: x\r\n", chunkBytes/16), 0)
	case SlowHeaders:
		engine.sendEndless(socket, success, "Filler: x\r\n", slowInterval)
	case EndlessInterims:
		engine.sendEndless(socket, "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", chunkBytes/32), 0)
	case EndlessStaleBody:
		engine.sendEndless(socket, "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", chunked, 0)
	case EndlessBody:
		engine.sendEndless(socket, success+"Transfer-Encoding: chunked\r\n\r\n", chunked, 0)
	case EndlessRefusal:
		engine.sendEndless(socket, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: "+id+"\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunked, 0)
	case EndlessEvent:
		engine.sendEndless(socket, success+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n", chunked, 0)
	case EndlessEvents:
		events := strings.Repeat("data: x\n\n", chunkBytes/16)
		engine.sendEndless(socket, success+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(events), events), 0)
	case EndlessSurplus:
		engine.sendEndless(socket, whole(id), chunk, 0)
	case LateRefusal:
		time.Sleep(workTime)
		return send(socket, whole(id))
	case StrayAnswer:
		return sendStray(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", id)
	case StrayRefusal:
		return sendStray(socket, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	case InterimFirst:
		return sendStray(socket, "HTTP/1.1 103 Early Hints\r\n\r\n", id)
	}
	return false
}

// sendStray sends bytes before the answer while the engine works on the request.
func sendStray(socket net.Conn, stray, id string) bool {
	if !send(socket, stray) {
		return false
	}
	time.Sleep(workTime)
	return send(socket, whole(id))
}

// sendEndless sends first and then a part again and again until the connection is closed.
func (engine *Engine) sendEndless(socket net.Conn, first, part string, interval time.Duration) {
	engine.mutex.Lock()
	engine.open++
	engine.mutex.Unlock()
	began := time.Now()
	alive := send(socket, first)
	for alive {
		time.Sleep(interval)
		alive = send(socket, part)
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.open--
	engine.endless = append(engine.endless, time.Since(began))
}
