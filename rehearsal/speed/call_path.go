// Package speed measures the latency that gateway and scheduler add to a call.
// It calls the same stand-in engine directly and through magpielug in turn, with
// the same number of calls in flight, and compares the token arrival times. It
// also measures the CPU, I/O and memory use of gateways and schedulers.
package speed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/caller"
)

const (
	chatPath        = "/v1/chat/completions"
	headerRequestID = "X-Magpielug-Request-Id"
	// prompt has the stand-in engine generate the given number of tokens.
	prompt = "measure [[tokens=%d]]"
)

// CallPath is a path by which calls reach the engine.
type CallPath struct {
	Name string
	// prepare builds the request of one call; its duration is not measured.
	prepare func(ctx context.Context, number uint64, tokens int) (preparedCall, error)
	// tokenMarker occurs in every response line that carries a token, and in no other.
	tokenMarker []byte
	// endMarker occurs in the last line of a complete response.
	endMarker []byte
}

// preparedCall is a call that is ready to be sent.
type preparedCall struct {
	request *http.Request
	// cleanup runs after the call; it may be nil.
	cleanup func()
	// generation is the call's request at the engine, used to join its stream there;
	// nil if the stream cannot be joined.
	generation *wire.GenerateRequest
}

type roundRobin struct {
	addresses []string
	counter   atomic.Uint64
}

func (targets *roundRobin) next() string {
	return targets.addresses[targets.counter.Add(1)%uint64(len(targets.addresses))]
}

func post(ctx context.Context, url, key string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(encoded))
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return request, nil
}

// fenceTTL is how long a fence epoch read from the engine is reused.
const fenceTTL = time.Second

// fenceReader caches the highest fence epoch that the engine has seen. Direct calls
// use exactly that epoch: the engine refuses a lower one, and after a higher one it
// would refuse the schedulers.
type fenceReader struct {
	address string
	client  *httpadapter.Engine
	mutex   sync.Mutex
	epoch   uint64
	readAt  time.Time
}

func (fence *fenceReader) current(ctx context.Context) (wire.Fence, error) {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	if time.Since(fence.readAt) >= fenceTTL {
		report, err := fence.client.Report(ctx, fence.address)
		if err != nil {
			return wire.Fence{}, err
		}
		fence.epoch = report.FenceEpoch
		fence.readAt = time.Now()
	}
	return wire.Fence{Epoch: fence.epoch}, nil
}

// Direct calls the engine without magpielug. Its calls belong to no program,
// because magpielug would have the engine release an unknown program's cache.
func Direct(adapters *httpadapter.Client, engine, model string) CallPath {
	fences := &fenceReader{address: engine, client: httpadapter.NewEngine(adapters)}
	return CallPath{
		Name:        "direct",
		tokenMarker: []byte(`"text":"`),
		endMarker:   []byte(`"finish":"`),
		prepare: func(ctx context.Context, number uint64, tokens int) (preparedCall, error) {
			current, err := fences.current(ctx)
			if err != nil {
				return preparedCall{}, err
			}
			generation := wire.GenerateRequest{
				RequestID: fmt.Sprintf("direct-%d", number),
				Model:     model,
				Prompt:    []string{fmt.Sprintf(prompt, tokens)},
				MaxTokens: tokens,
				Fence:     current,
			}
			request, err := post(ctx, engine+wire.PathGenerate, "", generation)
			return preparedCall{request: request, generation: &generation}, err
		},
	}
}

// chatBody is an OpenAI chat completion request.
type chatBody struct {
	Model     string           `json:"model"`
	Messages  []caller.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// Chat sends OpenAI chat completion requests to the gateways in turn. Each request
// is a program of its own.
func Chat(gateways []string, key, model string) CallPath {
	targets := &roundRobin{addresses: gateways}
	return CallPath{
		Name:        "chat completion",
		tokenMarker: []byte(`"content":`),
		endMarker:   []byte("[DONE]"),
		prepare: func(ctx context.Context, _ uint64, tokens int) (preparedCall, error) {
			request, err := post(ctx, targets.next()+chatPath, key, chatBody{
				Model:     model,
				Messages:  messages(tokens),
				MaxTokens: tokens,
				Stream:    true,
			})
			return preparedCall{request: request}, err
		},
	}
}

// Program sends the first call of a program that was created beforehand.
func Program(client *http.Client, gateways []string, key, kind, model string) CallPath {
	targets := &roundRobin{addresses: gateways}
	user := caller.New(client, key)
	return CallPath{
		Name:        "program call",
		tokenMarker: []byte(`"text":`),
		endMarker:   []byte(`"last_sequence"`),
		prepare: func(ctx context.Context, number uint64, tokens int) (preparedCall, error) {
			gateway := targets.next()
			program, err := user.CreateProgram(ctx, gateway, "", kind, "")
			if err != nil {
				return preparedCall{}, err
			}
			request, err := post(ctx, gateway+"/v1/programs/"+program.ID+"/calls", key, caller.Call{
				Kind:       "model",
				Target:     model,
				Messages:   messages(tokens),
				MaxTokens:  &tokens,
				Repeatable: true,
				Stream:     true,
			})
			if err != nil {
				return preparedCall{}, err
			}
			name := fmt.Sprintf("call-%d", number)
			request.Header.Set(headerRequestID, name)
			return preparedCall{
				request:    request,
				cleanup:    func() { _ = user.EndProgram(context.WithoutCancel(ctx), gateway, program.ID) },
				generation: generationOf(program.ID, name, model, tokens),
			}, nil
		},
	}
}

// generationOf returns the request that a scheduler sends to the engine for a
// program's first call.
func generationOf(program, requestID, model string, tokens int) *wire.GenerateRequest {
	return &wire.GenerateRequest{
		RequestID: program + "/" + requestID,
		Program:   program,
		Model:     model,
		Prompt:    []string{"\nuser: " + fmt.Sprintf(prompt, tokens)},
		MaxTokens: tokens,
	}
}

func messages(tokens int) []caller.Message {
	return []caller.Message{{Role: "user", Content: fmt.Sprintf(prompt, tokens)}}
}
