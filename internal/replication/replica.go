package replication

import (
	"math/rand"
	"slices"
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// Replica is one replica of a shard. It belongs to one goroutine.
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
	// commit is the last entry known to be committed, emitted the last one
	// handed to the host. They differ only between a step and its Ready.
	commit       uint64
	emitted      uint64
	members      []Member
	membersIndex uint64

	// Until promiseEnd no vote is given, since the leader last heard may hold
	// a lease. It is never shortened, whichever leader comes after.
	promiseEnd       time.Duration
	electionDeadline time.Duration
	joinDeadline     time.Duration
	votes            map[Incarnation]bool
	ballot           ballot

	lead     *leadership
	incoming *incomingSnapshot

	outbox        []Envelope
	restore       *RestoredState
	reportedRole  Role
	reportedEpoch Epoch
	reportedLead  Incarnation
	reportedIndex uint64
}

// New makes a replica at the time now. A self that is among the group's members
// founds the group; its host has restored the state machine up to base. Any
// other self is a learner that asks the members' processes to be taken in.
//
// The incarnation must come from the process's Registry, and random from a
// source seeded differently at every start of the process.
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
	replica.fire(charts.ReplicaEventMemberCommitted)
	replica.log = entryLog{
		previousIndex:    base.Index,
		previousEpoch:    base.Epoch,
		archived:         base.Index,
		baseMembers:      replica.members,
		baseMembersIndex: base.Index,
	}
	replica.commit = base.Index
	replica.emitted = base.Index
	replica.membersIndex = base.Index
	replica.electionDeadline = now + replica.firstElectionDelay()
	return replica, nil
}

// fire takes the replica along its chart. It returns false for an event that
// the chart refuses in the present role.
func (r *Replica) fire(event charts.ReplicaEvent) bool {
	next, refusal := charts.Replica.Next(r.role, event)
	if refusal != nil {
		return false
	}
	r.role = next
	return true
}

// firstElectionDelay lets the first member named campaign at once: no leader of
// the generation can hold a lease yet.
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

// Shard returns the number of the shard.
func (r *Replica) Shard() uint32 { return r.shard }

// Self returns the replica itself.
func (r *Replica) Self() Member { return r.self }

// Role returns the role in the replica's state chart.
func (r *Replica) Role() Role { return r.role }

// Epoch returns the highest epoch the replica has taken part in.
func (r *Replica) Epoch() Epoch { return r.epoch }

// Leader returns the leader of the epoch, or "" while it isn't known.
func (r *Replica) Leader() Incarnation { return r.leader }

// Members returns the latest group in the log, committed or not.
func (r *Replica) Members() []Member { return slices.Clone(r.members) }

// CommittedIndex returns the last index known to be committed.
func (r *Replica) CommittedIndex() uint64 { return r.commit }

// ArchivedIndex returns the last index known to stand in the platform's log.
func (r *Replica) ArchivedIndex() uint64 { return r.log.archived }

// BacklogBytes returns the size of the entries that are not yet archived.
func (r *Replica) BacklogBytes() int { return r.log.backlogBytes }

// CommittedEntries returns committed entries after an index, as many as fit
// into maxBytes and at least one, if the log still holds them. A new leader
// takes from here, from ArchivedIndex on, what it has to archive.
func (r *Replica) CommittedEntries(after uint64, maxBytes int) []Entry {
	return r.entriesBetween(after, r.commit, maxBytes)
}

// TailEntries returns entries after an index, committed or not, as many as fit
// into maxBytes and at least one, if the log still holds them. Only a host with
// the proof that a majority of the generation's members is gone may archive
// them: then no other entry can be committed in their place.
func (r *Replica) TailEntries(after uint64, maxBytes int) []Entry {
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

// SetArchived tells that committed entries up to index stand in the platform's
// log. On the leader it spreads to the members.
func (r *Replica) SetArchived(index uint64) {
	r.log.setArchived(min(index, r.commit))
}

// Tick takes note of the time. It is due several times a HeartbeatInterval.
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

// Retire ends the replica's part, for instance when the stream shows a claim of
// a higher generation. It is as if its process had died.
func (r *Replica) Retire() {
	r.fire(charts.ReplicaEventRemoved)
	r.leader = ""
	r.lead = nil
	r.incoming = nil
	r.outbox = nil
}

// Receive takes in a message from another replica. What isn't meant for this
// incarnation or comes from an earlier generation is ignored.
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

// receiveInEpoch handles the messages that count in their sender's epoch only.
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
		r.receiveAcknowledgement(now, message)
	}
}

// rejectOldEpoch tells a leader of an earlier epoch that it is one no more.
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

// Ready closes a step: it sends what is pending, and returns what the host has
// to do. It may follow any number of inputs.
func (r *Replica) Ready(now time.Duration) Output {
	output := Output{}
	if r.role == RoleLeader {
		r.replicate(now)
		output.SnapshotWanted = r.role == RoleLeader && r.lead.wantsSnapshot()
	}
	output.Restore = r.restore
	output.Committed = r.takeCommitted()
	output.Messages = r.outbox
	r.restore = nil
	r.outbox = nil
	r.compact()
	r.retireIfRemoved()
	r.reportChanges(&output)
	return output
}

func (r *Replica) takeCommitted() []Entry {
	if r.emitted == r.commit {
		return nil
	}
	entries := make([]Entry, 0, r.commit-r.emitted)
	for index := r.emitted + 1; index <= r.commit; index++ {
		entries = append(entries, decodeEntry(r.log.at(index)))
	}
	r.emitted = r.commit
	return entries
}

// compact drops entries that are applied and archived, in strides so that the
// copying stays cheap.
func (r *Replica) compact() {
	done := min(r.emitted, r.log.archived)
	keep := uint64(r.config.KeepEntries)
	if done > r.log.previousIndex+keep+keep {
		r.log.compactTo(done - keep)
	}
}

func (r *Replica) reportChanges(output *Output) {
	output.RoleChanged = r.role != r.reportedRole ||
		r.epoch != r.reportedEpoch ||
		r.leader != r.reportedLead
	output.MembersChanged = r.membersIndex != r.reportedIndex
	r.reportedRole = r.role
	r.reportedEpoch = r.epoch
	r.reportedLead = r.leader
	r.reportedIndex = r.membersIndex
}

// refreshMembers takes the latest group of the log into force.
func (r *Replica) refreshMembers() {
	r.members, r.membersIndex = r.log.membersAt(r.log.lastIndex())
	isMember := findMember(r.members, r.self.Incarnation) >= 0
	if isMember {
		r.fire(charts.ReplicaEventMemberCommitted)
	}
}
