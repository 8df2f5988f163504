package membership

import (
	"cmp"
	"slices"
)

// PoolsByPreference returns the names of the pools that can serve a program's calls to a
// model, in order of preference. Only pools in the region are returned if there
// are any. Rendezvous hashing of the root program keeps the order stable when
// pools are added or removed, which preserves prefix cache locality.
func PoolsByPreference(pools []Pool, model, region, programID string) []string {
	names := poolsOfModel(pools, model, func(pool Pool) bool { return pool.Region == region })
	if len(names) == 0 {
		names = poolsOfModel(pools, model, func(Pool) bool { return true })
	}
	key := rootID(programID)
	slices.SortStableFunc(names, func(left, right string) int {
		return cmp.Compare(score(key, right), score(key, left))
	})
	return names
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
