package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	plainEngines = 4
	// workTime is how long an engine works on a request.
	workTime = 80 * time.Millisecond
	// surplusEvery is after how many answers a faulty engine sends more behind a whole one: 2 in 100.
	surplusEvery = 50
	// surplusDelay is how long after the answer that follows.
	surplusDelay = 30 * time.Millisecond
	// surplusBytes belong to no request.
	surplusBytes    = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nsurplus answer!"
	surplusCallers  = 24
	surplusDuration = 20 * time.Second
)

// plainEngine answers calls over HTTP/1.1. A faulty one sometimes sends more behind a whole answer.
type plainEngine struct {
	id       string
	faulty   bool
	listener net.Listener

	mutex   sync.Mutex
	answers int
	surplus int
	ran     map[string]int
}

func startPlainEngine(id string, faulty bool) (*plainEngine, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	engine := &plainEngine{id: id, faulty: faulty, listener: listener, ran: map[string]int{}}
	go engine.accept()
	return engine, nil
}

func (engine *plainEngine) accept() {
	for {
		socket, err := engine.listener.Accept()
		if err != nil {
			return
		}
		go engine.serve(socket)
	}
}

// serve answers the requests of one connection.
func (engine *plainEngine) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if request.Header.Get("Expect-Instance") != engine.id {
			_, _ = fmt.Fprintf(socket, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		time.Sleep(workTime)
		_, err = fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, engine.id, len(engine.answer(id)), engine.answer(id))
		if err != nil {
			return
		}
		if engine.recordAnswer(id) {
			time.AfterFunc(surplusDelay, func() { _, _ = io.WriteString(socket, surplusBytes) })
		}
	}
}

func (engine *plainEngine) answer(id string) string {
	return fmt.Sprintf("answer of %s to %s", engine.id, id)
}

// recordAnswer counts an answer and reports whether more is to follow it.
func (engine *plainEngine) recordAnswer(id string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.answers++
	engine.ran[id]++
	if !engine.faulty || engine.answers%surplusEvery != 0 {
		return false
	}
	engine.surplus++
	return true
}

// runSurplus lets half of the engines of a plain service send more behind 2 in 100 of their answers, and
// counts what clients get as success that is not their engine's answer.
func runSurplus(ctx context.Context, run *run) (bool, error) {
	err := run.start(options{nodes: 3, engines: 1, eventsPerTurn: 5, eventDelay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	var engines []*plainEngine
	for number := range plainEngines {
		engine, err := startPlainEngine(fmt.Sprintf("plain-%d", number), run.disturbed && number%2 == 0)
		if err != nil {
			return false, err
		}
		defer func() { _ = engine.listener.Close() }()
		engines = append(engines, engine)
		record := records.Server{Service: records.ServiceTools, Address: engine.listener.Addr().String(), Zone: zoneName(number), Slots: records.Slots, State: records.StateReady}
		run.deployment.store.Put(records.TopicEngines, engine.id, records.Encode(record))
	}
	pause(ctx, 2*time.Second) // The nodes have read the engines' records by then.
	traffic, stop := context.WithTimeout(ctx, surplusDuration)
	defer stop()
	var group sync.WaitGroup
	var mutex sync.Mutex
	calls, wrong := 0, 0
	for range surplusCallers {
		group.Go(func() {
			for traffic.Err() == nil {
				id := run.client.newID("credit")
				body, stamp, status := run.callPlain(ctx, id)
				mutex.Lock()
				calls++
				if status == http.StatusOK && (stamp == "" || !isAnswerOf(engines, body, id)) {
					wrong++
					run.record.note("%s got 200 with stamp %q and body %q", id, stamp, body)
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	for _, engine := range engines {
		run.record.note("%s ran %d requests, and sent more behind %d answers", engine.id, engine.answers, engine.surplus)
	}
	run.record.note("MIXED: %d of %d calls got a success that is not an engine's answer to them", wrong, calls)
	return wrong > 0, nil
}

func isAnswerOf(engines []*plainEngine, body, id string) bool {
	for _, engine := range engines {
		if body == engine.answer(id) {
			return true
		}
	}
	return false
}

// callPlain sends one call that may run only once.
func (run *run) callPlain(ctx context.Context, id string) (body, stamp string, status int) {
	bounded, cancel := context.WithTimeout(ctx, attemptDeadline)
	defer cancel()
	node := run.client.anyNode()
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+node.caller+records.PathUnsafe+"x", nil)
	if err != nil {
		panic(err) // All parts are constants or generated here.
	}
	request.Host = "127.0.0.1"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		run.record.note("%s at %s: %v", id, node.name, err)
		return "", "", 0
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	run.record.note("%s at %s: status %d, body %q", id, node.name, response.StatusCode, content)
	return string(content), response.Header.Get("Response-Stamp"), response.StatusCode
}
