package replication

import (
	"math/rand"
	"slices"
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// Replica is one replica of a shard. It must be used by only one goroutine.
type Replica struct {
	config     Config
	random     *rand.Rand
	shard      uint32
	generation uint32
	self       Member

	role     Role
	epoch    Epoch
	votedFor Incarnation
	leader   Incarnation

	log entryLog
	// commit is the last index known to be committed, delivered the last one passed
	// to the host. They differ only between an input and the next Ready.
	commit       uint64
	delivered    uint64
	members      []Member
	membersIndex uint64

	// No vote is granted before noVoteBefore, since the last known leader may hold a
	// lease. It is never moved back, even if the leader changes.
	noVoteBefore     time.Duration
	electionDeadline time.Duration
	joinDeadline     time.Duration
	votes            map[Incarnation]bool
	voteKind         voteKind

	leaderState      *leaderState
	incomingSnapshot *incomingSnapshot

	outbox               []Envelope
	pendingRestore       *RestoredState
	reportedRole         Role
	reportedEpoch        Epoch
	reportedLeader       Incarnation
	reportedMembersIndex uint64
}

// New creates a replica at the time now. If self is one of the group's members, it is
// a founding member whose host has restored the state machine up to base. Otherwise
// it is a learner that asks the members' processes to join.
//
// The incarnation must come from the process's Registry, and random must be seeded
// differently each time the process starts.
func New(config Config, now time.Duration, self Member, group Group, base Base, random *rand.Rand) (*Replica, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	replica := &Replica{
		config:     config,
		random:     random,
		shard:      group.Shard,
		generation: group.Generation,
		self:       self,
		epoch:      MakeEpoch(group.Generation, 0),
		members:    slices.Clone(group.Members),
		role:       charts.Replica.Initial(),
	}
	if findMember(group.Members, self.Incarnation) < 0 {
		replica.joinDeadline = now
		replica.log.baseMembers = replica.members
		return replica, nil
	}
	replica.applyEvent(charts.ReplicaEventMemberCommitted)
	replica.log = entryLog{
		previousIndex:    base.Index,
		previousEpoch:    base.Epoch,
		archived:         base.Index,
		baseMembers:      replica.members,
		baseMembersIndex: base.Index,
	}
	replica.commit = base.Index
	replica.delivered = base.Index
	replica.membersIndex = base.Index
	replica.electionDeadline = now + replica.firstElectionDelay()
	return replica, nil
}

// applyEvent moves the replica to the next state of its state chart. It returns false
// if the event is not valid in the current role.
func (r *Replica) applyEvent(event charts.ReplicaEvent) bool {
	next, refusal := charts.Replica.Next(r.role, event)
	if refusal != nil {
		return false
	}
	r.role = next
	return true
}

// firstElectionDelay lets the first member of the group start an election immediately,
// since no leader of the generation can hold a lease yet.
func (r *Replica) firstElectionDelay() time.Duration {
	if r.members[0].Incarnation == r.self.Incarnation {
		return 0
	}
	return r.electionDelay()
}

func (r *Replica) electionDelay() time.Duration {
	spread := r.config.ElectionTimeoutMax - r.config.ElectionTimeoutMin
	return r.config.ElectionTimeoutMin + time.Duration(r.random.Int63n(int64(spread)))
}

// Shard returns the shard number.
func (r *Replica) Shard() uint32 { return r.shard }

// Self returns the replica's own member entry.
func (r *Replica) Self() Member { return r.self }

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Epoch returns the current epoch.
func (r *Replica) Epoch() Epoch { return r.epoch }

// Leader returns the leader of the current epoch, or "" if it is not known.
func (r *Replica) Leader() Incarnation { return r.leader }

// Members returns the latest group in the log, committed or not.
func (r *Replica) Members() []Member { return slices.Clone(r.members) }

// CommittedIndex returns the last index known to be committed.
func (r *Replica) CommittedIndex() uint64 { return r.commit }

// ArchivedIndex returns the last index known to be stored in the platform's log.
func (r *Replica) ArchivedIndex() uint64 { return r.log.archived }

// BacklogBytes returns the size of the entries that are not yet archived.
func (r *Replica) BacklogBytes() int { return r.log.backlogBytes }

// CommittedEntries returns committed entries after an index, limited to maxBytes but
// at least one. It returns nil if the log no longer holds them. The leader archives
// the entries after ArchivedIndex.
func (r *Replica) CommittedEntries(after uint64, maxBytes int) []Entry {
	return r.entriesBetween(after, r.commit, maxBytes)
}

// LogEntries returns entries after an index, committed or not, limited to maxBytes
// but at least one. It returns nil if the log no longer holds them. A host may
// archive them only with proof that a majority of the generation's members is gone,
// since then no other entries can be committed in their place.
func (r *Replica) LogEntries(after uint64, maxBytes int) []Entry {
	return r.entriesBetween(after, r.log.lastIndex(), maxBytes)
}

func (r *Replica) entriesBetween(after, until uint64, maxBytes int) []Entry {
	if after < r.log.previousIndex {
		return nil
	}
	encoded := r.log.between(after, until, maxBytes)
	entries := make([]Entry, len(encoded))
	for position, entry := range encoded {
		entries[position] = decodeEntry(entry)
	}
	return entries
}

// SetArchived records that committed entries up to index are stored in the platform's
// log. The leader propagates this to the members.
func (r *Replica) SetArchived(index uint64) {
	r.log.setArchived(min(index, r.commit))
}

// Tick advances timers. It must be called several times per HeartbeatInterval.
func (r *Replica) Tick(now time.Duration) {
	switch r.role {
	case RoleLeader:
		r.tickLeader(now)
	case RoleLearner:
		r.tickLearner(now)
	case RoleFollower, RoleCandidate:
		if now >= r.electionDeadline {
			r.campaign(now, preVote)
		}
	}
}

// Retire ends the replica's participation, for example when the stream contains a
// claim of a higher generation.
func (r *Replica) Retire() {
	r.applyEvent(charts.ReplicaEventRemoved)
	r.leader = ""
	r.leaderState = nil
	r.incomingSnapshot = nil
	r.outbox = nil
}

// Receive processes a message from another replica. Messages for other incarnations
// or from earlier generations are ignored.
func (r *Replica) Receive(now time.Duration, message *replicationv1.Message) {
	if r.role == RoleRetired || message.GetShard() != r.shard {
		return
	}
	if to := message.GetTo(); to != "" && to != string(r.self.Incarnation) {
		return
	}
	generation := Epoch(message.GetEpoch()).Generation()
	if generation > r.generation {
		r.Retire()
		return
	}
	if generation < r.generation {
		return
	}
	switch body := message.GetBody().(type) {
	case *replicationv1.Message_JoinRequest:
		r.receiveJoinRequest(now, Incarnation(message.GetFrom()), body.JoinRequest)
	case *replicationv1.Message_VoteRequest:
		r.receiveVoteRequest(now, message, body.VoteRequest)
	case *replicationv1.Message_VoteResponse:
		r.receiveVoteResponse(now, message, body.VoteResponse)
	default:
		r.receiveInEpoch(now, message)
	}
}

// receiveInEpoch processes messages that are valid only in their sender's epoch.
func (r *Replica) receiveInEpoch(now time.Duration, message *replicationv1.Message) {
	from := Incarnation(message.GetFrom())
	epoch := Epoch(message.GetEpoch())
	if epoch > r.epoch {
		r.becomeFollower(now, epoch, charts.ReplicaEventHigherEpochSeen)
	}
	if epoch < r.epoch {
		r.rejectOldEpoch(message)
		return
	}
	switch body := message.GetBody().(type) {
	case *replicationv1.Message_AppendRequest:
		if r.followLeader(now, from) {
			r.receiveAppend(from, body.AppendRequest)
		}
	case *replicationv1.Message_Heartbeat:
		if r.followLeader(now, from) {
			r.receiveHeartbeat(from, body.Heartbeat)
		}
	case *replicationv1.Message_SnapshotChunk:
		if r.followLeader(now, from) {
			r.receiveSnapshotChunk(now, from, body.SnapshotChunk)
		}
	case *replicationv1.Message_TransferOrder:
		r.receiveTransferOrder(now, from)
	case *replicationv1.Message_RetireNotice:
		r.Retire()
	default:
		r.receiveResponse(now, message)
	}
}

// rejectOldEpoch makes the leader of an earlier epoch step down.
func (r *Replica) rejectOldEpoch(message *replicationv1.Message) {
	switch message.GetBody().(type) {
	case *replicationv1.Message_AppendRequest,
		*replicationv1.Message_Heartbeat,
		*replicationv1.Message_SnapshotChunk:
		r.send(Incarnation(message.GetFrom()), appendResponse(false, r.log.lastIndex()+1, 0))
	}
}

func (r *Replica) send(to Incarnation, message *replicationv1.Message) {
	r.sendToProcess(to.Process(), to, message)
}

func (r *Replica) sendToProcess(process string, to Incarnation, message *replicationv1.Message) {
	message.Shard = r.shard
	message.Epoch = uint64(r.epoch)
	message.From = string(r.self.Incarnation)
	message.To = string(to)
	r.outbox = append(r.outbox, Envelope{ToProcess: process, Message: message})
}

// Ready completes a step: it prepares pending messages and returns what the host must
// do. It may follow any number of inputs.
func (r *Replica) Ready(now time.Duration) Output {
	output := Output{}
	if r.role == RoleLeader {
		r.replicate(now)
		output.SnapshotNeeded = r.role == RoleLeader && r.leaderState.needsSnapshot()
	}
	output.Restore = r.pendingRestore
	output.Committed = r.takeCommitted()
	output.Messages = r.outbox
	r.pendingRestore = nil
	r.outbox = nil
	r.compact()
	r.retireIfRemoved()
	r.reportChanges(&output)
	return output
}

func (r *Replica) takeCommitted() []Entry {
	if r.delivered == r.commit {
		return nil
	}
	entries := make([]Entry, 0, r.commit-r.delivered)
	for index := r.delivered + 1; index <= r.commit; index++ {
		entries = append(entries, decodeEntry(r.log.at(index)))
	}
	r.delivered = r.commit
	return entries
}

// compact removes entries that are applied and archived. It does so in batches to
// amortize the copying.
func (r *Replica) compact() {
	done := min(r.delivered, r.log.archived)
	keep := uint64(r.config.KeepEntries)
	if done > r.log.previousIndex+keep+keep {
		r.log.compactTo(done - keep)
	}
}

func (r *Replica) reportChanges(output *Output) {
	output.RoleChanged = r.role != r.reportedRole ||
		r.epoch != r.reportedEpoch ||
		r.leader != r.reportedLeader
	output.MembersChanged = r.membersIndex != r.reportedMembersIndex
	r.reportedRole = r.role
	r.reportedEpoch = r.epoch
	r.reportedLeader = r.leader
	r.reportedMembersIndex = r.membersIndex
}

// refreshMembers puts the latest group in the log into effect.
func (r *Replica) refreshMembers() {
	r.members, r.membersIndex = r.log.membersAt(r.log.lastIndex())
	isMember := findMember(r.members, r.self.Incarnation) >= 0
	if isMember {
		r.applyEvent(charts.ReplicaEventMemberCommitted)
	}
}
