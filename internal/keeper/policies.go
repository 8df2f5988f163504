package keeper

import (
	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/cache"
	"github.com/magpielug/magpielug/internal/placement"
	"github.com/magpielug/magpielug/internal/queue"
)

// Policies are the replaceable decision algorithms of a keeper. A placement
// policy has state and must not be shared between keepers.
type Policies struct {
	Order     queue.Order
	Placement *placement.Policy
	Cache     cache.Policy
	// ManagesCache is false when the cache is left to the engines' own
	// eviction. No cache commands are sent then, not even when a program ends.
	ManagesCache bool
}

// PoliciesByName returns the named policies. An empty name selects the default
// policy, affinityPercent 0 the default weight.
func PoliciesByName(queueName, placementName, cacheName string, affinityPercent uint32) (Policies, error) {
	order, err := queue.ByName(queueName)
	if err != nil {
		return Policies{}, eris.Wrap(err, "queue policy")
	}
	placementPolicy, err := placement.ByName(placementName, affinityPercent)
	if err != nil {
		return Policies{}, eris.Wrap(err, "placement policy")
	}
	cachePolicy, err := cache.ByName(cacheName)
	if err != nil {
		return Policies{}, eris.Wrap(err, "cache policy")
	}
	return Policies{
		Order:        order,
		Placement:    placementPolicy,
		Cache:        cachePolicy,
		ManagesCache: cacheName != cache.None,
	}, nil
}
