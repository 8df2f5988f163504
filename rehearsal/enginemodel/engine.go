package enginemodel

import "time"

// FinishStop is the FinishReason of a request that produced all its tokens.
const FinishStop = "stop"

// Output is the result of one step for one request.
type Output struct {
	RequestID string
	// Tokens is the number of tokens that the step produced, at least 1.
	Tokens int
	// First is set on the request's first token, Finished on its last.
	First    bool
	Finished bool
	// FinishReason is empty until Finished.
	FinishReason string
	// PromptTokens, CachedTokens and OutputTokens are the request's totals so
	// far.
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Engine models one engine. The zero value is not usable; see New.
type Engine struct {
	config      Config
	cache       *blockCache
	requests    map[string]*sequence
	waiting     waitingQueue
	running     []*sequence
	lastOrder   uint64
	stepPlanned bool
	stepEnds    time.Duration
	// stepDuration is the duration of the latest planned step.
	stepDuration time.Duration
	outputs      []Output
	totals       totals
}

// totals are the engine's counters since New.
type totals struct {
	steps        uint64
	preemptions  uint64
	promptTokens uint64
	cachedTokens uint64
	outputTokens uint64
}

// New returns an idle engine with an empty cache. It panics if config is
// invalid; see Config.Validate.
func New(config Config) *Engine {
	if err := config.Validate(); err != nil {
		panic(err)
	}
	return &Engine{
		config:   config,
		cache:    newBlockCache(config.Blocks),
		requests: make(map[string]*sequence),
	}
}

// Submit adds a request to the waiting queue. It does nothing if a request with
// the same ID is waiting or running. The IDs of finished requests are not kept:
// a finished request that is submitted again runs again.
func (engine *Engine) Submit(now time.Duration, request Request) error {
	if _, found := engine.requests[request.ID]; found {
		return nil
	}
	if err := request.validate(engine.config); err != nil {
		return err
	}
	engine.lastOrder++
	seq := &sequence{request: request, order: engine.lastOrder, heapIndex: -1}
	engine.requests[request.ID] = seq
	engine.waiting.add(seq)
	return nil
}

// Cancel removes a waiting or running request and returns false if there is
// none with that ID. The current step's work for it is lost; computed blocks
// stay cached.
func (engine *Engine) Cancel(now time.Duration, id string) bool {
	seq, found := engine.requests[id]
	if !found {
		return false
	}
	delete(engine.requests, id)
	if seq.heapIndex >= 0 {
		engine.waiting.remove(seq)
		return true
	}
	engine.releaseBlocks(now, seq)
	engine.removeRunning(seq)
	return true
}

// Release frees the idle blocks that program owns and returns their number.
func (engine *Engine) Release(now time.Duration, program string) int {
	return engine.cache.freeIdleOf(now, program)
}

// ReleaseAll frees all idle blocks, as after a change of the model's weights,
// and returns their number.
func (engine *Engine) ReleaseAll(now time.Duration) int {
	freed := 0
	for engine.cache.idleHead != noBlock {
		engine.cache.freeBlock(now, engine.cache.idleHead)
		freed++
	}
	return freed
}

// NextStep returns the end of the current step. If no step is planned, it
// starts one at now with all requests submitted so far; busy is false if there
// are none.
func (engine *Engine) NextStep(now time.Duration) (at time.Duration, busy bool) {
	if !engine.stepPlanned {
		engine.plan(now)
	}
	return engine.stepEnds, engine.stepPlanned
}

// Step completes the current step and starts the next one at now. It does
// nothing before the time that NextStep returns. The returned outputs are valid
// until the next call.
func (engine *Engine) Step(now time.Duration) []Output {
	if _, busy := engine.NextStep(now); !busy || now < engine.stepEnds {
		return nil
	}
	engine.totals.steps++
	engine.outputs = engine.outputs[:0]
	kept := engine.running[:0]
	for _, seq := range engine.running {
		engine.compute(seq)
		if seq.producedTokens == seq.request.OutputTokens {
			engine.finish(now, seq)
			continue
		}
		kept = append(kept, seq)
	}
	clear(engine.running[len(kept):])
	engine.running = kept
	engine.stepPlanned = false
	engine.plan(now)
	return engine.outputs
}

// compute applies the planned tokens of one sequence.
func (engine *Engine) compute(seq *sequence) {
	if seq.plannedTokens == 0 {
		return
	}
	seq.computedTokens += seq.plannedTokens
	seq.plannedTokens = 0
	engine.registerBlocks(seq)
	if seq.computedTokens < seq.targetTokens() {
		return
	}
	seq.producedTokens++
	engine.totals.outputTokens++
	output := Output{
		RequestID:    seq.request.ID,
		Tokens:       1,
		First:        seq.producedTokens == 1,
		PromptTokens: seq.request.PromptTokens,
		CachedTokens: seq.cachedTokens,
		OutputTokens: seq.producedTokens,
	}
	if seq.producedTokens == seq.request.OutputTokens {
		output.Finished = true
		output.FinishReason = FinishStop
	}
	engine.outputs = append(engine.outputs, output)
}

// registerBlocks registers the hashes of the sequence's newly filled blocks.
func (engine *Engine) registerBlocks(seq *sequence) {
	for (seq.registeredBlocks+1)*engine.config.BlockTokens <= seq.computedTokens {
		hash, reusable := seq.blockHash(seq.registeredBlocks, seq.lastHash)
		if reusable {
			engine.cache.registerHash(seq.blocks[seq.registeredBlocks], hash)
			seq.lastHash = hash
		}
		seq.registeredBlocks++
	}
}

func (engine *Engine) finish(now time.Duration, seq *sequence) {
	delete(engine.requests, seq.request.ID)
	engine.releaseBlocks(now, seq)
}

// releaseBlocks removes the sequence's references, last block first, so that
// the beginning of a prefix is evicted last.
func (engine *Engine) releaseBlocks(now time.Duration, seq *sequence) {
	for position := len(seq.blocks) - 1; position >= 0; position-- {
		engine.cache.removeReference(now, seq.blocks[position])
	}
	seq.blocks = seq.blocks[:0]
	seq.registeredBlocks = 0
	seq.lastHash = 0
	seq.computedTokens = 0
	seq.plannedTokens = 0
}

func (engine *Engine) removeRunning(seq *sequence) {
	for position, other := range engine.running {
		if other == seq {
			engine.running = append(engine.running[:position], engine.running[position+1:]...)
			return
		}
	}
}
