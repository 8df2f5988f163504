package enginemodel

import "time"

// plan starts a step at now: it allocates blocks for the running sequences,
// admits waiting ones, assigns tokens to each and sets the end of the step.
func (engine *Engine) plan(now time.Duration) {
	if len(engine.requests) == 0 {
		return
	}
	engine.extendRunning(now)
	engine.admit(now)
	if len(engine.running) == 0 {
		return
	}
	engine.stepPlanned = true
	engine.stepDuration = engine.assignTokens()
	engine.stepEnds = now + engine.stepDuration
}

// extendRunning allocates the blocks that each running sequence needs for its
// next token, and preempts sequences when the cache is full. Afterwards, every
// running sequence has blocks for targetTokens.
func (engine *Engine) extendRunning(now time.Duration) {
	preempted := false
	for _, seq := range engine.running {
		for !seq.preempted && len(seq.blocks)*engine.config.BlockTokens < seq.targetTokens() {
			index := engine.cache.allocate(now, seq.request.Program, len(seq.blocks))
			if index != noBlock {
				seq.blocks = append(seq.blocks, index)
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

// preempt moves the running sequence that is last in scheduling order back to
// the waiting queue and releases its blocks. It computes its tokens again.
func (engine *Engine) preempt(now time.Duration) {
	var victim *sequence
	for _, seq := range engine.running {
		if !seq.preempted && (victim == nil || victim.precedes(seq)) {
			victim = seq
		}
	}
	victim.preempted = true
	engine.totals.preemptions++
	engine.releaseBlocks(now, victim)
	engine.waiting.add(victim)
}

// compactRunning removes preempted sequences from the batch.
func (engine *Engine) compactRunning() {
	kept := engine.running[:0]
	for _, seq := range engine.running {
		if seq.preempted {
			seq.preempted = false
			continue
		}
		kept = append(kept, seq)
	}
	clear(engine.running[len(kept):])
	engine.running = kept
}

// admit moves waiting sequences into the batch in scheduling order while the
// batch and the cache have room. It stops at the first one that doesn't fit.
func (engine *Engine) admit(now time.Duration) {
	for len(engine.waiting) > 0 && len(engine.running) < engine.config.RunningLimit {
		seq := engine.waiting[0]
		if !engine.allocateFor(now, seq) {
			return
		}
		engine.waiting.remove(seq)
		engine.running = append(engine.running, seq)
	}
}

// allocateFor references the sequence's cached prefix and allocates the
// remaining blocks for targetTokens. If the cache has no room, it changes
// nothing and returns false.
func (engine *Engine) allocateFor(now time.Duration, seq *sequence) bool {
	needed := (seq.targetTokens() + engine.config.BlockTokens - 1) / engine.config.BlockTokens
	matched, idle := engine.matchPrefix(seq)
	if needed-len(matched) > engine.cache.available()-idle {
		return false
	}
	for _, index := range matched {
		engine.cache.addReference(index, seq.request.Program, !seq.admitted)
		seq.lastHash = engine.cache.blocks[index].hash
	}
	seq.blocks = append(seq.blocks, matched...)
	seq.registeredBlocks = len(matched)
	seq.computedTokens = len(matched) * engine.config.BlockTokens
	for len(seq.blocks) < needed {
		index := engine.cache.allocate(now, seq.request.Program, len(seq.blocks))
		seq.blocks = append(seq.blocks, index)
	}
	if !seq.admitted {
		seq.admitted = true
		seq.cachedTokens = seq.computedTokens
		engine.totals.promptTokens += uint64(seq.request.PromptTokens)
		engine.totals.cachedTokens += uint64(seq.cachedTokens)
	}
	return true
}

// matchPrefix returns the cached blocks of the sequence's prefix and how many of
// them are idle. It leaves at least one token to compute.
func (engine *Engine) matchPrefix(seq *sequence) (matched []int32, idle int) {
	previous := uint64(0)
	for (len(matched)+1)*engine.config.BlockTokens < seq.targetTokens() {
		hash, reusable := seq.blockHash(len(matched), previous)
		if !reusable {
			return matched, idle
		}
		index, found := engine.cache.byHash[hash]
		if !found {
			return matched, idle
		}
		if engine.cache.blocks[index].refCount == 0 {
			idle++
		}
		matched = append(matched, index)
		previous = hash
	}
	return matched, idle
}

// assignTokens sets the tokens that each running sequence computes in the step
// and returns the step's duration. Decoding sequences compute one token each;
// the others share PrefillTokensPerStep in order of admission.
func (engine *Engine) assignTokens() time.Duration {
	budget := engine.config.PrefillTokensPerStep
	decoding := 0
	for _, seq := range engine.running {
		if seq.decoding() {
			seq.plannedTokens = 1
			decoding++
			continue
		}
		seq.plannedTokens = min(budget, seq.targetTokens()-seq.computedTokens)
		budget -= seq.plannedTokens
	}
	prefill := engine.config.PrefillTokensPerStep - budget
	duration := engine.config.StepBase
	duration += time.Duration(decoding) * engine.config.StepPerSequence
	duration += time.Duration(prefill) * engine.config.StepPerPrefillToken
	return duration
}
