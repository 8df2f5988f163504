package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	attemptDeadline = 4 * time.Second
	// programAim is the time that a program has, from its first turn on.
	programAim = 97 * time.Second
	// attemptsPerSend and sendsPerTurn are a client's tries of one turn: one retry, and the turn sent
	// anew twice.
	attemptsPerSend = 2
	sendsPerTurn    = 3
)

// program is an agent program with one line of turns.
type program struct {
	name   string
	path   string
	budget int64
	// maxTokens is the most that one turn generates.
	maxTokens int64
	// previous is the last turn that was answered whole, history what an engine has to get before the
	// input of the next one.
	previous string
	history  string
	// front is the node that the platform hands the program's connections to first, nil for any. Retries
	// meet other nodes.
	front *nodeProcess
	// aim is when the program should be over, set by its first turn.
	aim time.Time
	// received counts the tokens of all events that reached the client.
	received int64
}

// answer is what a client saw of one attempt.
type answer struct {
	id       string
	node     string
	sentAt   time.Time
	status   int
	complete bool
	events   int
	text     string
	retry    time.Duration
}

func (answer answer) served() bool { return answer.status == http.StatusOK && answer.complete }

func (answer answer) String() string {
	return fmt.Sprintf("%s at %s: status %d, complete %t, events %d, text %q", answer.id, answer.node, answer.status, answer.complete, answer.events, answer.text)
}

// client sends requests to the nodes, each on a new connection.
type client struct {
	deployment *deployment
	record     *record
	numbers    atomic.Int64
}

func (client *client) newID(prefix string) string {
	return fmt.Sprintf("%s-%d", prefix, client.numbers.Add(1))
}

// turn sends a program's next turn as the users' clients do, and returns the last answer and all that
// came before it.
func (client *client) turn(ctx context.Context, program *program, input string) (last answer, all []answer) {
	for send := range sendsPerTurn {
		if send > 0 {
			pause(ctx, time.Duration(100+rand.IntN(300))*time.Millisecond)
		}
		for range attemptsPerSend {
			last = client.attemptTurn(ctx, program, input, len(all) > 0)
			all = append(all, last)
			if final(last) || ctx.Err() != nil {
				return last, all
			}
			pause(ctx, last.retry)
		}
	}
	return last, all
}

// final reports whether a client does not try again after an answer.
func final(answer answer) bool {
	switch answer.status {
	case http.StatusOK:
		return answer.complete
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

func (client *client) attemptTurn(ctx context.Context, program *program, input string, isRetry bool) answer {
	if program.aim.IsZero() {
		program.aim = time.Now().Add(programAim)
	}
	header := http.Header{}
	header.Set("Program-Id", program.name)
	header.Set("Session-Id", program.name)
	header.Set("Program-Deadline-Ms", strconv.FormatInt(time.Until(program.aim).Milliseconds(), 10))
	header.Set("Token-Budget", strconv.FormatInt(program.budget, 10))
	header.Set("Token-Usage", "100,"+strconv.FormatInt(program.maxTokens, 10))
	if program.previous != "" && program.path == records.PathRetained {
		header.Set("Previous-Turn", program.previous)
	}
	node := program.front
	if node == nil || isRetry {
		node = client.anyNode()
	}
	answer := client.send(ctx, node, http.MethodPost, program.path+"x", client.newID(program.name), header, input)
	program.received += int64(answer.events) * tokensPerEvent
	if answer.served() {
		program.previous = answer.id
		program.history += input + output(answer.id, answer.events)
	}
	return answer
}

// output returns what a turn's events add to its chain.
func output(id string, events int) string {
	var text strings.Builder
	for event := 1; event <= events; event++ {
		fmt.Fprintf(&text, "%s-%d\n", id, event)
	}
	return text.String()
}

// tool calls a tool that may be asked more than once.
func (client *client) tool(ctx context.Context, program *program) answer {
	header := http.Header{}
	header.Set("Program-Id", program.name)
	header.Set("Session-Id", program.name)
	return client.send(ctx, client.anyNode(), http.MethodGet, records.PathSafe+"x", client.newID(program.name+"-tool"), header, "")
}

func (client *client) anyNode() *nodeProcess {
	return client.deployment.nodes[rand.IntN(len(client.deployment.nodes))]
}

// send sends one request to a node.
func (client *client) send(ctx context.Context, node *nodeProcess, method, path, id string, header http.Header, body string) answer {
	result := answer{id: id, node: node.name, sentAt: time.Now()}
	bounded, cancel := context.WithTimeout(ctx, attemptDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, method, "http://"+node.caller+path, strings.NewReader(body))
	if err != nil {
		panic(err) // All parts are constants or generated here.
	}
	request.Host = "127.0.0.1"
	request.Header = header
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(attemptDeadline.Milliseconds(), 10))
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		result.text = err.Error()
		result.retry = 200 * time.Millisecond
		client.record.answer(result)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	result.retry = retryAfter(response)
	if response.Header.Get("Content-Type") == "text/event-stream" {
		result.events, err = countEvents(response.Body)
	} else {
		var content []byte
		content, err = io.ReadAll(response.Body)
		result.text = strings.TrimSpace(string(content))
	}
	result.complete = err == nil
	client.record.answer(result)
	return result
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 100 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}

// countEvents counts the events of a stream. The error is nil if the stream ended whole.
func countEvents(body io.Reader) (int, error) {
	events := 0
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			events++
		}
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
