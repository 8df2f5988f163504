package keeper

import (
	"strconv"
	"time"

	"github.com/magpielug/magpielug/internal/queue"
)

// runningCall is a grant that has not ended.
type runningCall struct {
	request Request
	program *programState
	tier    *tierState
	engine  *engineState
	prefix  *prefix
	// index is the call's index in its engine's running list.
	index int
	// kvTokens is the predicted KV memory of the call, in tokens.
	kvTokens       int
	expectedCached int
	// coldStart is true if the program had no prefix on the engine.
	coldStart bool
	grantedAt time.Duration
	// firstToken is the time from grant to first token; 0 before it.
	firstToken time.Duration
	// sequence increases with each grant.
	sequence   uint64
	preempting bool
	cancelling bool
}

// grantFrom grants a queued call a slot.
func (keeper *Keeper) grantFrom(from *queue.Queue[*waitingCall], item *queue.Item[*waitingCall], engine *engineState) {
	call := item.Value
	cached := keeper.expectedCached(call, engine)
	keeper.dequeue(call)
	from.RecordGrant(item)
	keeper.tiers.countGrant(call.rank.Band, keeper.now)
	running := &runningCall{request: call.request, program: call.program, tier: call.tier, kvTokens: call.kvTokens, expectedCached: cached}
	keeper.importPrefix(running, engine)
	keeper.startCall(running, engine)
	keeper.releaseElsewhere(running)
	why := grantReason(running, keeper.now-call.queuedAt)
	keeper.recordDecision(call.request.Call, "grant", why)
	keeper.emit(running.grantEffect(why))
}

// startCall adds a grant to the state of its engine, program and tier.
func (keeper *Keeper) startCall(call *runningCall, engine *engineState) {
	keeper.sequence++
	call.sequence = keeper.sequence
	call.grantedAt = keeper.now
	call.engine = engine
	call.index = len(engine.running)
	engine.running = append(engine.running, call)
	engine.usedTokens += call.kvTokens
	call.tier.running++
	keeper.running[call.request.Call] = call
	call.coldStart = call.program.cachedOn(engine) == 0
	call.prefix = keeper.ensurePrefix(call.program, engine)
	call.prefix.pin()
	engine.trimPrefixes()
}

// endGrant removes a grant. The program's prefix on the engine stays, unpinned.
func (keeper *Keeper) endGrant(call *runningCall) {
	engine := call.engine
	last := len(engine.running) - 1
	engine.running[call.index] = engine.running[last]
	engine.running[call.index].index = call.index
	engine.running[last] = nil
	engine.running = engine.running[:last]
	engine.usedTokens -= call.kvTokens
	call.prefix.unpin()
	call.tier.running--
	keeper.tiers.removeIfIdle(call.tier)
	call.program.calls--
	call.program.invalidateClaims()
	delete(keeper.running, call.request.Call)
}

// finishCall ends a grant with the measurements of the engine.
func (keeper *Keeper) finishCall(event CallFinished) {
	call := keeper.running[event.Call]
	if call == nil {
		return
	}
	if !event.Failed {
		keeper.updateEstimates(call, event)
		cachedTokens := max(event.PromptTokens, call.request.PromptTokens) + event.OutputTokens
		call.prefix.resize(cachedTokens)
	}
	engine := call.engine
	interrupted := call.preempting || call.cancelling
	if event.Failed && !interrupted {
		keeper.recordCallFailure(engine)
	}
	keeper.endGrant(call)
	call.program.returnExpectedBy = keeper.now + keeper.config.ReturnTimeout
	call.program.invalidateClaims()
	keeper.ensurePrefix(call.program, engine)
	if call.program.ended {
		keeper.releaseAll(call.program, "program ended while its call was running")
	}
	engine.trimPrefixes()
}

// updateEstimates adds the measurements of a finished call.
func (keeper *Keeper) updateEstimates(call *runningCall, event CallFinished) {
	keeper.estimates.holdSeconds.add((keeper.now - call.grantedAt).Seconds(), 1)
	if call.request.MaxTokens > 0 {
		keeper.estimates.outputRatio.add(float64(event.OutputTokens), float64(call.request.MaxTokens))
	}
	uncached := event.PromptTokens - event.CachedTokens
	if call.firstToken > 0 && uncached > 0 {
		keeper.estimates.prefillSeconds.add(call.firstToken.Seconds(), float64(uncached))
	}
	if call.coldStart && call.request.AttainedService == 0 {
		call.program.kind.sharedPrefix.add(float64(event.CachedTokens), 1)
	}
}

// recordFirstToken records the time to the first token.
func (keeper *Keeper) recordFirstToken(key CallKey) {
	if call := keeper.running[key]; call != nil {
		call.firstToken = keeper.now - call.grantedAt
	}
}

// grantEffect returns the Grant for the leader.
func (call *runningCall) grantEffect(why string) Grant {
	return Grant{
		Request:        call.request,
		Engine:         call.engine.name,
		Priority:       int(call.request.Weight),
		ExpectedCached: call.expectedCached,
		Why:            why,
	}
}

// grantReason describes the wait and the cached part of the prompt in one line.
func grantReason(call *runningCall, waited time.Duration) string {
	const base = 10
	line := make([]byte, 0, 64)
	line = append(line, "waited "...)
	line = strconv.AppendInt(line, waited.Milliseconds(), base)
	line = append(line, " ms, cached "...)
	line = strconv.AppendInt(line, int64(call.expectedCached), base)
	line = append(line, " of "...)
	line = strconv.AppendInt(line, int64(call.request.PromptTokens), base)
	line = append(line, " tokens"...)
	return string(line)
}
