// Package replication implements the deterministic core of a replicated shard:
// leader election, in-memory log replication, leader leases, single-member
// membership changes and snapshots. It follows Raft with pre-vote, check-quorum
// and leader leases.
//
// The package reads no clock, does no I/O, takes no locks and has no random
// source of its own. The caller's control goroutine owns every Replica, passes
// in the time and processes the Output of Ready:
//
//	replica.Receive(now, message) // any number of inputs
//	index, err := replica.Propose(now, data)
//	output := replica.Ready(now) // then send, restore and apply, in this order
//
// Times are readings of a monotonic clock. The clock must be read when the input
// is processed, not earlier, since the safety of leases depends on it.
//
// Processes have no persistent storage, so a restarted replica has lost its votes
// and entries. It rejoins as a new Incarnation, which is not a member until the
// group commits its admission. The safety properties of Raft then hold for
// incarnations as servers with crash-stop failures.
package replication
