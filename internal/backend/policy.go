package backend

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Policy chooses among engines that may all get a request. It is called under
// the directory's lock with at least one engine.
type Policy interface {
	Choose(admitted []*Engine, request *Request, now time.Time) *Engine
}

// Names of policies.
const (
	// PolicyAssigned takes the engine that the owner of the program has assigned
	// to the line of turns, and chooses as PolicyProgram does where it has not.
	PolicyAssigned = "assigned"
	// PolicyProgram keeps a program's turns on one engine, whose memory holds
	// what they share, and takes the least busy engine for anything else.
	PolicyProgram = "program"
	// PolicySession keeps each line of a program's turns on one engine; lines of
	// sub-agents may go to others.
	PolicySession = "session"
	// PolicyPrompt keeps prompts that begin alike on one engine.
	PolicyPrompt = "prompt"
	// PolicyLeast takes the engine with the fewest of this node's requests.
	PolicyLeast = "least"
	// PolicyRandom takes any engine.
	PolicyRandom = "random"
)

// policies are the policies by name.
var policies = map[string]Policy{
	PolicyAssigned: affinityPolicy{key: func(request *Request) string { return request.Program }},
	PolicyProgram:  affinityPolicy{key: func(request *Request) string { return request.Program }},
	PolicySession:  affinityPolicy{key: func(request *Request) string { return request.Session }},
	PolicyPrompt:   affinityPolicy{key: func(request *Request) string { return request.Prompt }},
	PolicyLeast:    leastPolicy{},
	PolicyRandom:   randomPolicy{},
}

// UsePolicy puts the policy of a name in force, PolicyAssigned for the empty
// name. An unknown name is an InvalidSettings error.
func (directory *Directory) UsePolicy(name string) error {
	if name == "" {
		name = PolicyAssigned
	}
	policy, known := policies[name]
	if !known {
		names := make([]string, 0, len(policies))
		for each := range policies {
			names = append(names, each)
		}
		slices.Sort(names)
		return resultcode.New(resultcode.InvalidSettings, "placement policy %q is none of %v", name, names)
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.policy = policy
	directory.assigns = name == PolicyAssigned
	return nil
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

// leastPolicy prefers engines with few of this node's requests, and nearby ones.
type leastPolicy struct{}

// Choose implements Policy.
func (leastPolicy) Choose(admitted []*Engine, request *Request, now time.Time) *Engine {
	best := admitted[0]
	bestCost := runningCost(best, request, now)
	for _, candidate := range admitted[1:] {
		cost := runningCost(candidate, request, now)
		if cost < bestCost {
			best = candidate
			bestCost = cost
		}
	}
	return best
}

// runningCost is the cost of one more request at an engine: at a slow one, each under
// way counts as several.
func runningCost(engine *Engine, request *Request, now time.Time) float64 {
	cost := float64(engine.running+1)*engine.slowness(now) + noiseCost*rand.Float64()
	if engine.Zone != request.Zone {
		cost += otherZoneCost
	}
	return cost
}

// randomPolicy takes any engine.
type randomPolicy struct{}

// Choose implements Policy.
func (randomPolicy) Choose(admitted []*Engine, _ *Request, _ time.Time) *Engine {
	return admitted[rand.IntN(len(admitted))]
}

// affinityPolicy keeps requests with the same key on one engine, unless that is
// much busier than the next one in the key's order.
type affinityPolicy struct {
	key func(request *Request) string
}

// Choose implements Policy.
func (policy affinityPolicy) Choose(admitted []*Engine, request *Request, now time.Time) *Engine {
	key := policy.key(request)
	if key == "" {
		return leastPolicy{}.Choose(admitted, request, now)
	}
	first, second := firstTwo(admitted, key)
	if second != nil && float64(first.running) > float64(second.running)+affinityReach {
		return second
	}
	return first
}

// Assigns tells whether owners assign engines to lines of turns.
func (directory *Directory) Assigns() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.assigns
}

// Order is an engine's place for a line where loads are alike.
func Order(line, engine string) uint64 { return hashWeight(line, engine) }

// firstTwo returns the first and the second engine in a key's order; the second
// is nil where there is only one.
func firstTwo(admitted []*Engine, key string) (first, second *Engine) {
	var firstWeight, secondWeight uint64
	for _, candidate := range admitted {
		weight := hashWeight(key, candidate.ID)
		switch {
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = candidate, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = candidate, weight
		}
	}
	return first, second
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
