package membership

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// MaxPoolEngines bounds the engines of one pool.
	MaxPoolEngines = 16
	// targetPoolEngines leaves room, so that engines that come and go seldom
	// push others into another pool.
	targetPoolEngines = 12
)

// Engine is a model engine to be put into a pool.
type Engine struct {
	ID     string
	Model  string
	Region string
}

// Pool is engines of one model in one region that one keeper grants slots on.
type Pool struct {
	// Name is "model/region/number".
	Name   string
	Model  string
	Region string
	// Engines are ids, sorted.
	Engines []string
}

// poolKind is what all engines of a pool have in common.
type poolKind struct {
	model  string
	region string
}

// AssignPools puts each engine into a pool. Pools come in the order of their
// model, region and number.
func AssignPools(engines []Engine) []Pool {
	byKind := map[poolKind][]string{}
	for _, engine := range engines {
		kind := poolKind{model: engine.Model, region: engine.Region}
		byKind[kind] = append(byKind[kind], engine.ID)
	}
	kinds := make([]poolKind, 0, len(byKind))
	for kind := range byKind {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(left, right poolKind) int {
		return cmp.Or(cmp.Compare(left.model, right.model), cmp.Compare(left.region, right.region))
	})
	pools := []Pool{}
	for _, kind := range kinds {
		pools = append(pools, poolsOf(kind, byKind[kind])...)
	}
	return pools
}

// poolsOf fills the pools of one kind by rendezvous, none over its bound.
func poolsOf(kind poolKind, engines []string) []Pool {
	slices.Sort(engines)
	engines = slices.Compact(engines)
	pools := make([]Pool, (len(engines)+targetPoolEngines-1)/targetPoolEngines)
	for number := range pools {
		pools[number] = Pool{
			Name:   fmt.Sprintf("%s/%s/%d", kind.model, kind.region, number),
			Model:  kind.model,
			Region: kind.region,
		}
	}
	for _, engine := range engines {
		best := bestPool(pools, engine)
		pools[best].Engines = append(pools[best].Engines, engine)
	}
	return slices.DeleteFunc(pools, func(pool Pool) bool { return len(pool.Engines) == 0 })
}

func bestPool(pools []Pool, engine string) int {
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
