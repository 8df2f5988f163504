package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	expectCalls = 12
	// continueWait is how long a client waits for an interim response before it sends the body.
	continueWait  = time.Second
	expectBody    = 2000
	readWait      = 2 * time.Second
	responseLimit = 1 << 20
)

// runExpect sends calls that may run only once, with the header by which HTTP/1.1 clients ask whether
// to send a body, and counts the calls that ran and whose client got no HTTP response.
func runExpect(ctx context.Context, run *run) (bool, error) {
	err := run.start(options{nodes: 3, engines: 2, tools: 2, eventsPerTurn: 5, eventDelay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	broken := 0
	for number := range expectCalls {
		id := run.client.newID("credit")
		node := run.deployment.nodes[number%len(run.deployment.nodes)]
		status, received, failure := run.sendRaw(ctx, node, id)
		ran := run.deployment.ran(id)
		run.record.note("%s at %s: final status %d, ran %d times, failure %v, bytes received %q", id, node.name, status, ran, failure, received)
		if ran > 0 && failure != nil {
			broken++
		}
	}
	run.record.note("MIXED: %d of %d calls ran, and their clients got bytes that are no answer", broken, expectCalls)
	return broken > 0, nil
}

// ran returns how often engines ran a request.
func (deployment *deployment) ran(id string) int {
	count := 0
	for _, engine := range deployment.engines {
		for _, run := range engine.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

// sendRaw sends one call on a connection of its own. It skips interim responses and returns the status
// of the final one.
func (run *run) sendRaw(ctx context.Context, node *nodeProcess, id string) (status int, received []byte, failure error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", node.caller)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = socket.Close() }()
	expect := ""
	if run.disturbed {
		expect = "Expect: 100-continue\r\n"
	}
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: %d\r\n%s\r\n", records.PathUnsafe, id, expectBody, expect)
	if _, err := io.WriteString(socket, head); err != nil {
		return 0, nil, err
	}
	var log bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(io.LimitReader(socket, responseLimit), &log))
	if run.disturbed {
		_ = socket.SetReadDeadline(time.Now().Add(continueWait))
		if _, err := reader.Peek(1); err != nil && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) {
			return 0, log.Bytes(), err
		}
	}
	if _, err := io.WriteString(socket, strings.Repeat("x", expectBody)); err != nil {
		return 0, log.Bytes(), err
	}
	_ = socket.SetReadDeadline(time.Now().Add(readWait))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, log.Bytes(), err
		}
		_, err = io.Copy(io.Discard, response.Body)
		if response.StatusCode >= http.StatusOK || err != nil {
			return response.StatusCode, log.Bytes(), err
		}
	}
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
