package keeper

import (
	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/cache"
	"github.com/magpielug/magpielug/internal/placement"
	"github.com/magpielug/magpielug/internal/queue"
)

// Policies are the choices a keeper makes by replaceable parts. A Placement has
// state of its own: one value serves one keeper.
type Policies struct {
	Order     queue.Order
	Placement *placement.Policy
	Cache     cache.Policy
	// ManagesCache is false when the engines' own eviction rules alone: then no
	// cache orders are given, not even at a program's end.
	ManagesCache bool
}

// PoliciesByName builds policies from the names of the configuration. An empty
// name takes the default policy; affinityPercent 0 takes the default weight.
func PoliciesByName(queueName, placementName, cacheName string, affinityPercent uint32) (Policies, error) {
	order, err := queue.ByName(queueName)
	if err != nil {
		return Policies{}, eris.Wrap(err, "queue policy")
	}
	placed, err := placement.ByName(placementName, affinityPercent)
	if err != nil {
		return Policies{}, eris.Wrap(err, "placement policy")
	}
	cached, err := cache.ByName(cacheName)
	if err != nil {
		return Policies{}, eris.Wrap(err, "cache policy")
	}
	return Policies{
		Order:        order,
		Placement:    placed,
		Cache:        cached,
		ManagesCache: cacheName != cache.None,
	}, nil
}
