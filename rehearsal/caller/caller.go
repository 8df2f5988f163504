// Package caller is a client of the HTTP API of magpielug's gateways.
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
	maxEventLineBytes    = 4 << 20
	eventChunk           = "chunk"
	eventFinished        = "finished"
	eventError           = "error"
)

// Caller sends requests with one tier's API key. It is safe for concurrent use.
type Caller struct {
	client *http.Client
	key    string
}

// New returns a Caller that authenticates with key.
func New(client *http.Client, key string) *Caller {
	return &Caller{client: client, key: key}
}

// ErrorResponse is an error response of a gateway.
type ErrorResponse struct {
	Status       int    `json:"-"`
	Code         uint32 `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	RetryAfterMs uint32 `json:"retry_after_ms"`
}

// Error implements error.
func (failure *ErrorResponse) Error() string {
	return fmt.Sprintf("%d %s: %s", failure.Code, failure.Name, failure.Message)
}

// RetryAfter is how long to wait before a retry; 0 if the response names no delay.
func (failure *ErrorResponse) RetryAfter() time.Duration {
	return time.Duration(failure.RetryAfterMs) * time.Millisecond
}

// Message is a message of a call's prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Call is the request body of a program's call.
type Call struct {
	Kind       string    `json:"kind"`
	Target     string    `json:"target"`
	Messages   []Message `json:"messages,omitempty"`
	MaxTokens  *int      `json:"max_tokens,omitempty"`
	Input      *string   `json:"input,omitempty"`
	Repeatable bool      `json:"repeatable"`
	Stream     bool      `json:"stream"`
}

// Usage is the token usage and cost of a finished call.
type Usage struct {
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	OutputTokens int    `json:"output_tokens"`
	CostMicros   uint64 `json:"cost_micros"`
}

// Result is the complete response to a call.
type Result struct {
	Output       string
	FinishReason string
	Usage        Usage
	Turn         uint32
	// TimeToFirstChunk is the time from the request to the first chunk, Chunks the
	// number of chunks.
	TimeToFirstChunk time.Duration
	Chunks           int
	Duration         time.Duration
}

// Program is a program's state as the gateway reports it.
type Program struct {
	ID          string `json:"id"`
	State       string `json:"state"`
	Turns       uint32 `json:"turns"`
	SpentMicros uint64 `json:"spent_micros"`
	CapMicros   uint64 `json:"cap_micros"`
}

// CreateProgram creates a program, as a sub-agent of parent unless parent is
// empty. It is idempotent by requestID.
func (caller *Caller) CreateProgram(ctx context.Context, gateway, requestID, kind, parent string) (Program, error) {
	var made Program
	body := map[string]string{"kind": kind}
	if parent != "" {
		body["parent"] = parent
	}
	err := caller.requestJSON(ctx, http.MethodPost, gateway+"/v1/programs", requestID, body, &made)
	return made, err
}

// EndProgram ends a program. The request ID is derived from the program, so that
// the request can be retried.
func (caller *Caller) EndProgram(ctx context.Context, gateway, program string) error {
	return caller.requestJSON(ctx, http.MethodPost, gateway+"/v1/programs/"+program+"/end", "end-"+program, nil, nil)
}

// GetProgram returns a program's decoder.
func (caller *Caller) GetProgram(ctx context.Context, gateway, program string) (Program, error) {
	var found Program
	err := caller.requestJSON(ctx, http.MethodGet, gateway+"/v1/programs/"+program, "", nil, &found)
	return found, err
}

// requestJSON sends a request and decodes the JSON response into target,
// or discards the response if target is nil.
func (caller *Caller) requestJSON(ctx context.Context, method, url, requestID string, body, target any) error {
	response, err := caller.send(ctx, method, url, requestID, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if target == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return eris.Wrap(err, "read response")
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(target), "decode response")
}

// send sends a request and converts an error response to an error.
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
		return nil, eris.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+caller.key)
	request.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		request.Header.Set(headerRequestID, requestID)
		// With this header, net/http retries a request that failed because the
		// server closed the idle connection.
		request.Header.Set(headerIdempotencyKey, requestID)
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer response.Body.Close()
		return nil, decodeFailure(response)
	}
	return response, nil
}

func decodeFailure(response *http.Response) error {
	var body struct {
		Error ErrorResponse `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return eris.Wrapf(err, "decode error body of response %s", response.Status)
	}
	body.Error.Status = response.StatusCode
	return &body.Error
}

// StreamCall sends a streamed call and returns its complete response. After an error that
// is not an error response of the gateway, the outcome of the call is unknown.
func (caller *Caller) StreamCall(ctx context.Context, gateway, program, requestID string, call Call) (Result, error) {
	call.Stream = true
	started := time.Now()
	response, err := caller.send(ctx, http.MethodPost, gateway+"/v1/programs/"+program+"/calls", requestID, call)
	if err != nil {
		return Result{}, err
	}
	defer response.Body.Close()
	return readStream(response.Body, started)
}

// streamDecoder assembles a Result from a stream of server-sent events.
type streamDecoder struct {
	started      time.Time
	text         strings.Builder
	lastSequence uint64
	result       Result
}

func readStream(body io.Reader, started time.Time) (Result, error) {
	decoder := &streamDecoder{started: started}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventLineBytes)
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
		finished, err := decoder.handleEvent(event, []byte(data))
		if finished || err != nil {
			return decoder.result, err
		}
	}
	if err := scanner.Err(); err != nil {
		return decoder.result, eris.Wrap(err, "read stream")
	}
	return decoder.result, eris.New("stream ended without a final event")
}

// handleEvent processes one event and reports whether it is the final one.
func (decoder *streamDecoder) handleEvent(event string, data []byte) (bool, error) {
	switch event {
	case eventChunk:
		return false, decoder.handleChunk(data)
	case eventFinished:
		return true, decoder.handleFinished(data)
	case eventError:
		var body struct {
			Error ErrorResponse `json:"error"`
		}
		if err := json.Unmarshal(data, &body); err != nil {
			return false, eris.Wrap(err, "decode error event")
		}
		return true, &body.Error
	}
	return false, nil
}

func (decoder *streamDecoder) handleChunk(data []byte) error {
	var chunk struct {
		Sequence uint64 `json:"sequence"`
		Text     string `json:"text"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return eris.Wrap(err, "decode chunk")
	}
	if chunk.Sequence != decoder.lastSequence+1 {
		return eris.Errorf("chunk out of sequence: got %d after %d", chunk.Sequence, decoder.lastSequence)
	}
	if decoder.lastSequence == 0 {
		decoder.result.TimeToFirstChunk = time.Since(decoder.started)
	}
	decoder.lastSequence = chunk.Sequence
	decoder.text.WriteString(chunk.Text)
	return nil
}

func (decoder *streamDecoder) handleFinished(data []byte) error {
	var body struct {
		FinishReason string `json:"finish_reason"`
		Turn         uint32 `json:"turn"`
		LastSequence uint64 `json:"last_sequence"`
		Usage        Usage  `json:"usage"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return eris.Wrap(err, "decode final event")
	}
	if body.LastSequence != decoder.lastSequence {
		return eris.Errorf("stream incomplete: final event names %d chunks, received %d", body.LastSequence, decoder.lastSequence)
	}
	decoder.result.Output = decoder.text.String()
	decoder.result.FinishReason = body.FinishReason
	decoder.result.Usage = body.Usage
	decoder.result.Turn = body.Turn
	decoder.result.Chunks = int(decoder.lastSequence)
	decoder.result.Duration = time.Since(decoder.started)
	return nil
}
