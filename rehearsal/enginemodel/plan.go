package enginemodel

import "time"

// plan starts a step at now: it finds blocks for the running sequences, admits
// waiting ones, and sets what each computes and when the step ends.
func (engine *Engine) plan(now time.Duration) {
	if len(engine.known) == 0 {
		return
	}
	engine.growRunning(now)
	engine.admit(now)
	if len(engine.running) == 0 {
		return
	}
	engine.planned = true
	engine.stepTook = engine.assign()
	engine.stepEnds = now + engine.stepTook
}

// growRunning gives each running sequence the block that its next token needs.
// Invariant afterwards: every running sequence has blocks up to its goal.
func (engine *Engine) growRunning(now time.Duration) {
	preempted := false
	for _, item := range engine.running {
		for !item.removed && len(item.blocks)*engine.config.BlockTokens < item.goal() {
			index := engine.cache.allocate(now, item.request.Program, len(item.blocks))
			if index != none {
				item.blocks = append(item.blocks, index)
				continue
			}
			engine.preempt(now)
			preempted = true
		}
	}
	if preempted {
		engine.compactRunning()
	}
}

// preempt sends the running sequence of the lowest priority, the youngest of
// them, back to the waiting queue; it will compute its tokens again.
func (engine *Engine) preempt(now time.Duration) {
	var victim *sequence
	for _, item := range engine.running {
		if !item.removed && (victim == nil || victim.before(item)) {
			victim = item
		}
	}
	victim.removed = true
	engine.totals.preemptions++
	engine.dropBlocks(now, victim)
	engine.waiting.add(victim)
}

// compactRunning drops the sequences that were preempted.
func (engine *Engine) compactRunning() {
	kept := engine.running[:0]
	for _, item := range engine.running {
		if item.removed {
			item.removed = false
			continue
		}
		kept = append(kept, item)
	}
	clear(engine.running[len(kept):])
	engine.running = kept
}

// admit moves waiting sequences into the batch, best first, while the batch and
// the cache have room. It never passes over a sequence that doesn't fit.
func (engine *Engine) admit(now time.Duration) {
	for len(engine.waiting) > 0 && len(engine.running) < engine.config.RunningLimit {
		item := engine.waiting[0]
		if !engine.place(now, item) {
			return
		}
		engine.waiting.remove(item)
		engine.running = append(engine.running, item)
	}
}

// place finds the sequence's cached prefix and allocates the other blocks up to
// its goal; false, with nothing changed, when the cache has no room.
func (engine *Engine) place(now time.Duration, item *sequence) bool {
	needed := (item.goal() + engine.config.BlockTokens - 1) / engine.config.BlockTokens
	matched, idle := engine.match(item)
	if needed-len(matched) > engine.cache.available()-idle {
		return false
	}
	for _, index := range matched {
		engine.cache.reference(index, item.request.Program, !item.admitted)
		item.hash = engine.cache.blocks[index].hash
	}
	item.blocks = append(item.blocks, matched...)
	item.shared = len(matched)
	item.computed = len(matched) * engine.config.BlockTokens
	for len(item.blocks) < needed {
		index := engine.cache.allocate(now, item.request.Program, len(item.blocks))
		item.blocks = append(item.blocks, index)
	}
	if !item.admitted {
		item.admitted = true
		item.cached = item.computed
		engine.totals.promptTokens += uint64(item.request.PromptTokens)
		engine.totals.cachedTokens += uint64(item.cached)
	}
	return true
}

// match returns the cached blocks of the sequence's prefix and how many of them
// are idle. At least one token is always left to compute.
func (engine *Engine) match(item *sequence) (matched []int32, idle int) {
	previous := uint64(0)
	for (len(matched)+1)*engine.config.BlockTokens < item.goal() {
		hash, sharable := item.blockHash(len(matched), previous)
		if !sharable {
			return matched, idle
		}
		index, found := engine.cache.byHash[hash]
		if !found {
			return matched, idle
		}
		if engine.cache.blocks[index].references == 0 {
			idle++
		}
		matched = append(matched, index)
		previous = hash
	}
	return matched, idle
}

// assign shares the step among the running sequences and returns its duration.
// Decoding sequences compute one token each; the others share the step's
// bounded prompt tokens in order of admission.
func (engine *Engine) assign() time.Duration {
	budget := engine.config.PrefillTokensPerStep
	decoding := 0
	for _, item := range engine.running {
		if item.decoding() {
			item.planned = 1
			decoding++
			continue
		}
		item.planned = min(budget, item.goal()-item.computed)
		budget -= item.planned
	}
	prefill := engine.config.PrefillTokensPerStep - budget
	duration := engine.config.StepBase
	duration += time.Duration(decoding) * engine.config.StepPerSequence
	duration += time.Duration(prefill) * engine.config.StepPerPrefillToken
	return duration
}
