package replication

import (
	"errors"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// Errors of proposals and orders. None of them has changed anything.
var (
	// ErrNotLeader says that another replica leads, or none; see Leader.
	ErrNotLeader = errors.New("not the leader")
	// ErrNoLease says that the replica leads but can't be sure of it now.
	ErrNoLease = errors.New("leader holds no lease")
	// ErrBacklogFull says that too many bytes wait to be archived.
	ErrBacklogFull = errors.New("backlog of unarchived entries is full")
	// ErrTransferring says that leadership is being handed over.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrChangePending says that a member change is not yet committed.
	ErrChangePending = errors.New("a member change is pending")
	// ErrTooFewHeard says that a member change would leave the group without a
	// majority of members heard of late.
	ErrTooFewHeard = errors.New("too few members are heard")
	// ErrUnknownMember says that an order names no member that it may name.
	ErrUnknownMember = errors.New("unknown member")
	// ErrNoSnapshotWanted says that no member waits for a snapshot.
	ErrNoSnapshotWanted = errors.New("no snapshot wanted")
)

// Role is a state of the replica chart, charts/replica.yaml.
type Role = charts.ReplicaState

// Roles of a replica.
const (
	// RoleLearner receives entries and votes if asked, but is no member yet.
	RoleLearner   = charts.ReplicaStateLearner
	RoleFollower  = charts.ReplicaStateFollower
	RoleCandidate = charts.ReplicaStateCandidate
	RoleLeader    = charts.ReplicaStateLeader
	// RoleRetired takes no part any more; the host drops the replica.
	RoleRetired = charts.ReplicaStateRetired
)

// EntryKind says what an entry holds.
type EntryKind = replicationv1.EntryKind

// Kinds of entries; the state machine acts on KindCommand and KindEpochStart.
const (
	KindCommand    = replicationv1.EntryKind_ENTRY_KIND_COMMAND
	KindEpochStart = replicationv1.EntryKind_ENTRY_KIND_EPOCH_START
	KindMembers    = replicationv1.EntryKind_ENTRY_KIND_MEMBERS
)

// Entry is a committed entry of a shard's log.
type Entry struct {
	Index uint64
	// Epoch is of the leader that proposed the entry. A proposer whose index
	// commits with another epoch than its own knows that its entry is not run.
	Epoch Epoch
	Kind  EntryKind
	Data  []byte
	// Members is the group from here on, for KindMembers.
	Members []Member
}

// Envelope is a message and the process to send it to.
type Envelope struct {
	ToProcess string
	Message   *replicationv1.Message
	// Spare marks a heartbeat that need not be sent: the member has answered an
	// append of late, which renewed the lease and held its election off.
	Spare bool
}

// RestoredState replaces the state machine's state.
type RestoredState struct {
	Index uint64
	State []byte
}

// Output is what the host has to do after a step, in the order of the fields.
type Output struct {
	// Messages may be lost, repeated and reordered on their way.
	Messages []Envelope
	// Restore, if set, replaces the state before Committed is applied.
	Restore *RestoredState
	// Committed holds entries to apply, in order and without gaps.
	Committed []Entry
	// SnapshotWanted asks for ProvideSnapshot once Committed is applied.
	SnapshotWanted bool
	// RoleChanged says that Role, Epoch or Leader differ from the last Output.
	RoleChanged bool
	// MembersChanged says that Members differ from the last Output.
	MembersChanged bool
}
