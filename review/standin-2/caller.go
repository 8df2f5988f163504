package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// call is a caller's request.
type call struct {
	id       string
	method   string
	path     string
	body     string
	deadline time.Duration
	headers  map[string]string
}

// result is what a caller got. status is 0 if no complete answer came.
type result struct {
	status     int
	stamp      string
	retryAfter string
	body       string
	err        error
}

// callers sends requests to nodes over kept connections.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}

// send sends a request to a node and waits for the whole answer.
func (deployed *deployment) send(node *nodeProcess, sent call) result {
	request, err := http.NewRequest(sent.method, "http://"+node.callers+sent.path, strings.NewReader(sent.body))
	if err != nil {
		return result{err: err}
	}
	request.Host = routeHost
	request.Header.Set("Request-Id", sent.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(sent.deadline.Milliseconds()))
	for name, value := range sent.headers {
		request.Header.Set(name, value)
	}
	deployed.record.write("caller sends %s to %s: %s %s", sent.id, node.name, sent.method, sent.path)
	answer := read(request, sent.deadline)
	deployed.record.write("caller gets %s for %s, stamp %q, %q%s", describe(answer), sent.id, answer.stamp, answer.body, describeError(answer))
	return answer
}

func read(request *http.Request, deadline time.Duration) result {
	client := *callers
	client.Timeout = deadline
	response, err := client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{err: err}
	}
	return result{status: response.StatusCode, stamp: response.Header.Get("Response-Stamp"), retryAfter: response.Header.Get("Retry-After"), body: string(body)}
}

func describe(answer result) string {
	if answer.err != nil {
		return "no complete answer"
	}
	return fmt.Sprint(answer.status)
}

func describeError(answer result) string {
	if answer.err == nil {
		return ""
	}
	return ", " + answer.err.Error()
}
