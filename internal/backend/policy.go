package backend

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Policy chooses one of the admitted engines, of which there is at least one. It is called
// under the directory's lock.
type Policy interface {
	Choose(admitted []*Engine, request *Request, now time.Time) *Engine
}

// Names of policies.
const (
	// PolicyAssigned chooses the engine assigned to the session by the program's owner, and
	// falls back to PolicyProgram.
	PolicyAssigned = "assigned"
	// PolicyProgram keeps a program's turns on one engine, whose prefix cache holds their
	// common prefix, and chooses by load for other requests.
	PolicyProgram = "program"
	// PolicySession keeps each session of a program on one engine; sessions of subagents may
	// use others.
	PolicySession = "session"
	// PolicyPrompt keeps prompts with the same beginning on one engine.
	PolicyPrompt = "prompt"
	// PolicyLeastLoaded chooses an engine with few running requests.
	PolicyLeastLoaded = "least"
	// PolicyRandom chooses a random engine.
	PolicyRandom = "random"
)

var policies = map[string]Policy{
	PolicyAssigned:    affinityPolicy{key: func(request *Request) string { return request.Program }},
	PolicyProgram:     affinityPolicy{key: func(request *Request) string { return request.Program }},
	PolicySession:     affinityPolicy{key: func(request *Request) string { return request.Session }},
	PolicyPrompt:      affinityPolicy{key: func(request *Request) string { return request.Prompt }},
	PolicyLeastLoaded: leastLoadedPolicy{},
	PolicyRandom:      randomPolicy{},
}

// SetPolicy activates the named policy; the empty name means PolicyAssigned. An unknown
// name is an InvalidSettings error.
func (directory *Directory) SetPolicy(name string) error {
	if name == "" {
		name = PolicyAssigned
	}
	policy, known := policies[name]
	if !known {
		names := make([]string, 0, len(policies))
		for policyName := range policies {
			names = append(names, policyName)
		}
		slices.Sort(names)
		return resultcode.New(resultcode.InvalidSettings, "unknown placement policy %q, want one of %v", name, names)
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.policy = policy
	directory.usesAssignment = name == PolicyAssigned
	return nil
}

const (
	// crossZoneCost is the cost of an engine in another zone, in running requests.
	crossZoneCost = 0.35
	// tieBreakNoise is the maximum random cost added to break ties, in running requests.
	tieBreakNoise = 0.3
	// affinitySpillThreshold is how many more running requests the first engine of an affinity
	// key must have than the second for the second to be chosen.
	affinitySpillThreshold = 4.0
)

// leastLoadedPolicy prefers engines with few running requests and engines in the same zone.
type leastLoadedPolicy struct{}

// Choose implements Policy.
func (leastLoadedPolicy) Choose(admitted []*Engine, request *Request, now time.Time) *Engine {
	compared := admitted
	if admitted[0].remote.known {
		compared = sampleCandidates(admitted, request.Zone)
	}
	slots := meanSlots(admitted)
	best := compared[0]
	bestCost := loadCost(best, request, slots, now)
	for _, candidate := range compared[1:] {
		cost := loadCost(candidate, request, slots, now)
		if cost < bestCost {
			best = candidate
			bestCost = cost
		}
	}
	return best
}

// sampleSize is the number of engines sampled from the same zone, and again from all engines,
// when nodes share a view of the load (power of two choices).
const sampleSize = 2

// sampleCandidates returns random engines to compare. It prevents herding: if all nodes chose
// the least loaded engine of the same view, it would be the most loaded one in the next.
func sampleCandidates(admitted []*Engine, zone string) []*Engine {
	sameZone := make([]*Engine, 0, len(admitted))
	for _, engine := range admitted {
		if engine.Zone == zone {
			sameZone = append(sameZone, engine)
		}
	}
	compared := make([]*Engine, 0, sampleSize+sampleSize)
	for _, group := range [][]*Engine{sameZone, admitted} {
		if len(group) == 0 {
			continue
		}
		for range sampleSize {
			compared = append(compared, group[randomInt(len(group))])
		}
	}
	return compared
}

// meanSlots is the mean number of slots, 0 if any engine does not report its slots.
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

// loadCost is the cost of one more request at an engine: the running requests weighted by its
// slowness, scaled to the mean number of slots.
func loadCost(engine *Engine, request *Request, averageSlots float64, now time.Time) float64 {
	cost := (engine.estimatedRunning()+1)*engine.slowness(now) + tieBreakNoise*randomFloat()
	if averageSlots > 0 {
		cost *= averageSlots / float64(engine.Slots)
	}
	if engine.Zone != request.Zone {
		cost += crossZoneCost
	}
	return cost
}

type randomPolicy struct{}

// Choose implements Policy.
func (randomPolicy) Choose(admitted []*Engine, _ *Request, _ time.Time) *Engine {
	return admitted[randomInt(len(admitted))]
}

// affinityPolicy keeps requests with the same key on one engine, unless that is much more
// loaded than the next one in the key's order.
type affinityPolicy struct {
	key func(request *Request) string
}

// Choose implements Policy.
func (policy affinityPolicy) Choose(admitted []*Engine, request *Request, now time.Time) *Engine {
	key := policy.key(request)
	if key == "" {
		return leastLoadedPolicy{}.Choose(admitted, request, now)
	}
	first, second := topTwo(admitted, key)
	if second != nil && first.estimatedRunning() > second.estimatedRunning()+affinitySpillThreshold {
		return second
	}
	return first
}

// UsesAssignment reports whether owners assign engines to sessions.
func (directory *Directory) UsesAssignment() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.usesAssignment
}

// RendezvousWeight returns the weight by which engines are ordered for a session when their
// load is equal.
func RendezvousWeight(session, engine string) uint64 { return rendezvousHash(session, engine) }

// topTwo returns the first two engines in a key's order; second is nil if there is only one.
func topTwo(admitted []*Engine, key string) (first, second *Engine) {
	var firstWeight, secondWeight uint64
	for _, candidate := range admitted {
		weight := rendezvousHash(key, candidate.ID)
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

// rendezvousHash returns an engine's weight for an affinity key (rendezvous hashing). The
// engine with the highest weight comes first; if an engine leaves, only its own keys move.
func rendezvousHash(key, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}
