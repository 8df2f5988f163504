package workload

import (
	"fmt"
	"time"
)

// Deployment describes a site's zones, engines and tiers, and the mix of
// programs that it runs.
type Deployment struct {
	Name  string
	Zones []string
	// ModelEngines is the number of engines that serve model calls.
	// ApplicationBackEnds is the number of back ends that serve tool calls, each
	// at most ToolSlots concurrently.
	ModelEngines        int
	ApplicationBackEnds int
	ToolSlots           int
	// ZoneDelay is the one-way network delay between zones, ClientDelay the
	// one-way delay to callers.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// Tiers are sorted from the highest to the lowest priority.
	Tiers []Tier
	Kinds []Kind
}

// Tier is a priority class.
type Tier struct {
	Name string
	// Weight is the tier's relative share of capacity under contention.
	Weight uint32
	// WaitBound is the longest predicted queue wait at which a call of the tier
	// is accepted.
	WaitBound time.Duration
}

// Kind is a class of agent programs and the distributions that its programs are
// drawn from.
type Kind struct {
	Name string
	Tier string
	// Share is the fraction of arriving programs that are of this kind; 0 for a
	// kind that exists only as a sub-agent.
	Share float64
	// SystemTokens is the length of the system prompt shared by all programs of
	// the kind.
	SystemTokens int
	Turns        Distribution
	// NewPrompt and Output are in tokens per turn.
	NewPrompt Distribution
	Output    Distribution
	// Pause is the tool time after a turn, in milliseconds.
	Pause Distribution
	Spawn Spawn
	Burst Burst
}

// Spawn describes the sub-agents that a kind's turns start.
type Spawn struct {
	// Kind is the sub-agents' kind; empty if the kind spawns none.
	Kind string
	// Chance is the probability that a turn spawns sub-agents, Count how many it
	// spawns then.
	Chance float64
	Count  Distribution
}

// Burst describes arrivals in bursts. The zero value is a plain Poisson process.
type Burst struct {
	// MeanSize is the mean number of programs in a burst, which is geometrically
	// distributed.
	MeanSize float64
	// Spread is the interval within which a burst's programs arrive.
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

// LowestTierKind returns the name of the first kind in the lowest tier.
func (deployment Deployment) LowestTierKind() string {
	lowest := deployment.Tiers[len(deployment.Tiers)-1].Name
	for _, kind := range deployment.Kinds {
		if kind.Tier == lowest {
			return kind.Name
		}
	}
	return deployment.Kinds[0].Name
}

// TierByName returns the tier with the given name, or the zero Tier if there is
// none.
func (deployment Deployment) TierByName(name string) Tier {
	for _, tier := range deployment.Tiers {
		if tier.Name == name {
			return tier
		}
	}
	return Tier{}
}

// MaxOutputTokens returns the maximum number of tokens that a turn of the kind
// generates, which callers send as the call's token limit.
func (deployment Deployment) MaxOutputTokens(kindName string) int {
	kind, _ := deployment.kind(kindName)
	return int(kind.Output.High)
}

// kind returns the kind with the given name and its index, or -1 if there is
// none.
func (deployment Deployment) kind(name string) (Kind, int) {
	for index, kind := range deployment.Kinds {
		if kind.Name == name {
			return kind, index
		}
	}
	return Kind{}, -1
}

// OnlyTier returns a copy of the deployment in which only programs of the tier
// arrive. The kinds of the tier keep their relative shares.
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
