package placement

const (
	// crossZoneCost is the network delay of a call that crosses zones, in seconds.
	crossZoneCost = 0.005
	// fullBatchCost is the cost in seconds of joining a full batch rather than an
	// empty one: decode steps slow down with batch size.
	fullBatchCost = 0.1
	// evictionWeight is the assumed probability that an evicted prefix would have
	// been reused.
	evictionWeight = 0.5
)

// PrefillScorer charges the prefill time of the uncached part of the prompt.
// Prefill also delays the calls that run on the engine, so it is charged once
// for each of them.
type PrefillScorer struct{}

// Cost returns the delay in seconds, summed over the delayed calls.
func (PrefillScorer) Cost(call *Call, candidate *Candidate) float64 {
	uncached := max(call.PromptTokens-candidate.CachedTokens, 0)
	return float64(uncached) * candidate.PrefillPerToken.Seconds() * delayedCalls(candidate)
}

// delayedCalls is the number of calls that a prefill delays: the new call and
// the running ones.
func delayedCalls(candidate *Candidate) float64 {
	return float64(1 + candidate.Running)
}

// UncachedScorer charges 1 per uncached prompt token. Engine load only breaks
// ties, so a program without a prefix goes to the least loaded engine.
type UncachedScorer struct{}

// Cost returns the uncached tokens plus a tie-breaker below 1 for load.
func (UncachedScorer) Cost(call *Call, candidate *Candidate) float64 {
	uncached := max(call.PromptTokens-candidate.CachedTokens, 0)
	calls := float64(candidate.Running + candidate.Waiting)
	return float64(uncached) + calls/(calls+1)
}

// WaitScorer charges the predicted wait for a slot.
type WaitScorer struct{}

// Cost returns the wait in seconds.
func (WaitScorer) Cost(_ *Call, candidate *Candidate) float64 {
	return candidate.PredictedWait.Seconds()
}

// LoadScorer charges 1 for each call that runs on the engine or is bound to it.
type LoadScorer struct{}

// Cost returns the number of calls.
func (LoadScorer) Cost(_ *Call, candidate *Candidate) float64 {
	return float64(candidate.Running + candidate.Waiting)
}

// EvictionScorer charges the time to recompute the cached tokens that the call
// would evict.
type EvictionScorer struct{}

// Cost returns the delay in seconds, summed over the delayed calls.
func (EvictionScorer) Cost(call *Call, candidate *Candidate) float64 {
	added := call.KVTokens - min(candidate.CachedTokens, call.PromptTokens)
	evicted := max(added-max(candidate.FreeTokens, 0), 0)
	return float64(evicted) * candidate.PrefillPerToken.Seconds() * delayedCalls(candidate)
}

// BatchScorer charges for the slower decode steps of a larger batch.
type BatchScorer struct{}

// Cost returns seconds in proportion to batch occupancy.
func (BatchScorer) Cost(_ *Call, candidate *Candidate) float64 {
	return fullBatchCost * float64(candidate.Running) / float64(max(candidate.Limit, 1))
}

// ZoneScorer charges for an engine in another zone than the call.
type ZoneScorer struct{}

// Cost returns the network delay in seconds.
func (ZoneScorer) Cost(call *Call, candidate *Candidate) float64 {
	if call.Zone == candidate.Zone {
		return 0
	}
	return crossZoneCost
}
