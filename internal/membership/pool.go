package membership

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// MaxPoolEngines is the maximum number of engines in a pool.
	MaxPoolEngines = 16
	// targetPoolEngines is below MaxPoolEngines so that engines joining or leaving
	// rarely move other engines to another pool.
	targetPoolEngines = 12
)

// Engine is a model engine to be assigned to a pool.
type Engine struct {
	ID     string
	Model  string
	Region string
}

// Pool is a set of engines of one model in one region, whose slots are granted
// by a single keeper.
type Pool struct {
	// Name is "model/region/number".
	Name   string
	Model  string
	Region string
	// Engines holds sorted engine IDs.
	Engines []string
}

// poolKey groups engines that can share a pool.
type poolKey struct {
	model  string
	region string
}

// AssignPools assigns each engine to a pool. The pools are sorted by model,
// region and number.
func AssignPools(engines []Engine) []Pool {
	idsByKey := map[poolKey][]string{}
	for _, engine := range engines {
		key := poolKey{model: engine.Model, region: engine.Region}
		idsByKey[key] = append(idsByKey[key], engine.ID)
	}
	keys := make([]poolKey, 0, len(idsByKey))
	for key := range idsByKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(left, right poolKey) int {
		return cmp.Or(cmp.Compare(left.model, right.model), cmp.Compare(left.region, right.region))
	})
	pools := []Pool{}
	for _, key := range keys {
		pools = append(pools, fillPools(key, idsByKey[key])...)
	}
	return pools
}

// fillPools distributes the engines of one key over pools by rendezvous hashing,
// at most MaxPoolEngines each.
func fillPools(key poolKey, engines []string) []Pool {
	slices.Sort(engines)
	engines = slices.Compact(engines)
	pools := make([]Pool, (len(engines)+targetPoolEngines-1)/targetPoolEngines)
	for number := range pools {
		pools[number] = Pool{
			Name:   fmt.Sprintf("%s/%s/%d", key.model, key.region, number),
			Model:  key.model,
			Region: key.region,
		}
	}
	for _, engine := range engines {
		best := highestScoredPool(pools, engine)
		pools[best].Engines = append(pools[best].Engines, engine)
	}
	return slices.DeleteFunc(pools, func(pool Pool) bool { return len(pool.Engines) == 0 })
}

func highestScoredPool(pools []Pool, engine string) int {
	best := -1
	for number, pool := range pools {
		if len(pool.Engines) >= MaxPoolEngines {
			continue
		}
		if best < 0 || score(engine, pool.Name) > score(engine, pools[best].Name) {
			best = number
		}
	}
	return best
}
