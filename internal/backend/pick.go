package backend

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is what a choice of an engine depends on.
type Request struct {
	Service string
	// Affinity, where set, keeps requests with the same text on one engine,
	// whose memory holds what they share.
	Affinity string
	// Zone is the asker's.
	Zone string
	// Tried holds the ids of engines that were asked already.
	Tried []string
	// MaxRunning bounds this node's requests at one engine; zero is no bound.
	MaxRunning int
}

// Filter tells whether an engine may get a request.
type Filter interface {
	Admits(engine *Engine, request *Request, now time.Time) bool
}

// Scorer gives an engine a cost for a request; the least wins.
type Scorer interface {
	Cost(engine *Engine, request *Request) float64
}

// untried admits engines that were not asked already.
type untried struct{}

func (untried) Admits(engine *Engine, request *Request, _ time.Time) bool {
	for _, id := range request.Tried {
		if id == engine.ID {
			return false
		}
	}
	return true
}

// sound admits engines that are not passed over for what was seen of them.
type sound struct{}

func (sound) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return !now.Before(engine.avoidUntil)
}

// roomy admits engines below the node's bound of requests under way.
type roomy struct{}

func (roomy) Admits(engine *Engine, request *Request, _ time.Time) bool {
	return request.MaxRunning <= 0 || engine.running < request.MaxRunning
}

const (
	// otherZoneCost is the cost of another zone, in requests under way.
	otherZoneCost = 0.35
	// noiseCost spreads ties.
	noiseCost = 0.3
	// affinityReach is how much one place further down the order of an affinity
	// costs, in requests under way.
	affinityReach = 4.0
)

// leastRunning prefers engines with few of this node's requests, nearby ones
// and those that answer quickly.
type leastRunning struct{}

func (leastRunning) Cost(engine *Engine, request *Request) float64 {
	cost := float64(engine.running) + noiseCost*rand.Float64()
	if engine.Zone != request.Zone {
		cost += otherZoneCost
	}
	return cost
}

// hashWeight is an engine's weight for an affinity (rendezvous hashing): the
// highest comes first, and an engine that leaves moves only its own share.
func hashWeight(affinity, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(affinity)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// Pick chooses an engine and counts the request there, or returns nil. Filters
// are given up one after another where nothing is left: an engine that is
// passed over is better than none, one asked already is not.
func (directory *Directory) Pick(request *Request, now time.Time) *Engine {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	candidates := directory.services[request.Service]
	filterSets := [][]Filter{{untried{}, sound{}, roomy{}}, {untried{}, roomy{}}}
	for _, filters := range filterSets {
		admitted := admit(candidates, filters, request, now)
		if len(admitted) > 0 {
			chosen := choose(admitted, request)
			chosen.running++
			return chosen
		}
	}
	return nil
}

func admit(candidates []*Engine, filters []Filter, request *Request, now time.Time) []*Engine {
	admitted := make([]*Engine, 0, len(candidates))
	for _, candidate := range candidates {
		if admits(filters, candidate, request, now) {
			admitted = append(admitted, candidate)
		}
	}
	return admitted
}

func admits(filters []Filter, candidate *Engine, request *Request, now time.Time) bool {
	for _, filter := range filters {
		if !filter.Admits(candidate, request, now) {
			return false
		}
	}
	return true
}

func choose(admitted []*Engine, request *Request) *Engine {
	if request.Affinity != "" {
		return chooseByAffinity(admitted, request.Affinity)
	}
	var best *Engine
	bestCost := 0.0
	scorer := leastRunning{}
	for _, candidate := range admitted {
		cost := scorer.Cost(candidate, request)
		if best == nil || cost < bestCost {
			best = candidate
			bestCost = cost
		}
	}
	return best
}

// chooseByAffinity takes the first engine in the affinity's order unless it is
// much busier than the second.
func chooseByAffinity(admitted []*Engine, affinity string) *Engine {
	var first, second *Engine
	var firstWeight, secondWeight uint64
	for _, candidate := range admitted {
		weight := hashWeight(affinity, candidate.ID)
		switch {
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = candidate, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = candidate, weight
		}
	}
	if second != nil && float64(first.running) > float64(second.running)+affinityReach {
		return second
	}
	return first
}
