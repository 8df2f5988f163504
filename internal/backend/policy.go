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
	// PolicyLeastLoaded takes an engine with few requests, as far as is known.
	PolicyLeastLoaded = "least"
	// PolicyRandom takes any engine.
	PolicyRandom = "random"
)

// policies are the policies by name.
var policies = map[string]Policy{
	PolicyAssigned:    affinityPolicy{key: func(request *Request) string { return request.Program }},
	PolicyProgram:     affinityPolicy{key: func(request *Request) string { return request.Program }},
	PolicySession:     affinityPolicy{key: func(request *Request) string { return request.Session }},
	PolicyPrompt:      affinityPolicy{key: func(request *Request) string { return request.Prompt }},
	PolicyLeastLoaded: leastPolicy{},
	PolicyRandom:      randomPolicy{},
}

// SetPolicy puts the policy of a name in force, PolicyAssigned for the empty
// name. An unknown name is an InvalidSettings error.
func (directory *Directory) SetPolicy(name string) error {
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

// leastPolicy prefers engines with few requests, and nearby ones.
type leastPolicy struct{}

// Choose implements Policy.
func (leastPolicy) Choose(admitted []*Engine, request *Request, now time.Time) *Engine {
	compared := admitted
	if admitted[0].others.known {
		compared = drawn(admitted, request.Zone)
	}
	slots := meanSlots(admitted)
	best := compared[0]
	bestCost := runningCost(best, request, slots, now)
	for _, candidate := range compared[1:] {
		cost := runningCost(candidate, request, slots, now)
		if cost < bestCost {
			best = candidate
			bestCost = cost
		}
	}
	return best
}

// choices is how many engines, of the asker's zone and of all, are compared with each other
// where all nodes see one view. With two the busiest engine gets nearly as little as if all
// were compared, and the least busy one only twice its part.
const choices = 2

// drawn returns the engines to compare. It answers the load of many nodes that see one view
// at once: if each took its least busy engine, that would be the busiest one by the next view.
func drawn(admitted []*Engine, zone string) []*Engine {
	nearby := make([]*Engine, 0, len(admitted))
	for _, engine := range admitted {
		if engine.Zone == zone {
			nearby = append(nearby, engine)
		}
	}
	compared := make([]*Engine, 0, choices+choices)
	for _, group := range [][]*Engine{nearby, admitted} {
		if len(group) == 0 {
			continue
		}
		for range choices {
			compared = append(compared, group[rand.IntN(len(group))])
		}
	}
	return compared
}

// meanSlots is the mean number of slots, 0 where an engine does not tell its own.
func meanSlots(engines []*Engine) float64 {
	sum := 0
	for _, engine := range engines {
		if engine.Slots <= 0 {
			return 0
		}
		sum += engine.Slots
	}
	return float64(sum) / float64(len(engines))
}

// runningCost is the cost of one more request at an engine, in requests at one of usual
// slots: at a slow one, each under way counts as several.
func runningCost(engine *Engine, request *Request, usualSlots float64, now time.Time) float64 {
	cost := (engine.under()+1)*engine.slowness(now) + noiseCost*rand.Float64()
	if usualSlots > 0 {
		cost *= usualSlots / float64(engine.Slots)
	}
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
	if second != nil && first.under() > second.under()+affinityReach {
		return second
	}
	return first
}

// UsesAssignment tells whether owners assign engines to lines of turns.
func (directory *Directory) UsesAssignment() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.assigns
}

// RendezvousWeight is an engine's place for a line where loads are alike.
func RendezvousWeight(line, engine string) uint64 { return hashWeight(line, engine) }

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
