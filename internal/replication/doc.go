// Package replication is the pure core of a replicated shard: leader election,
// log replication in memory, leader leases, single-member changes and
// snapshots, after the Raft algorithm with pre-vote, quorum checks and leases.
//
// Nothing here reads a clock, opens a socket, locks or keeps a random source
// of its own. The caller's control goroutine owns every Replica, passes the
// time in and carries out the Output of Ready:
//
//	replica.Receive(now, message) // any number of inputs
//	index, err := replica.Propose(now, data)
//	output := replica.Ready(now) // then send, restore and apply, in this order
//
// The time is a monotonic clock's reading since any fixed start of the process.
// It must be read when the input is taken, not earlier: leases rest on it.
//
// Processes have no disk, so a replica that restarts has forgotten its votes
// and entries. It takes part as a new Incarnation only, which counts for
// nothing until the group commits its admission. Every safety argument of Raft
// then holds with incarnations as the servers, each of which fails by stopping.
package replication
