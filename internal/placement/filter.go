package placement

import "slices"

// ReadyFilter keeps engines that may get new work.
type ReadyFilter struct{}

// Admits tells whether the engine is ready.
func (ReadyFilter) Admits(_ *Call, candidate *Candidate) bool { return candidate.Ready }

// ModelFilter keeps engines that serve the call's model. An empty model on
// either side matches any.
type ModelFilter struct{}

// Admits tells whether the models match.
func (ModelFilter) Admits(call *Call, candidate *Candidate) bool {
	return call.Model == "" || candidate.Model == "" || call.Model == candidate.Model
}

// commonFilters apply to every placement.
func commonFilters() []Filter {
	return []Filter{ReadyFilter{}, ModelFilter{}, AdapterFilter{}}
}

// AdapterFilter keeps engines that have the call's adapter loaded: an engine
// refuses a call whose adapter it does not have.
type AdapterFilter struct{}

// Admits tells whether the adapter is loaded.
func (AdapterFilter) Admits(call *Call, candidate *Candidate) bool {
	return call.Adapter == "" || slices.Contains(candidate.Adapters, call.Adapter)
}

// RoomFilter keeps a call off an engine whose memory is taken by programs
// ranked before it. Without it, at overload, each program's prefix is pushed
// out before its next call, and engines compute the same prompts over and over.
type RoomFilter struct{}

// Admits tells whether the call has room. A full engine is not judged: its
// memory will have changed by the time a slot frees.
func (RoomFilter) Admits(call *Call, candidate *Candidate) bool {
	return call.Due || candidate.FreeSlots == 0 || !candidate.Crowded
}
