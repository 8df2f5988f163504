package membership

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// SubAgentSeparator separates a root program's ID from the suffix that identifies
// one of its sub-agents.
const SubAgentSeparator = "."

// ShardOf returns the shard of a program, in [0, shards). Sub-agents are on the
// same shard as their root program, whose ID is the part of theirs before the
// first separator.
func ShardOf(programID string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(rootID(programID)) % uint64(shards))
}

// rootID returns the ID of the root program of a program or sub-agent.
func rootID(programID string) string {
	root, _, _ := strings.Cut(programID, SubAgentSeparator)
	return root
}
