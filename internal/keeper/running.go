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
	// place is the call's index in its engine's running list.
	place int
	// need is the KV memory counted for the call, tokens.
	need           int
	expectedCached int
	// fresh is true when the program had no prefix on the engine.
	fresh     bool
	grantedAt time.Duration
	// firstToken is the time from the grant to the first token, 0 before it.
	firstToken time.Duration
	// sequence rises with each grant.
	sequence   uint64
	preempting bool
	cancelling bool
}

// grantFrom grants a queued call a slot.
func (keeper *Keeper) grantFrom(from *queue.Queue[*waitingCall], item *queue.Item[*waitingCall], engine *engineState) {
	call := item.Value
	cached := keeper.expectedCached(call, engine)
	keeper.leaveQueue(call)
	from.RecordGrant(item)
	keeper.tiers.countGrant(call.rank.Band, keeper.now)
	running := &runningCall{request: call.request, program: call.program, tier: call.tier, need: call.need, expectedCached: cached}
	keeper.importPrefix(running, engine)
	keeper.startCall(running, engine)
	keeper.releaseElsewhere(running)
	why := grantReason(running, keeper.now-call.queuedAt)
	keeper.decide(call.request.Call, "grant", why)
	keeper.emit(running.grant(why))
}

// startCall enters a grant into the books of its engine, program and tier.
func (keeper *Keeper) startCall(call *runningCall, engine *engineState) {
	keeper.sequence++
	call.sequence = keeper.sequence
	call.grantedAt = keeper.now
	call.engine = engine
	call.place = len(engine.running)
	engine.running = append(engine.running, call)
	engine.usedTokens += call.need
	call.tier.running++
	keeper.running[call.request.Call] = call
	call.fresh = call.program.cachedOn(engine) == 0
	call.prefix = keeper.ensurePrefix(call.program, engine)
	call.prefix.pin()
	engine.trimPrefixes()
}

// endGrant takes a grant out of the books. The program's prefix stays, idle.
func (keeper *Keeper) endGrant(call *runningCall) {
	engine := call.engine
	last := len(engine.running) - 1
	engine.running[call.place] = engine.running[last]
	engine.running[call.place].place = call.place
	engine.running[last] = nil
	engine.running = engine.running[:last]
	engine.usedTokens -= call.need
	call.prefix.unpin()
	call.tier.running--
	keeper.tiers.forgetIdle(call.tier)
	call.program.calls--
	call.program.changeClaims()
	delete(keeper.running, call.request.Call)
}

// finishCall returns a grant with what the engine reported.
func (keeper *Keeper) finishCall(event CallFinished) {
	call := keeper.running[event.Call]
	if call == nil {
		return
	}
	if !event.Failed {
		keeper.learn(call, event)
		held := max(event.PromptTokens, call.request.PromptTokens) + event.OutputTokens
		call.prefix.resize(held)
	}
	engine := call.engine
	ordered := call.preempting || call.cancelling
	if event.Failed && !ordered {
		keeper.noteFailure(engine)
	}
	keeper.endGrant(call)
	call.program.returnBy = keeper.now + keeper.config.ReturnWithin
	call.program.changeClaims()
	keeper.ensurePrefix(call.program, engine)
	if call.program.ended {
		keeper.releaseAll(call.program, "program ended while its call ran")
	}
	engine.trimPrefixes()
}

// learn takes the measures of a finished call in.
func (keeper *Keeper) learn(call *runningCall, event CallFinished) {
	keeper.estimates.holdSeconds.add((keeper.now - call.grantedAt).Seconds(), 1)
	if call.request.MaxTokens > 0 {
		keeper.estimates.outputPart.add(float64(event.OutputTokens), float64(call.request.MaxTokens))
	}
	uncached := event.PromptTokens - event.CachedTokens
	if call.firstToken > 0 && uncached > 0 {
		keeper.estimates.prefillSeconds.add(call.firstToken.Seconds(), float64(uncached))
	}
	if call.fresh && call.request.AttainedService == 0 {
		call.program.kind.shared.add(float64(event.CachedTokens), 1)
	}
}

// noteFirstToken measures prompt computation.
func (keeper *Keeper) noteFirstToken(key CallKey) {
	if call := keeper.running[key]; call != nil {
		call.firstToken = keeper.now - call.grantedAt
	}
}

// grant is the effect that tells the leader.
func (call *runningCall) grant(why string) Grant {
	return Grant{
		Request:        call.request,
		Engine:         call.engine.name,
		Priority:       int(call.request.Weight),
		ExpectedCached: call.expectedCached,
		Why:            why,
	}
}

// grantReason is one short line: the wait and the cached part of the prompt.
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
