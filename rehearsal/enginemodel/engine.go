package enginemodel

import "time"

// FinishStop is the FinishReason of a request that produced all its tokens.
const FinishStop = "stop"

// Output is what one step produced for one request.
type Output struct {
	RequestID string
	// Tokens is how many tokens the step produced, at least 1.
	Tokens int
	// First marks the request's first token, Finished its last.
	First    bool
	Finished bool
	// FinishReason is empty until Finished.
	FinishReason string
	// PromptTokens, CachedTokens and OutputTokens are totals so far.
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Engine is one engine. The zero value is not usable; see New.
type Engine struct {
	config   Config
	cache    *pool
	known    map[string]*sequence
	waiting  waitingQueue
	running  []*sequence
	order    uint64
	planned  bool
	stepEnds time.Duration
	// stepTook is the duration of the step planned last.
	stepTook time.Duration
	outputs  []Output
	totals   totals
}

// totals are counters since the engine began.
type totals struct {
	steps        uint64
	preemptions  uint64
	promptTokens uint64
	cachedTokens uint64
	outputTokens uint64
}

// New makes an idle engine with an empty cache. It panics when config is
// invalid; check with Config.Validate where it comes from outside.
func New(config Config) *Engine {
	if err := config.Validate(); err != nil {
		panic(err)
	}
	return &Engine{
		config: config,
		cache:  newPool(config.Blocks),
		known:  make(map[string]*sequence),
	}
}

// Submit adds a request to the waiting queue. It joins (does nothing) if the id
// is already waiting or running; a finished id is forgotten and would run
// anew, so callers that need once-only keep finished ids themselves.
func (engine *Engine) Submit(now time.Duration, request Request) error {
	if _, found := engine.known[request.ID]; found {
		return nil
	}
	if err := request.validate(engine.config); err != nil {
		return err
	}
	engine.order++
	item := &sequence{request: request, order: engine.order, place: -1}
	engine.known[request.ID] = item
	engine.waiting.add(item)
	return nil
}

// Cancel removes a waiting or running request; false if it is not known. What
// the step under way computes for it is lost; blocks already computed stay
// cached.
func (engine *Engine) Cancel(now time.Duration, id string) bool {
	item, found := engine.known[id]
	if !found {
		return false
	}
	delete(engine.known, id)
	if item.place >= 0 {
		engine.waiting.remove(item)
		return true
	}
	engine.dropBlocks(now, item)
	engine.removeRunning(item)
	return true
}

// Release frees the blocks that program owns and no running request uses, and
// returns their number.
func (engine *Engine) Release(now time.Duration, program string) int {
	return engine.cache.release(now, program)
}

// ReleaseAll frees every block that no running request uses, as a change of the
// model's weights must, and returns their number.
func (engine *Engine) ReleaseAll(now time.Duration) int {
	freed := 0
	for engine.cache.idleFirst != none {
		engine.cache.drop(now, engine.cache.idleFirst)
		freed++
	}
	return freed
}

// NextStep tells when the step under way ends; busy is false when there is
// nothing to do. An idle engine starts a step at now, with all requests
// submitted so far.
func (engine *Engine) NextStep(now time.Duration) (at time.Duration, busy bool) {
	if !engine.planned {
		engine.plan(now)
	}
	return engine.stepEnds, engine.planned
}

// Step ends the step under way and starts the next one at now; call it at the
// time NextStep gave. It returns what the step produced; the slice is valid
// until the next call. Before that time it does nothing.
func (engine *Engine) Step(now time.Duration) []Output {
	if _, busy := engine.NextStep(now); !busy || now < engine.stepEnds {
		return nil
	}
	engine.totals.steps++
	engine.outputs = engine.outputs[:0]
	kept := engine.running[:0]
	for _, item := range engine.running {
		engine.compute(item)
		if item.produced == item.request.OutputTokens {
			engine.finish(now, item)
			continue
		}
		kept = append(kept, item)
	}
	clear(engine.running[len(kept):])
	engine.running = kept
	engine.planned = false
	engine.plan(now)
	return engine.outputs
}

// compute applies the planned work of one sequence.
func (engine *Engine) compute(item *sequence) {
	if item.planned == 0 {
		return
	}
	item.computed += item.planned
	item.planned = 0
	engine.shareBlocks(item)
	if item.computed < item.goal() {
		return
	}
	item.produced++
	engine.totals.outputTokens++
	output := Output{
		RequestID:    item.request.ID,
		Tokens:       1,
		First:        item.produced == 1,
		PromptTokens: item.request.PromptTokens,
		CachedTokens: item.cached,
		OutputTokens: item.produced,
	}
	if item.produced == item.request.OutputTokens {
		output.Finished = true
		output.FinishReason = FinishStop
	}
	engine.outputs = append(engine.outputs, output)
}

// shareBlocks offers the blocks that are now whole for reuse.
func (engine *Engine) shareBlocks(item *sequence) {
	for (item.shared+1)*engine.config.BlockTokens <= item.computed {
		hash, sharable := item.blockHash(item.shared, item.hash)
		if sharable {
			engine.cache.share(item.blocks[item.shared], hash)
			item.hash = hash
		}
		item.shared++
	}
}

func (engine *Engine) finish(now time.Duration, item *sequence) {
	delete(engine.known, item.request.ID)
	engine.dropBlocks(now, item)
}

// dropBlocks gives up a sequence's blocks, last block first, so that the
// beginning of a prefix is evicted last.
func (engine *Engine) dropBlocks(now time.Duration, item *sequence) {
	for place := len(item.blocks) - 1; place >= 0; place-- {
		engine.cache.dereference(now, item.blocks[place])
	}
	item.blocks = item.blocks[:0]
	item.shared = 0
	item.hash = 0
	item.computed = 0
	item.planned = 0
}

func (engine *Engine) removeRunning(item *sequence) {
	for place, other := range engine.running {
		if other == item {
			engine.running = append(engine.running[:place], engine.running[place+1:]...)
			return
		}
	}
}
