package workload

import (
	"fmt"
	"time"
)

// Deployment is one user's machines and the programs that run on them.
type Deployment struct {
	Name  string
	Zones []string
	// ModelEngines serve model calls; ApplicationBackEnds serve tool calls,
	// ToolSlots at a time each.
	ModelEngines        int
	ApplicationBackEnds int
	ToolSlots           int
	// ZoneDelay is one way between zones; ClientDelay is one way to callers.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// Tiers stand from the highest to the lowest.
	Tiers []Tier
	Kinds []Kind
}

// Tier is a priority class.
type Tier struct {
	Name string
	// Weight is the tier's share under contention.
	Weight uint32
	// WaitBound is the longest predicted wait that the tier accepts.
	WaitBound time.Duration
}

// Kind describes one kind of agent program.
type Kind struct {
	Name string
	Tier string
	// Share of all programs that arrive; 0 for a kind that is only spawned.
	Share float64
	// SystemTokens is the length of the prompt that all programs of the kind
	// begin with.
	SystemTokens int
	Turns        Distribution
	// NewPrompt and Output are tokens a turn.
	NewPrompt Distribution
	Output    Distribution
	// Pause is the tool's time after a turn, in milliseconds.
	Pause Distribution
	Spawn Spawn
	Burst Burst
}

// Spawn says how a kind spawns sub-agents.
type Spawn struct {
	// Kind of the sub-agents; empty for none.
	Kind string
	// Chance that a turn spawns, and how many it spawns then.
	Chance float64
	Count  Distribution
}

// Burst groups arrivals. A zero Burst is a Poisson process.
type Burst struct {
	// MeanSize is the mean of the geometric number of programs in a burst.
	MeanSize float64
	// Spread is the time over which a burst's programs arrive.
	Spread time.Duration
}

// DeploymentByName returns a built-in deployment.
func DeploymentByName(name string) (Deployment, error) {
	for _, deployment := range []Deployment{Namibia(), Cairo()} {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q: namibia or cairo", name)
}

// LowestKind names a kind of the lowest tier.
func (deployment Deployment) LowestKind() string {
	lowest := deployment.Tiers[len(deployment.Tiers)-1].Name
	for _, kind := range deployment.Kinds {
		if kind.Tier == lowest {
			return kind.Name
		}
	}
	return deployment.Kinds[0].Name
}

// TierByName returns the tier called name; the zero tier if there is none.
func (deployment Deployment) TierByName(name string) Tier {
	for _, tier := range deployment.Tiers {
		if tier.Name == name {
			return tier
		}
	}
	return Tier{}
}

// OutputBound is the most tokens that a turn of a kind can generate: what a
// caller of that kind asks for as its bound.
func (deployment Deployment) OutputBound(kindName string) int {
	kind, _ := deployment.kind(kindName)
	return int(kind.Output.High)
}

// kind returns the kind called name and its index.
func (deployment Deployment) kind(name string) (Kind, int) {
	for index, kind := range deployment.Kinds {
		if kind.Name == name {
			return kind, index
		}
	}
	return Kind{}, -1
}

// OnlyTier returns the deployment with programs of one tier alone. Their
// shares keep their proportions.
func (deployment Deployment) OnlyTier(tier string) Deployment {
	kinds := make([]Kind, len(deployment.Kinds))
	copy(kinds, deployment.Kinds)
	for index := range kinds {
		if kinds[index].Tier != tier {
			kinds[index].Share = 0
		}
	}
	deployment.Kinds = kinds
	return deployment
}
