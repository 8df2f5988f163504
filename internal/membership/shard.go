package membership

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// FamilySeparator stands between a root program's id and what its sub-agents'
// ids add to it.
const FamilySeparator = "."

// ShardOf returns the shard, from 0 to shards-1, of a program. A program and
// its sub-agents share the shard of their root, the part of the id before the
// first separator.
func ShardOf(programID string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(rootOf(programID)) % uint64(shards))
}

// rootOf returns the id of the program at the top of a family.
func rootOf(programID string) string {
	root, _, _ := strings.Cut(programID, FamilySeparator)
	return root
}
