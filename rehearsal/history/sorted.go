package history

import (
	"maps"
	"slices"
)

func sortedKeys[Value any](values map[string]Value) []string {
	return slices.Sorted(maps.Keys(values))
}
