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
	// keptConnections is the number of clients of each node that keep their connections.
	keptConnections = 8
	// oddName is a program's name in the encoding ISO 8859-1, and plainName the same in ASCII.
	oddName   = "pr\xfcfung"
	plainName = "pruefung"
	// oddBudget and oddTurns are the program's budget and the number of its turns.
	oddBudget   = 400
	oddTurns    = 6
	restartTime = time.Second
)

// runCrash runs calls on kept connections, and one program whose name is not encoded in UTF-8.
func runCrash(ctx context.Context, run *run) (bool, error) {
	err := run.start(options{nodes: 3, engines: 4, tools: 4, eventsPerTurn: 5, eventDelay: 40 * time.Millisecond})
	if err != nil {
		return false, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	go run.supervise(traffic)
	cut := &cutCounter{}
	var group sync.WaitGroup
	for _, node := range run.deployment.nodes {
		for range keptConnections {
			group.Go(func() { run.keepCalling(traffic, node, cut) })
		}
	}
	pause(ctx, 3*time.Second)
	before := cut.count()
	program := &program{name: plainName, path: records.PathPlain, budget: oddBudget, maxTokens: 5 * tokensPerEvent}
	if run.disturbed {
		program.name = oddName
	}
	for range oddTurns {
		run.client.turn(ctx, program, "input")
		pause(ctx, 500*time.Millisecond)
	}
	pause(ctx, 2*time.Second)
	stop()
	group.Wait()
	run.record.note("before the program: %d calls cut; in all: %d calls that ran were cut on kept connections; processes ended by themselves %d times", before, cut.count(), run.deployment.ends())
	run.record.note("LOST: %d calls from kept connections were passed on to sound engines, and their connections closed without an answer", cut.count())
	return cut.count() > 3, nil
}

// cutCounter counts calls that ran and whose connection was closed without an answer.
type cutCounter struct {
	mutex sync.Mutex
	cut   int
}

func (counter *cutCounter) add() {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.cut++
}

func (counter *cutCounter) count() int {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return counter.cut
}

// supervise starts nodes again that have ended by themselves, as the platform does.
func (run *run) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		for _, node := range run.deployment.nodes {
			select {
			case <-node.exited:
				node.ends++
				run.record.note("the process of %s has ended by itself", node.name)
				pause(ctx, restartTime)
				if ctx.Err() == nil {
					_ = run.deployment.start(node)
				}
			default:
			}
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// ends returns how often processes ended by themselves.
func (deployment *deployment) ends() int {
	total := 0
	for _, node := range deployment.nodes {
		total += node.ends
	}
	return total
}

// keepCalling sends one call after another on one connection, to a node for as long as that takes
// connections, otherwise to any other that is ready.
func (run *run) keepCalling(ctx context.Context, node *nodeProcess, cut *cutCounter) {
	for ctx.Err() == nil {
		socket, err := net.Dial("tcp", node.caller)
		if err == nil {
			run.callOn(ctx, node, socket, cut)
			_ = socket.Close()
		}
		pause(ctx, 50*time.Millisecond)
		if !node.ready() {
			node = run.client.anyNode()
		}
	}
}

// callOn sends calls on a connection until one gets no answer or the node announces its end. The connection is a kept one once it has
// carried an answer.
func (run *run) callOn(ctx context.Context, node *nodeProcess, socket net.Conn, cut *cutCounter) {
	reader := bufio.NewReader(socket)
	for answered := 0; ctx.Err() == nil; answered++ {
		id := run.client.newID("call")
		_, err := fmt.Fprintf(socket, "POST %sx HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 5\r\n\r\nhello", records.PathUnsafe, id)
		if err != nil {
			return
		}
		_ = socket.SetReadDeadline(time.Now().Add(readWait))
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			ran := run.deployment.ran(id)
			run.record.note("%s on a kept connection to %s: %v; ran %d times", id, node.name, err, ran)
			if ran > 0 && answered > 0 && !isTimeout(err) {
				cut.add()
			}
			return
		}
		if response.Close {
			return
		}
	}
}
