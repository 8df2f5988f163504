package replication

import (
	"errors"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// Errors of Replica methods. The replica is unchanged if one is returned.
var (
	// ErrNotLeader means that the replica is not the leader; see Leader.
	ErrNotLeader = errors.New("not the leader")
	// ErrNoLease means that the leader does not hold a valid lease.
	ErrNoLease = errors.New("leader does not hold a valid lease")
	// ErrBacklogFull means that too many bytes are waiting to be archived.
	ErrBacklogFull = errors.New("backlog of unarchived entries is full")
	// ErrTransferring means that a leadership transfer is in progress.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrChangePending means that another membership change must be committed, or
	// earlier ones archived, first.
	ErrChangePending = errors.New("a membership change is not yet committed or archived")
	// ErrTooFewActiveMembers means that a membership change would leave the group
	// without a majority of recently active members.
	ErrTooFewActiveMembers = errors.New("too few active members for the membership change")
	// ErrUnknownMember means that the given member is not valid for the operation.
	ErrUnknownMember = errors.New("unknown member")
	// ErrNoSnapshotNeeded means that no member needs a snapshot.
	ErrNoSnapshotNeeded = errors.New("no member needs a snapshot")
)

// Role is a state of the replica state chart, charts/replica.yaml.
type Role = charts.ReplicaState

// Replica roles.
const (
	// RoleLearner receives entries and answers vote requests, but its vote does not
	// count until it is a member.
	RoleLearner   = charts.ReplicaStateLearner
	RoleFollower  = charts.ReplicaStateFollower
	RoleCandidate = charts.ReplicaStateCandidate
	RoleLeader    = charts.ReplicaStateLeader
	// RoleRetired no longer participates; the host discards the replica.
	RoleRetired = charts.ReplicaStateRetired
)

// EntryKind is the type of an entry.
type EntryKind = replicationv1.EntryKind

// Entry kinds. The state machine handles KindCommand and KindEpochStart.
const (
	KindCommand    = replicationv1.EntryKind_ENTRY_KIND_COMMAND
	KindEpochStart = replicationv1.EntryKind_ENTRY_KIND_EPOCH_START
	KindMembers    = replicationv1.EntryKind_ENTRY_KIND_MEMBERS
)

// Entry is a committed entry of a shard's log.
type Entry struct {
	Index uint64
	// Epoch is the epoch of the leader that proposed the entry. If the entry at a
	// proposed index commits with another epoch, the proposal was not applied.
	Epoch Epoch
	Kind  EntryKind
	Data  []byte
	// Members is the group that takes effect with the entry, for KindMembers.
	Members []Member
}

// Envelope is a message with its destination process.
type Envelope struct {
	ToProcess string
	Message   *replicationv1.Message
	// Optional marks a heartbeat that may be omitted, because a recent response of the
	// member has renewed the lease and the message it answers has reset the member's
	// election timeout.
	Optional bool
}

// RestoredState replaces the state of the state machine.
type RestoredState struct {
	Index uint64
	State []byte
}

// Output lists what the host must do after a step, in the order of the fields.
type Output struct {
	// Messages may be lost, duplicated or reordered in transit.
	Messages []Envelope
	// Restore, if set, replaces the state before Committed is applied.
	Restore *RestoredState
	// Committed holds the entries to apply, in order and without gaps.
	Committed []Entry
	// SnapshotNeeded requests ProvideSnapshot after Committed is applied.
	SnapshotNeeded bool
	// RoleChanged means that Role, Epoch or Leader differs from the last Output.
	RoleChanged bool
	// MembersChanged means that Members differs from the last Output.
	MembersChanged bool
}
