package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// maxPace is how far the steps may fall behind the wall clock before the
// engine gives the lost time up instead of catching up.
const maxPace = 100 * time.Millisecond

// Engine is one stand-in engine. Close ends it.
type Engine struct {
	config Config
	faults *fault.Injector
	begun  time.Time
	closed context.Context
	close  context.CancelFunc
	// wake tells the stepping goroutine of new work.
	wake chan struct{}

	// lock guards everything below.
	lock        sync.Mutex
	model       *enginemodel.Engine
	generations map[string]*generation
	finished    []*generation
	// barred ids never run (again): value CodeExpired ran and was forgotten,
	// CodeCancelled was cancelled before it came.
	barred   *boundedSet
	counts   counts
	epoch    uint64
	weights  weights
	role     string
	leaving  time.Time
	observed observed
}

// counts are read by checks at the debug endpoints.
type counts struct {
	runs map[string]int
	// late counts requests that came after the leaving engine's grace.
	late int
}

// New starts a stand-in engine.
func New(config Config) *Engine {
	config = config.withDefaults()
	closed, closeAll := context.WithCancel(context.Background())
	engine := &Engine{
		config:      config,
		faults:      fault.NewInjector(),
		begun:       time.Now(),
		closed:      closed,
		close:       closeAll,
		wake:        make(chan struct{}, 1),
		model:       enginemodel.New(config.Batching),
		generations: make(map[string]*generation),
		barred:      newBoundedSet(config.RetainedOutputs),
		counts:      counts{runs: make(map[string]int)},
		weights:     weights{model: config.Model, version: config.Version, adapters: slices.Clone(config.Adapters)},
		role:        config.Role,
		observed:    newObserved(config),
	}
	engine.observe()
	go engine.run()
	go engine.watch()
	return engine
}

// Close stops generating; open streams end without a finish.
func (engine *Engine) Close() { engine.close() }

// Faults returns the engine's fault injector.
func (engine *Engine) Faults() *fault.Injector { return engine.faults }

// Handler serves the engine's HTTP interface.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGenerate, engine.serveGenerate)
	engine.routeOrders(mux)
	engine.routeQueries(mux)
	return engine.faults.Handler(mux, wire.PathGenerate)
}

// now is the time on the model's clock.
func (engine *Engine) now() time.Duration { return time.Since(engine.begun) }

// run steps the model at the pace of the wall clock until Close.
func (engine *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		engine.lock.Lock()
		at, busy := engine.model.NextStep(engine.now())
		engine.lock.Unlock()
		if !busy {
			select {
			case <-engine.wake:
				continue
			case <-engine.closed.Done():
				return
			}
		}
		timer.Reset(at - engine.now())
		select {
		case <-timer.C:
			engine.step(at)
		case <-engine.closed.Done():
			return
		}
	}
}

// step ends the step due at the given time and hands its tokens to the streams.
func (engine *Engine) step(at time.Duration) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	now := engine.now()
	if now-at < maxPace {
		now = at
	}
	for _, output := range engine.model.Step(now) {
		stream := engine.generations[output.RequestID]
		stream.produced.Store(int64(output.OutputTokens))
		if !output.Finished {
			stream.notify()
			continue
		}
		engine.finish(stream, wire.Chunk{
			Finish:       stream.wanted,
			PromptTokens: output.PromptTokens,
			CachedTokens: output.CachedTokens,
			OutputTokens: output.OutputTokens,
		})
	}
}

// finish ends a generation and forgets outputs that were kept long enough.
func (engine *Engine) finish(stream *generation, last wire.Chunk) {
	now := time.Now()
	stream.end(now, last)
	engine.finished = append(engine.finished, stream)
	for len(engine.finished) > 0 {
		oldest := engine.finished[0]
		kept := now.Sub(oldest.finishedAt) < engine.config.Retention
		if kept && len(engine.finished) <= engine.config.RetainedOutputs {
			return
		}
		engine.finished = engine.finished[1:]
		delete(engine.generations, oldest.id)
		engine.barred.add(oldest.id, wire.CodeExpired)
	}
}

// begin starts the request or joins the generation that its id already has.
// Joining is not fenced: it has no effect.
func (engine *Engine) begin(request wire.GenerateRequest) (*generation, error) {
	seed := outputSeed(request.Program, request.RequestID, request.Prompt)
	engine.lock.Lock()
	defer engine.lock.Unlock()
	known, found := engine.generations[request.RequestID]
	if found {
		if known.digest != seed {
			return nil, reply.NotRun(http.StatusConflict, wire.CodeMismatch, "the request id was used for another request")
		}
		return known, nil
	}
	if request.AttachOnly {
		return nil, engine.refuseAttach(request.RequestID)
	}
	if err := engine.admit(request); err != nil {
		return nil, err
	}
	return engine.submit(request, seed)
}

// refuseAttach refuses to join a generation that the engine does not know, and
// any later start of it: who attaches takes the request for sent before.
func (engine *Engine) refuseAttach(requestID string) error {
	if engine.barred.reason(requestID) == wire.CodeExpired {
		return expired()
	}
	engine.barred.add(requestID, wire.CodeCancelled)
	return reply.NotRun(http.StatusNotFound, wire.CodeNotFound, "no such generation to attach to")
}

func expired() error {
	return &reply.ErrorResponse{
		Status: http.StatusGone,
		Body:   wire.Error{Code: wire.CodeExpired, Message: "the request ran; its output is no longer kept"},
	}
}

// admit tells whether a new request may run.
func (engine *Engine) admit(request wire.GenerateRequest) error {
	switch engine.barred.reason(request.RequestID) {
	case wire.CodeExpired:
		return expired()
	case wire.CodeCancelled:
		return reply.NotRun(http.StatusConflict, wire.CodeCancelled, "the request was cancelled before it came")
	}
	if err := engine.checkFence(request.Fence); err != nil {
		return err
	}
	if !engine.leaving.IsZero() && time.Since(engine.leaving) > engine.config.LeaveGrace {
		engine.counts.late++
		return reply.NotRun(http.StatusServiceUnavailable, wire.CodeLeaving, "the engine is leaving")
	}
	if err := engine.weights.serves(request.Model, request.Adapter); err != nil {
		return err
	}
	if _, waiting := engine.model.Load(); waiting >= engine.config.WaitingLimit {
		return reply.NotRun(http.StatusTooManyRequests, wire.CodeOverloaded, "the engine's queue is full")
	}
	return nil
}

// submit hands an admitted request to the model.
func (engine *Engine) submit(request wire.GenerateRequest, seed uint64) (*generation, error) {
	tokens, finish := outputLength(seed, request.Prompt, request.MaxTokens)
	promptTokens := countTokens(request.Prompt)
	blockTokens := engine.config.Batching.BlockTokens
	output := outputText(seed, 0, tokens)
	hashes := blockHashes(append(slices.Clone(request.Prompt), output), blockTokens)
	promptBlocks := promptTokens / blockTokens
	err := engine.model.Submit(engine.now(), enginemodel.Request{
		ID:           request.RequestID,
		Program:      request.Program,
		Prefix:       hashes[:promptBlocks],
		PromptTokens: promptTokens,
		OutputTokens: tokens,
		Priority:     request.Priority,
		OutputBlocks: hashes[promptBlocks:],
	})
	if err != nil {
		return nil, reply.BadRequest(err.Error())
	}
	stream := &generation{id: request.RequestID, seed: seed, digest: seed, wanted: finish}
	engine.generations[request.RequestID] = stream
	engine.counts.runs[request.RequestID]++
	engine.signal()
	return stream, nil
}

// signal wakes the stepping goroutine.
func (engine *Engine) signal() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// checkFence refuses orders under an older lease than the newest seen.
func (engine *Engine) checkFence(order wire.Fence) error {
	if order.Epoch < engine.epoch {
		return reply.NotRun(http.StatusConflict, wire.CodeStaleFence, "a higher fence was seen")
	}
	engine.epoch = order.Epoch
	return nil
}
