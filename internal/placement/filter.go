package placement

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
func commonFilters() []Filter { return []Filter{ReadyFilter{}, ModelFilter{}} }
