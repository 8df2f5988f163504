// Package caller is a caller of magpielug's gateways over their HTTP interface,
// as a program of a user would be.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	headerRequestID      = "X-Magpielug-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	maxLineBytes         = 4 << 20
	eventChunk           = "chunk"
	eventFinished        = "finished"
	eventError           = "error"
)

// Caller makes requests with one tier's key. It is safe for concurrent use.
type Caller struct {
	client *http.Client
	key    string
}

// New returns a caller that presents key.
func New(client *http.Client, key string) *Caller {
	return &Caller{client: client, key: key}
}

// Failure is an error answer of a gateway.
type Failure struct {
	Status       int    `json:"-"`
	Code         uint32 `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	RetryAfterMs uint32 `json:"retry_after_ms"`
}

// Error returns the code, name and message.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%d %s: %s", failure.Code, failure.Name, failure.Message)
}

// RetryAfter is when to come back; 0 where the answer tells nothing.
func (failure *Failure) RetryAfter() time.Duration {
	return time.Duration(failure.RetryAfterMs) * time.Millisecond
}

// Message is one message of a call.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Call is one call of a program.
type Call struct {
	Kind       string    `json:"kind"`
	Target     string    `json:"target"`
	Messages   []Message `json:"messages,omitempty"`
	MaxTokens  *int      `json:"max_tokens,omitempty"`
	Input      *string   `json:"input,omitempty"`
	Repeatable bool      `json:"repeatable"`
	Stream     bool      `json:"stream"`
}

// Usage is what a finished call used.
type Usage struct {
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	OutputTokens int    `json:"output_tokens"`
	CostMicros   uint64 `json:"cost_micros"`
}

// Result is a call's whole answer.
type Result struct {
	Output       string
	FinishReason string
	Usage        Usage
	Turn         uint32
	// FirstChunk is the time from the request to the first chunk, and Chunks
	// how many there were.
	FirstChunk time.Duration
	Chunks     int
	Duration   time.Duration
}

// Program is a program as its caller sees it.
type Program struct {
	ID          string `json:"id"`
	State       string `json:"state"`
	Turns       uint32 `json:"turns"`
	SpentMicros uint64 `json:"spent_micros"`
	CapMicros   uint64 `json:"cap_micros"`
}

// CreateProgram makes a program; the same request id finds the same program.
func (caller *Caller) CreateProgram(ctx context.Context, gateway, requestID, kind, parent string) (Program, error) {
	var made Program
	body := map[string]string{"kind": kind}
	if parent != "" {
		body["parent"] = parent
	}
	err := caller.exchange(ctx, http.MethodPost, gateway+"/v1/programs", requestID, body, &made)
	return made, err
}

// EndProgram ends a program. Its request has an id, by which it may be sent again.
func (caller *Caller) EndProgram(ctx context.Context, gateway, program string) error {
	return caller.exchange(ctx, http.MethodPost, gateway+"/v1/programs/"+program+"/end", "end-"+program, nil, nil)
}

// GetProgram reads a program.
func (caller *Caller) GetProgram(ctx context.Context, gateway, program string) (Program, error) {
	var found Program
	err := caller.exchange(ctx, http.MethodGet, gateway+"/v1/programs/"+program, "", nil, &found)
	return found, err
}

// exchange makes one request whose answer is a JSON object.
func (caller *Caller) exchange(ctx context.Context, method, url, requestID string, body, answer any) error {
	response, err := caller.send(ctx, method, url, requestID, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if answer == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return eris.Wrap(err, "read answer")
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(answer), "read answer")
}

// send makes a request and turns an error answer into a *Failure.
func (caller *Caller) send(ctx context.Context, method, url, requestID string, body any) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+url, content)
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+caller.key)
	request.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		request.Header.Set(headerRequestID, requestID)
		// Under this name the HTTP client knows that it may send the request again
		// where it crossed the close of an idle connection.
		request.Header.Set(headerIdempotencyKey, requestID)
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer response.Body.Close()
		return nil, readFailure(response)
	}
	return response, nil
}

func readFailure(response *http.Response) error {
	var body struct {
		Error Failure `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return eris.Wrapf(err, "answer %s with no readable error", response.Status)
	}
	body.Error.Status = response.StatusCode
	return &body.Error
}

// Run makes a streamed call of a program and returns its whole answer. A
// *Failure is a final answer; any other error leaves the outcome open.
func (caller *Caller) Run(ctx context.Context, gateway, program, requestID string, call Call) (Result, error) {
	call.Stream = true
	begun := time.Now()
	response, err := caller.send(ctx, http.MethodPost, gateway+"/v1/programs/"+program+"/calls", requestID, call)
	if err != nil {
		return Result{}, err
	}
	defer response.Body.Close()
	return readStream(response.Body, begun)
}

// streamState collects one stream of server-sent events.
type streamState struct {
	begun  time.Time
	text   strings.Builder
	last   uint64
	result Result
}

func readStream(body io.Reader, begun time.Time) (Result, error) {
	state := &streamState{begun: begun}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, found := strings.CutPrefix(line, "event: "); found {
			event = name
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		finished, err := state.take(event, []byte(data))
		if finished || err != nil {
			return state.result, err
		}
	}
	if err := scanner.Err(); err != nil {
		return state.result, eris.Wrap(err, "read stream")
	}
	return state.result, eris.New("the stream ended with no final event")
}

// take takes one event and tells whether it is the last.
func (state *streamState) take(event string, data []byte) (bool, error) {
	switch event {
	case eventChunk:
		return false, state.takeChunk(data)
	case eventFinished:
		return true, state.finish(data)
	case eventError:
		var body struct {
			Error Failure `json:"error"`
		}
		if err := json.Unmarshal(data, &body); err != nil {
			return false, eris.Wrap(err, "read error event")
		}
		return true, &body.Error
	}
	return false, nil
}

func (state *streamState) takeChunk(data []byte) error {
	var chunk struct {
		Sequence uint64 `json:"sequence"`
		Text     string `json:"text"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return eris.Wrap(err, "read chunk")
	}
	if chunk.Sequence != state.last+1 {
		return eris.Errorf("chunk %d came after chunk %d", chunk.Sequence, state.last)
	}
	if state.last == 0 {
		state.result.FirstChunk = time.Since(state.begun)
	}
	state.last = chunk.Sequence
	state.text.WriteString(chunk.Text)
	return nil
}

func (state *streamState) finish(data []byte) error {
	var body struct {
		FinishReason string `json:"finish_reason"`
		Turn         uint32 `json:"turn"`
		LastSequence uint64 `json:"last_sequence"`
		Usage        Usage  `json:"usage"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return eris.Wrap(err, "read final event")
	}
	if body.LastSequence != state.last {
		return eris.Errorf("the answer has %d chunks, %d have come", body.LastSequence, state.last)
	}
	state.result.Output = state.text.String()
	state.result.FinishReason = body.FinishReason
	state.result.Usage = body.Usage
	state.result.Turn = body.Turn
	state.result.Chunks = int(state.last)
	state.result.Duration = time.Since(state.begun)
	return nil
}
