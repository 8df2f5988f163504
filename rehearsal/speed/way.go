// Package speed measures what gateway and scheduler add to a call: the same
// stand-in engine is called directly and through magpielug in turn, with the
// same number of calls in flight, and the times of the tokens are compared.
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
	// prompt asks the stand-in engine for an output of a given length.
	prompt = "measure [[tokens=%d]]"
)

// Way is one way of bringing a call to the engine.
type Way struct {
	Name string
	// begin prepares one call, outside of the measured time.
	begin func(ctx context.Context, number uint64, tokens int) (attempt, error)
	// token is in each line of the answer that carries a token, and in no other.
	token []byte
	// end is in the last line of a whole answer.
	end []byte
}

// attempt is one call, prepared.
type attempt struct {
	request *http.Request
	// done, where set, is called after the call.
	done func()
	// generation, where set, names the call's generation at the engine, which can
	// be joined there to see when each token was sent.
	generation *wire.GenerateRequest
}

// addresses hands out addresses in turn.
type addresses struct {
	list []string
	next atomic.Uint64
}

func (addresses *addresses) take() string {
	return addresses.list[addresses.next.Add(1)%uint64(len(addresses.list))]
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

// fenceAge is how long a fence read from the engine is used.
const fenceAge = time.Second

// fence follows the highest fence that the engine has seen: with a lower one a
// call would be refused, and with a higher one the keeper would be.
type fence struct {
	address string
	engines *httpadapter.Engine
	mutex   sync.Mutex
	epoch   uint64
	readAt  time.Time
}

func (fence *fence) current(ctx context.Context) (wire.Fence, error) {
	fence.mutex.Lock()
	defer fence.mutex.Unlock()
	if time.Since(fence.readAt) >= fenceAge {
		report, err := fence.engines.Report(ctx, fence.address)
		if err != nil {
			return wire.Fence{}, err
		}
		fence.epoch = report.FenceEpoch
		fence.readAt = time.Now()
	}
	return wire.Fence{Epoch: fence.epoch}, nil
}

// Direct calls the engine itself. Its calls belong to no program: the keeper
// would have their cache released.
func Direct(adapters *httpadapter.Client, engine, model string) Way {
	seen := &fence{address: engine, engines: httpadapter.NewEngine(adapters)}
	return Way{
		Name:  "direct",
		token: []byte(`"text":"`),
		end:   []byte(`"finish":"`),
		begin: func(ctx context.Context, number uint64, tokens int) (attempt, error) {
			order, err := seen.current(ctx)
			if err != nil {
				return attempt{}, err
			}
			generation := wire.GenerateRequest{
				RequestID: fmt.Sprintf("direct-%d", number),
				Model:     model,
				Prompt:    []string{fmt.Sprintf(prompt, tokens)},
				MaxTokens: tokens,
				Fence:     order,
			}
			request, err := post(ctx, engine+wire.PathGenerate, "", generation)
			return attempt{request: request, generation: &generation}, err
		},
	}
}

// chatBody is OpenAI's chat completion request.
type chatBody struct {
	Model     string           `json:"model"`
	Messages  []caller.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// Chat makes single calls in OpenAI's shape; each makes a program of its own.
func Chat(gateways []string, key, model string) Way {
	turns := &addresses{list: gateways}
	return Way{
		Name:  "chat completion",
		token: []byte(`"content":`),
		end:   []byte("[DONE]"),
		begin: func(ctx context.Context, _ uint64, tokens int) (attempt, error) {
			request, err := post(ctx, turns.take()+chatPath, key, chatBody{
				Model:     model,
				Messages:  messages(tokens),
				MaxTokens: tokens,
				Stream:    true,
			})
			return attempt{request: request}, err
		},
	}
}

// Program makes the first call of a program that was created before.
func Program(client *http.Client, gateways []string, key, kind, model string) Way {
	turns := &addresses{list: gateways}
	user := caller.New(client, key)
	return Way{
		Name:  "program call",
		token: []byte(`"text":`),
		end:   []byte(`"last_sequence"`),
		begin: func(ctx context.Context, number uint64, tokens int) (attempt, error) {
			gateway := turns.take()
			made, err := user.CreateProgram(ctx, gateway, "", kind, "")
			if err != nil {
				return attempt{}, err
			}
			request, err := post(ctx, gateway+"/v1/programs/"+made.ID+"/calls", key, caller.Call{
				Kind:       "model",
				Target:     model,
				Messages:   messages(tokens),
				MaxTokens:  &tokens,
				Repeatable: true,
				Stream:     true,
			})
			if err != nil {
				return attempt{}, err
			}
			name := fmt.Sprintf("call-%d", number)
			request.Header.Set(headerRequestID, name)
			return attempt{
				request:    request,
				done:       func() { _ = user.EndProgram(context.WithoutCancel(ctx), gateway, made.ID) },
				generation: generationOf(made.ID, name, model, tokens),
			}, nil
		},
	}
}

// generationOf is the request that a scheduler makes for a program's first call.
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
