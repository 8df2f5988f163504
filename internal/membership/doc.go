// Package membership assigns shards to processes, a preferred leader to each
// shard, and engines to pools. All assignments are pure functions of the list of
// processes or engines, so every process with the same list computes the same
// result.
//
// Assignments use rendezvous hashing: each candidate is scored by a hash of the
// key and its name, and the highest score wins. When a candidate leaves, only
// the keys assigned to it move, apart from shifts caused by load limits.
package membership
