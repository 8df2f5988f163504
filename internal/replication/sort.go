package replication

import (
	"cmp"
	"slices"
)

func sortDescending[T cmp.Ordered](values []T) {
	slices.SortFunc(values, func(left, right T) int {
		return cmp.Compare(right, left)
	})
}
