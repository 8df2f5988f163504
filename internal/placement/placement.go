// Package placement decides which engine a call runs on. A Policy filters the
// candidates, adds up the costs its scorers give, and picks one. Each part is
// pure but for a picker's own rotation.
package placement

import (
	"fmt"
	"time"
)

// Names of the placements, as operators write them in the configuration.
const (
	AffinityBalanced = "affinity-balanced"
	RoundRobin       = "round-robin"
	LeastLoaded      = "least-loaded"
	Affinity         = "affinity"
)

// None is the index of no candidate.
const None = -1

// Call is what placement knows of a call.
type Call struct {
	Model   string
	Adapter string
	Zone    string
	// PromptTokens is the whole prompt.
	PromptTokens int
	// NeedTokens is the KV memory the call is expected to hold at its end.
	NeedTokens int
	// Due is true when the call's tier has earned its reserved share and the call
	// has been passed over often enough: it may push out prefixes of programs
	// ranked before it.
	Due bool
}

// Candidate is one engine of the pool as the keeper sees it.
type Candidate struct {
	Engine   string
	Model    string
	Zone     string
	Adapters []string
	// Ready is false for an engine that drains, is leaving or is silent.
	Ready bool
	// FreeSlots is how many more calls may run now.
	FreeSlots int
	// Running and Waiting count calls on the engine and bound to it.
	Running int
	Waiting int
	// Limit is how many calls may run together.
	Limit int
	// CachedTokens is how much of the call's prompt is cached there, estimated.
	CachedTokens int
	// FreeTokens is the KV memory that neither running calls nor cached
	// prefixes hold.
	FreeTokens int
	// Crowded is true when the call would push out prefixes that programs ranked
	// before it are about to use again.
	Crowded bool
	// Wait is the predicted wait for a slot.
	Wait time.Duration
	// PrefillPerToken is the measured time to compute one prompt token.
	PrefillPerToken time.Duration
}

// Filter keeps candidates that may take the call at all.
type Filter interface {
	Admits(call *Call, candidate *Candidate) bool
}

// Scorer gives the cost of a candidate in seconds; the lowest total wins.
type Scorer interface {
	Cost(call *Call, candidate *Candidate) float64
}

// Picker chooses among the admitted candidates, None for none of them. Costs
// has one entry a candidate; admitted tells which may be chosen.
type Picker interface {
	Pick(candidates []Candidate, admitted []bool, costs []float64) int
}

// Weighted is a scorer with its weight in the sum.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Policy places calls by filter, score and pick.
type Policy struct {
	// BindsOnArrival is true for placements that choose the engine when a call
	// arrives, as a load balancer in front of the engines does. The others
	// choose when a slot frees.
	BindsOnArrival bool

	filters []Filter
	scorers []Weighted
	picker  Picker

	admitted []bool
	costs    []float64
}

// Place returns the index of the engine the call should run on, None if no
// candidate admits it. The engine may have no free slot now: then waiting for
// it costs less than any other engine would.
func (policy *Policy) Place(call *Call, candidates []Candidate) int {
	policy.admitted = policy.admitted[:0]
	policy.costs = policy.costs[:0]
	for index := range candidates {
		candidate := &candidates[index]
		policy.admitted = append(policy.admitted, policy.admits(call, candidate))
		policy.costs = append(policy.costs, policy.cost(call, candidate))
	}
	return policy.picker.Pick(candidates, policy.admitted, policy.costs)
}

func (policy *Policy) admits(call *Call, candidate *Candidate) bool {
	for _, filter := range policy.filters {
		if !filter.Admits(call, candidate) {
			return false
		}
	}
	return true
}

func (policy *Policy) cost(call *Call, candidate *Candidate) float64 {
	total := 0.0
	for _, scorer := range policy.scorers {
		total += scorer.Weight * scorer.Scorer.Cost(call, candidate)
	}
	return total
}

const (
	defaultAffinityPercent = 50
	wholePercent           = 100
)

// ByName returns a fresh policy. An empty name stands for AffinityBalanced;
// affinityPercent, 0 to 100, is the weight of cached prefix against queue wait
// there, and 0 takes the default.
func ByName(name string, affinityPercent uint32) (*Policy, error) {
	if affinityPercent > wholePercent {
		return nil, fmt.Errorf("affinity percent %d is over %d", affinityPercent, wholePercent)
	}
	if affinityPercent == 0 {
		affinityPercent = defaultAffinityPercent
	}
	switch name {
	case AffinityBalanced, "":
		return balanced(float64(affinityPercent) / wholePercent), nil
	case RoundRobin:
		return &Policy{BindsOnArrival: true, filters: commonFilters(), picker: &RotatingPicker{}}, nil
	case LeastLoaded:
		return bound(LoadScorer{}), nil
	case Affinity:
		return bound(UncachedScorer{}), nil
	default:
		return nil, fmt.Errorf("unknown placement %q", name)
	}
}

// bound is a placement on arrival by one cost alone.
func bound(scorer Scorer) *Policy {
	return &Policy{
		BindsOnArrival: true,
		filters:        commonFilters(),
		scorers:        []Weighted{{scorer, 1}},
		picker:         LowestPicker{},
	}
}

// balanced weighs prompt computation against waiting; affinity lies in 0 to 1.
func balanced(affinity float64) *Policy {
	return &Policy{
		filters: append(commonFilters(), RoomFilter{}),
		scorers: []Weighted{
			{PrefillScorer{}, 2 * affinity},
			{WaitScorer{}, 2 * (1 - affinity)},
			{EvictionScorer{}, evictionWeight},
			{BatchScorer{}, 1},
			{ZoneScorer{}, 1},
		},
		picker: LowestPicker{},
	}
}
