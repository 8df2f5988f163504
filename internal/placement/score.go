package placement

const (
	// crossZoneCost is the cost of one call that crosses zones, seconds: a few
	// messages of about 1.5 ms each.
	crossZoneCost = 0.005
	// fullBatchCost is the cost of joining a full batch against an empty one,
	// seconds: each step gets longer with the batch.
	fullBatchCost = 0.1
	// evictionWeight is the chance that a prefix evicted for the call would
	// have been used again.
	evictionWeight = 0.5
)

// PrefillScorer costs the time to compute the part of the prompt that is not
// cached. The calls that run on the engine wait for it too, so it counts once
// for each of them.
type PrefillScorer struct{}

// Cost returns seconds of delay, summed over the calls delayed.
func (PrefillScorer) Cost(call *Call, candidate *Candidate) float64 {
	uncached := max(call.PromptTokens-candidate.CachedTokens, 0)
	return float64(uncached) * candidate.PrefillPerToken.Seconds() * delayedCalls(candidate)
}

// delayedCalls is how many calls a prompt computation delays: the new one and
// those that run.
func delayedCalls(candidate *Candidate) float64 {
	return float64(1 + candidate.Running)
}

// UncachedScorer costs one for each prompt token that is not cached, whatever
// the engine's load; a program without a prefix goes where the fewest calls are.
type UncachedScorer struct{}

// Cost returns uncached tokens, with a tie-break under one by calls.
func (UncachedScorer) Cost(call *Call, candidate *Candidate) float64 {
	uncached := max(call.PromptTokens-candidate.CachedTokens, 0)
	calls := float64(candidate.Running + candidate.Waiting)
	return float64(uncached) + calls/(calls+1)
}

// WaitScorer costs the predicted wait for a slot.
type WaitScorer struct{}

// Cost returns seconds of waiting.
func (WaitScorer) Cost(_ *Call, candidate *Candidate) float64 { return candidate.Wait.Seconds() }

// LoadScorer costs one for each call that runs on the engine or waits for it.
type LoadScorer struct{}

// Cost returns a count of calls.
func (LoadScorer) Cost(_ *Call, candidate *Candidate) float64 {
	return float64(candidate.Running + candidate.Waiting)
}

// EvictionScorer costs the time to compute again what the call would push out
// of the engine's cache.
type EvictionScorer struct{}

// Cost returns seconds of delay, summed over the calls delayed.
func (EvictionScorer) Cost(call *Call, candidate *Candidate) float64 {
	added := call.NeedTokens - min(candidate.CachedTokens, call.PromptTokens)
	evicted := max(added-max(candidate.FreeTokens, 0), 0)
	return float64(evicted) * candidate.PrefillPerToken.Seconds() * delayedCalls(candidate)
}

// BatchScorer costs the slower steps of a fuller batch.
type BatchScorer struct{}

// Cost returns seconds, in proportion to how full the batch is.
func (BatchScorer) Cost(_ *Call, candidate *Candidate) float64 {
	return fullBatchCost * float64(candidate.Running) / float64(max(candidate.Limit, 1))
}

// ZoneScorer costs a call that leaves its zone.
type ZoneScorer struct{}

// Cost returns seconds of link delay.
func (ZoneScorer) Cost(call *Call, candidate *Candidate) float64 {
	if call.Zone == candidate.Zone {
		return 0
	}
	return crossZoneCost
}
