package membership

import (
	"cmp"
	"slices"
)

// PoolsFor returns the pools of a model that a program's calls may go to, the
// preferred one first: by rendezvous of the program, those of the region alone
// where it has any. A program keeps its preference while pools come and go, so
// that its cached prefixes are found again.
func PoolsFor(pools []Pool, model, region, programID string) []string {
	near := poolsOfModel(pools, model, func(pool Pool) bool { return pool.Region == region })
	if len(near) == 0 {
		near = poolsOfModel(pools, model, func(Pool) bool { return true })
	}
	key := rootOf(programID)
	slices.SortStableFunc(near, func(left, right string) int {
		return cmp.Compare(score(key, right), score(key, left))
	})
	return near
}

func poolsOfModel(pools []Pool, model string, wanted func(Pool) bool) []string {
	var names []string
	for _, pool := range pools {
		if pool.Model == model && wanted(pool) {
			names = append(names, pool.Name)
		}
	}
	return names
}
