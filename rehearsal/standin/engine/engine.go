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

// maxStepLag is how far the steps may fall behind real time before the engine skips the
// lost time instead of catching up.
const maxStepLag = 100 * time.Millisecond

// Engine is one stand-in engine.
type Engine struct {
	config  Config
	faults  *fault.Injector
	started time.Time
	closed  context.Context
	close   context.CancelFunc
	// wake signals new work to runSteps.
	wake chan struct{}

	// lock guards the fields below.
	lock        sync.Mutex
	model       *enginemodel.Engine
	generations map[string]*generation
	finished    []*generation
	// rejected holds ids that must not run: CodeExpired for those that ran and whose
	// output was evicted, CodeCancelled for those cancelled before they arrived.
	rejected     *boundedSet
	counts       counts
	epoch        uint64
	weights      weights
	role         string
	leavingSince time.Time
	telemetry    telemetry
}

// counts are served by the debug endpoints.
type counts struct {
	runs map[string]int
	// lateRequests counts requests that arrived after LeaveGrace.
	lateRequests int
}

// New starts an engine.
func New(config Config) *Engine {
	config = config.withDefaults()
	closed, cancel := context.WithCancel(context.Background())
	engine := &Engine{
		config:      config,
		faults:      fault.NewInjector(),
		started:     time.Now(),
		closed:      closed,
		close:       cancel,
		wake:        make(chan struct{}, 1),
		model:       enginemodel.New(config.Batching),
		generations: make(map[string]*generation),
		rejected:    newBoundedSet(config.RetainedOutputs),
		counts:      counts{runs: make(map[string]int)},
		weights:     weights{model: config.Model, version: config.Version, adapters: slices.Clone(config.Adapters)},
		role:        config.Role,
		telemetry:   newTelemetry(config),
	}
	engine.sample()
	go engine.runSteps()
	go engine.runSampling()
	return engine
}

// Close stops the engine; open streams end without a finish chunk.
func (engine *Engine) Close() { engine.close() }

// Faults returns the engine's fault injector.
func (engine *Engine) Faults() *fault.Injector { return engine.faults }

// Handler serves the engine's HTTP interface.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGenerate, engine.serveGenerate)
	engine.routeCommands(mux)
	engine.routeQueries(mux)
	return engine.faults.Handler(mux, wire.PathGenerate)
}

// now is the time on the model's clock.
func (engine *Engine) now() time.Duration { return time.Since(engine.started) }

// runSteps steps the model in real time until Close.
func (engine *Engine) runSteps() {
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

// step completes the step due at the given time and publishes its tokens to the streams.
func (engine *Engine) step(at time.Duration) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	now := engine.now()
	if now-at < maxStepLag {
		now = at
	}
	for _, output := range engine.model.Step(now) {
		generation := engine.generations[output.RequestID]
		generation.produced.Store(int64(output.OutputTokens))
		if !output.Finished {
			generation.notify()
			continue
		}
		engine.finish(generation, wire.Chunk{
			Finish:       generation.finishReason,
			PromptTokens: output.PromptTokens,
			CachedTokens: output.CachedTokens,
			OutputTokens: output.OutputTokens,
		})
	}
}

// finish completes a generation and evicts outputs past the retention limits.
func (engine *Engine) finish(generation *generation, last wire.Chunk) {
	now := time.Now()
	generation.complete(now, last)
	engine.finished = append(engine.finished, generation)
	for len(engine.finished) > 0 {
		oldest := engine.finished[0]
		retained := now.Sub(oldest.finishedAt) < engine.config.Retention
		if retained && len(engine.finished) <= engine.config.RetainedOutputs {
			return
		}
		engine.finished = engine.finished[1:]
		delete(engine.generations, oldest.id)
		engine.rejected.add(oldest.id, wire.CodeExpired)
	}
}

// startOrJoin starts the request or joins the generation with its id. Joining has no
// effect on the engine and is not fenced.
func (engine *Engine) startOrJoin(request wire.GenerateRequest) (*generation, error) {
	seed := outputSeed(request.Program, request.RequestID, request.Prompt)
	engine.lock.Lock()
	defer engine.lock.Unlock()
	existing, found := engine.generations[request.RequestID]
	if found {
		if existing.digest != seed {
			return nil, reply.NotRun(http.StatusConflict, wire.CodeMismatch, "the request id was used for another request")
		}
		return existing, nil
	}
	if request.AttachOnly {
		return nil, engine.rejectAttach(request.RequestID)
	}
	if err := engine.checkAdmission(request); err != nil {
		return nil, err
	}
	return engine.submit(request, seed)
}

// rejectAttach rejects an attach to an unknown generation, and any later start with the
// same id: a client attaches only if it sent the request before.
func (engine *Engine) rejectAttach(requestID string) error {
	if engine.rejected.reason(requestID) == wire.CodeExpired {
		return expiredError()
	}
	engine.rejected.add(requestID, wire.CodeCancelled)
	return reply.NotRun(http.StatusNotFound, wire.CodeNotFound, "no such generation to attach to")
}

func expiredError() error {
	return &reply.ErrorResponse{
		Status: http.StatusGone,
		Body:   wire.Error{Code: wire.CodeExpired, Message: "the request ran; its output is no longer kept"},
	}
}

// checkAdmission returns an error if a new request must not run.
func (engine *Engine) checkAdmission(request wire.GenerateRequest) error {
	switch engine.rejected.reason(request.RequestID) {
	case wire.CodeExpired:
		return expiredError()
	case wire.CodeCancelled:
		return reply.NotRun(http.StatusConflict, wire.CodeCancelled, "the request was cancelled before it came")
	}
	if err := engine.checkFence(request.Fence); err != nil {
		return err
	}
	if !engine.leavingSince.IsZero() && time.Since(engine.leavingSince) > engine.config.LeaveGrace {
		engine.counts.lateRequests++
		return reply.NotRun(http.StatusServiceUnavailable, wire.CodeLeaving, "the engine is leaving")
	}
	if err := engine.weights.checkServes(request.Model, request.Adapter); err != nil {
		return err
	}
	if _, waiting := engine.model.Load(); waiting >= engine.config.WaitingLimit {
		return reply.NotRun(http.StatusTooManyRequests, wire.CodeOverloaded, "the engine's queue is full")
	}
	return nil
}

// submit passes an admitted request to the model.
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
	generation := &generation{id: request.RequestID, seed: seed, digest: seed, finishReason: finish}
	engine.generations[request.RequestID] = generation
	engine.counts.runs[request.RequestID]++
	engine.wakeStepper()
	return generation, nil
}

func (engine *Engine) wakeStepper() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// checkFence rejects epochs lower than the highest one seen.
func (engine *Engine) checkFence(fence wire.Fence) error {
	if fence.Epoch < engine.epoch {
		return reply.NotRun(http.StatusConflict, wire.CodeStaleFence, "a higher fence was seen")
	}
	engine.epoch = fence.Epoch
	return nil
}
