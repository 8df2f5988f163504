// Package placement decides which engine a call runs on. A Policy filters the
// candidates, sums the weighted costs of its scorers and picks one candidate.
// Filters and scorers are stateless; a picker may keep state.
package placement

import (
	"fmt"
	"time"
)

// Policy names accepted by ByName and in the configuration.
const (
	AffinityBalanced = "affinity-balanced"
	RoundRobin       = "round-robin"
	LeastLoaded      = "least-loaded"
	Affinity         = "affinity"
)

// None is the index returned when no candidate is picked.
const None = -1

// Call holds the properties of a call that placement uses.
type Call struct {
	Model   string
	Adapter string
	Zone    string
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// KVTokens is the predicted KV memory of the call at its end, in tokens.
	KVTokens int
	// MayEvict is true when the call may evict prefixes of higher-ranked
	// programs, so that EvictionFilter does not starve it.
	MayEvict bool
}

// Candidate is the state of one engine of the pool as known to the keeper.
type Candidate struct {
	Engine   string
	Model    string
	Zone     string
	Adapters []string
	// Ready is true when the engine accepts new calls.
	Ready bool
	// FreeSlots is the number of calls that can start now.
	FreeSlots int
	// Running counts the calls on the engine, Waiting the calls bound to it.
	Running int
	Waiting int
	// Limit is the maximum number of concurrent calls.
	Limit int
	// CachedTokens is the estimated part of the call's prompt that is cached.
	CachedTokens int
	// FreeTokens is the KV memory held neither by running calls nor by cached
	// prefixes, in tokens.
	FreeTokens int
	// EvictsHigherRanked is true when the call would evict prefixes that
	// higher-ranked programs are expected to reuse.
	EvictsHigherRanked bool
	// PredictedWait is the predicted wait for a slot.
	PredictedWait time.Duration
	// PrefillPerToken is the estimated prefill time of one prompt token.
	PrefillPerToken time.Duration
}

// Filter decides which candidates are eligible for a call.
type Filter interface {
	Admits(call *Call, candidate *Candidate) bool
}

// Scorer returns the cost of a candidate. Scorers that are combined use seconds.
type Scorer interface {
	Cost(call *Call, candidate *Candidate) float64
}

// Picker picks an admitted candidate and returns its index, or None. admitted
// and costs have one entry per candidate.
type Picker interface {
	Pick(candidates []Candidate, admitted []bool, costs []float64) int
}

// WeightedScorer is a scorer and its weight in the total cost.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Policy places calls in three steps: filter, score, pick. It reuses internal
// buffers and is not safe for concurrent use.
type Policy struct {
	// BindOnArrival is true for policies that choose the engine when a call
	// arrives, like a load balancer. Other policies choose when a slot is free.
	BindOnArrival bool

	filters []Filter
	scorers []WeightedScorer
	picker  Picker

	admitted []bool
	costs    []float64
}

// Place returns the index of the engine the call should run on, or None if no
// candidate is eligible. If the engine has no free slot, waiting for it is
// cheaper than any other candidate.
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
	maxPercent             = 100
)

// ByName returns a new policy; an empty name selects AffinityBalanced.
// affinityPercent, 0 to 100, is the weight of prefix affinity against queueing
// time in AffinityBalanced; 0 selects the default. An unknown name or a percent
// over 100 is an error.
func ByName(name string, affinityPercent uint32) (*Policy, error) {
	if affinityPercent > maxPercent {
		return nil, fmt.Errorf("affinity percent %d out of range 0 to %d", affinityPercent, maxPercent)
	}
	if affinityPercent == 0 {
		affinityPercent = defaultAffinityPercent
	}
	switch name {
	case AffinityBalanced, "":
		return affinityBalanced(float64(affinityPercent) / maxPercent), nil
	case RoundRobin:
		return &Policy{BindOnArrival: true, filters: commonFilters(), picker: &RoundRobinPicker{}}, nil
	case LeastLoaded:
		return onArrival(LoadScorer{}), nil
	case Affinity:
		return onArrival(UncachedScorer{}), nil
	default:
		return nil, fmt.Errorf("unknown placement policy %q", name)
	}
}

// onArrival returns a policy that binds on arrival and uses a single scorer.
func onArrival(scorer Scorer) *Policy {
	return &Policy{
		BindOnArrival: true,
		filters:       commonFilters(),
		scorers:       []WeightedScorer{{scorer, 1}},
		picker:        LowestCostPicker{},
	}
}

// affinityBalanced weighs prefill time against queueing time; affinity is
// between 0 and 1.
func affinityBalanced(affinity float64) *Policy {
	return &Policy{
		filters: append(commonFilters(), EvictionFilter{}),
		scorers: []WeightedScorer{
			{PrefillScorer{}, 2 * affinity},
			{WaitScorer{}, 2 * (1 - affinity)},
			{EvictionScorer{}, evictionWeight},
			{BatchScorer{}, 1},
			{ZoneScorer{}, 1},
		},
		picker: LowestCostPicker{},
	}
}
