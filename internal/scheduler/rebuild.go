package scheduler

import (
	"fmt"
	"slices"
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/shard"
)

const (
	// rebuildAfter is the time without a leader after which a shard's members check whether the
	// group has permanently lost its majority.
	rebuildAfter = 8 * time.Second
	// abstainInterval is the interval between abstain requests.
	abstainInterval = time.Second
)

// rebuild is an attempt to found a shard's group again from its stream, with a higher
// generation, after a majority of its replicas was lost at once.
//
// It requires proof that a majority of the old members is gone: they are no longer in the
// machine list, or have promised to abstain. Then nothing more can be committed in the old
// generation, and each remaining voter first archives the tail of its log. Unarchived entries
// that only lost members held are lost.
type rebuild struct {
	generation  uint32
	lost        map[string]bool
	lastRequest time.Duration
	// provenAt is the time at which the proof was complete, valid if proven is true.
	proven   bool
	provenAt time.Duration
	// unarchivedTails holds the remaining voters that have not archived the tail of their logs yet.
	unarchivedTails map[string]bool
	// tailRequested is true at a remaining voter once a claimant has the proof.
	tailRequested bool
}

func newRebuild() *rebuild {
	return &rebuild{lost: make(map[string]bool), unarchivedTails: make(map[string]bool), lastRequest: -abstainInterval}
}

// fromLeader reports whether the message is one that only a leader sends.
func fromLeader(message *replicationv1.Message) bool {
	switch message.Body.(type) {
	case *replicationv1.Message_AppendRequest, *replicationv1.Message_Heartbeat, *replicationv1.Message_SnapshotChunk:
		return true
	}
	return false
}

// hasLeader reports whether the shard's group has recently had a leader.
func (host *host) hasLeader() bool {
	return host.leads() || host.core.now-host.leaderHeardAt < rebuildAfter
}

// tickRebuild starts, continues or ends the rebuild of an assignment whose replica hears from no
// leader.
func (core *Core) tickRebuild(assignment *assignment, host *host) {
	if host.hasLeader() {
		assignment.rebuild = nil
		return
	}
	if assignment.rebuild == nil {
		assignment.restartRead(core)
		assignment.rebuild = newRebuild()
		core.log("shard_without_leader", assignment.number, "", "", host.replica.Role().String())
	}
	core.readAssignment(assignment)
	if !assignment.atEnd {
		return
	}
	if assignment.archive.Claim().Generation > host.generation {
		host.replica.Retire()
		host.markDirty()
		return
	}
	if assignment.rebuild.tailRequested && core.archiveTail(host, assignment) {
		return
	}
	core.reclaimGroup(assignment)
}

// archiveTail appends the entries in this replica's log that are missing in the stream, and
// reports whether there were any or an append is in progress.
func (core *Core) archiveTail(host *host, assignment *assignment) bool {
	if assignment.appending {
		return true
	}
	entries := host.replica.LogEntries(assignment.archive.Last().Index, maximumArchiveBytes)
	if len(entries) == 0 {
		return false
	}
	data, err := replication.EncodeEntries(assignment.number, host.generation, entries)
	if err != nil {
		core.log("archive_unencodable", assignment.number, "", "", err.Error())
		return false
	}
	assignment.appending = true
	assignment.atEnd = false
	core.log("tail_archived", assignment.number, "", "", fmt.Sprintf("%d entries", len(entries)))
	core.emit(AppendStream{Shard: assignment.number, Data: data, UpTo: entries[len(entries)-1].Index})
	return true
}

// holdsTail reports whether this replica's log may have entries that are missing in the stream.
func (core *Core) holdsTail(assignment *assignment, host *host) bool {
	if assignment == nil || assignment.rebuild == nil || !assignment.atEnd || assignment.appending {
		return true
	}
	return len(host.replica.LogEntries(assignment.archive.Last().Index, 1)) > 0
}

// restartRead discards the view and reads the stream again for the state of a new generation.
func (assignment *assignment) restartRead(core *Core) {
	restarted := core.newAssignment(assignment.number)
	restarted.appending = assignment.appending
	restarted.reading = assignment.reading
	restarted.snapshotIndex = assignment.snapshotIndex
	*assignment = *restarted
}

// restartReadBelow is like restartRead but ignores snapshots of the given and later generations.
func (assignment *assignment) restartReadBelow(core *Core, generation uint32) {
	attempt := assignment.rebuild
	assignment.restartRead(core)
	assignment.excludedFrom = generation
	assignment.rebuild = attempt
}

// reclaimGroup gathers the proof and appends the claim if this process is the shard's first
// assigned member that is alive.
func (core *Core) reclaimGroup(assignment *assignment) {
	members := core.assignedMembers(assignment.number)
	if assignment.appending || core.firstAlive(members) != core.config.Process {
		return
	}
	attempt := assignment.rebuild
	if attempt.generation != assignment.archive.Claim().Generation {
		attempt.generation = assignment.archive.Claim().Generation
		clear(attempt.lost)
		clear(attempt.unarchivedTails)
		attempt.proven = false
	}
	core.askToAbstain(assignment, members)
	claimID := fmt.Sprintf("%s/%d/%d", core.Incarnation(), assignment.number, attempt.generation)
	claim, err := assignment.archive.NextClaim(claimID, core.founders(assignment.number, members), core.isLost(attempt))
	if err != nil {
		attempt.proven = false
		return
	}
	if !attempt.proven {
		attempt.proven = true
		attempt.provenAt = core.now
	}
	if core.now-attempt.provenAt < core.config.Replication.RebuildDelay() || len(claim.Members) == 0 {
		return
	}
	if core.awaitsTail(attempt) {
		return
	}
	core.appendClaim(assignment, claim)
}

// awaitsTail reports whether a remaining voter that is alive has not archived its tail yet,
// according to its last reply.
func (core *Core) awaitsTail(attempt *rebuild) bool {
	for _, process := range sortedKeys(attempt.unarchivedTails) {
		if core.directory.alive(process, core.now, peerLivenessTimeout) {
			return true
		}
	}
	return false
}

func (core *Core) appendClaim(assignment *assignment, claim replication.Claim) {
	data, err := replication.EncodeClaim(claim)
	if err != nil {
		core.log("claim_unencodable", assignment.number, "", "", err.Error())
		return
	}
	assignment.appending = true
	core.log("group_claimed", assignment.number, "", "", fmt.Sprintf("generation %d with %d members", claim.Generation, len(claim.Members)))
	core.emit(AppendStream{Shard: assignment.number, Data: data})
}

// firstAlive returns the first process that is alive, or "".
func (core *Core) firstAlive(processes []string) string {
	for _, process := range processes {
		if core.directory.alive(process, core.now, peerLivenessTimeout) {
			return process
		}
	}
	return ""
}

func (core *Core) isLost(attempt *rebuild) func(process string) bool {
	return func(process string) bool {
		_, listed := core.directory.schedulers[process]
		return !listed || attempt.lost[process]
	}
}

// askToAbstain sends abstain requests to all processes that may host a replica: the members
// named in the stream and the assigned ones.
func (core *Core) askToAbstain(assignment *assignment, members []string) {
	attempt := assignment.rebuild
	if core.now-attempt.lastRequest < abstainInterval {
		return
	}
	attempt.lastRequest = core.now
	recipients := slices.Clone(members)
	for _, member := range assignment.archive.Members() {
		recipients = append(recipients, member.Incarnation.Process())
	}
	slices.Sort(recipients)
	for _, process := range slices.Compact(recipients) {
		request := &schedulerv1.AbstainRequest{
			Shard:      assignment.number,
			Generation: attempt.generation,
			Claimant:   core.config.Process,
			Proven:     attempt.proven && core.now-attempt.provenAt >= core.config.Replication.RebuildDelay(),
		}
		if process == core.config.Process {
			core.abstainRequested(request)
			continue
		}
		batch := core.batchTo(process)
		batch.AbstainRequests = append(batch.AbstainRequests, request)
	}
}

// abstainRequested promises not to take part in a generation unless this process hears a leader
// or has a voter in it.
func (core *Core) abstainRequested(request *schedulerv1.AbstainRequest) {
	reply := &schedulerv1.AbstainReply{
		Shard:      request.Shard,
		Generation: request.Generation,
		Process:    core.config.Process,
	}
	host := core.hosts[request.Shard]
	switch {
	case host != nil && host.hasLeader():
		reply.Led = true
	case host != nil && host.generation == request.Generation && host.replica.Role() != replication.RoleLearner:
		// A remaining voter can still vote, so it does not contribute to the proof.
		reply.HoldsTail = core.requestTail(request, host)
	default:
		core.registry.Abstain(request.Shard, request.Generation)
		reply.Abstained = true
		if host != nil && host.generation == request.Generation {
			host.replica.Retire()
			host.markDirty()
		}
	}
	if request.Claimant == core.config.Process {
		core.abstainReplied(reply)
		return
	}
	batch := core.batchTo(request.Claimant)
	batch.AbstainReplies = append(batch.AbstainReplies, reply)
}

// requestTail makes a remaining voter archive its tail once the claimant has the proof, and
// reports whether the tail is still to be archived.
func (core *Core) requestTail(request *schedulerv1.AbstainRequest, host *host) bool {
	assignment := core.assignments[request.Shard]
	if request.Proven && assignment != nil && assignment.rebuild != nil {
		assignment.rebuild.tailRequested = true
	}
	return core.holdsTail(assignment, host)
}

// abstainReplied handles the reply to an abstain request. If the sender hears a leader, the
// proof is discarded.
func (core *Core) abstainReplied(reply *schedulerv1.AbstainReply) {
	assignment := core.assignments[reply.Shard]
	if assignment == nil || assignment.rebuild == nil || assignment.rebuild.generation != reply.Generation {
		return
	}
	if reply.Led {
		clear(assignment.rebuild.lost)
		assignment.rebuild.proven = false
		return
	}
	delete(assignment.rebuild.unarchivedTails, reply.Process)
	if reply.HoldsTail {
		assignment.rebuild.unarchivedTails[reply.Process] = true
	}
	if reply.Abstained {
		assignment.rebuild.lost[reply.Process] = true
	}
}

// discardRestored discards the state read from the stream once a replica is hosted.
func (assignment *assignment) discardRestored() {
	assignment.state = shard.New()
	assignment.tail = nil
	assignment.restored = 0
	assignment.rebuild = nil
}
