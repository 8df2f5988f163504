// Package membership decides, as pure functions of a list of processes, which
// processes hold a shard, which one should lead it, and which one keeps a pool
// of engines. Every process that has the same list decides the same.
//
// All choices are by rendezvous hashing: each candidate gets a score from the
// hash of the key and its name, and the highest wins. When a candidate leaves,
// only what it had won moves.
package membership
