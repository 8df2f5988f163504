package placement

import "slices"

// ReadyFilter admits engines that accept new calls.
type ReadyFilter struct{}

// Admits reports whether the engine is ready.
func (ReadyFilter) Admits(_ *Call, candidate *Candidate) bool { return candidate.Ready }

// ModelFilter admits engines that serve the call's model. An empty model on
// either side matches any model.
type ModelFilter struct{}

// Admits reports whether the models match.
func (ModelFilter) Admits(call *Call, candidate *Candidate) bool {
	return call.Model == "" || candidate.Model == "" || call.Model == candidate.Model
}

// commonFilters returns the filters of every policy.
func commonFilters() []Filter {
	return []Filter{ReadyFilter{}, ModelFilter{}, AdapterFilter{}}
}

// AdapterFilter admits engines that have the call's adapter loaded. Engines
// reject calls for adapters they have not loaded.
type AdapterFilter struct{}

// Admits reports whether the adapter is loaded.
func (AdapterFilter) Admits(call *Call, candidate *Candidate) bool {
	return call.Adapter == "" || slices.Contains(candidate.Adapters, call.Adapter)
}

// EvictionFilter rejects engines on which the call would evict prefixes of
// higher-ranked programs. Without it, prefixes thrash under overload: each is
// evicted before its program's next call, and prompts are recomputed.
type EvictionFilter struct{}

// Admits reports whether the call may run without such evictions. It admits an
// engine without a free slot: its memory use changes before a slot frees.
func (EvictionFilter) Admits(call *Call, candidate *Candidate) bool {
	return call.MayEvict || candidate.FreeSlots == 0 || !candidate.EvictsHigherRanked
}
