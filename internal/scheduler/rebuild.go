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
	// rebuildAfter is how long a shard may have no leader before its members
	// ask whether the group has lost its majority for good.
	rebuildAfter = 8 * time.Second
	// abstainInterval is how often the members are asked.
	abstainInterval = time.Second
)

// rebuild is the attempt to found a shard's group anew from its stream, under a
// higher generation, after a majority of its replicas has died at once.
//
// It needs the proof that a majority of the old members is gone: the machine
// list does not name them any more, or they have promised to take no part. With
// the proof nothing can be committed in the old generation any more, so a voter
// that is left archives all that its log holds first. What only the dead members
// held and had not archived is lost with them.
type rebuild struct {
	generation uint32
	gone       map[string]bool
	lastAsk    time.Duration
	// provenAt is when the proof was complete; it is set once proven is true.
	proven   bool
	provenAt time.Duration
	// tails are the voters that are left and have not archived their logs yet.
	tails map[string]bool
	// tailWanted is set at a voter that is left, once a claimant has the proof.
	tailWanted bool
}

func newRebuild() *rebuild {
	return &rebuild{gone: make(map[string]bool), tails: make(map[string]bool), lastAsk: -abstainInterval}
}

// fromLeader tells whether only a leader sends such a message.
func fromLeader(message *replicationv1.Message) bool {
	switch message.Body.(type) {
	case *replicationv1.Message_AppendRequest, *replicationv1.Message_Heartbeat, *replicationv1.Message_SnapshotChunk:
		return true
	}
	return false
}

// led tells whether the shard's group is known here to have had a leader of
// late.
func (host *host) led() bool {
	return host.leads() || host.core.now-host.lastLed < rebuildAfter
}

// tickRebuild looks after a home whose replica hears no leader.
func (core *Core) tickRebuild(home *home, host *host) {
	if host.led() {
		home.rebuild = nil
		return
	}
	if home.rebuild == nil {
		home.rereadFrom(core)
		home.rebuild = newRebuild()
		core.log("shard_without_leader", home.number, "", "", host.replica.Role().String())
	}
	core.readHome(home)
	if !home.atEnd {
		return
	}
	if home.archive.Claim().Generation > host.generation {
		host.replica.Retire()
		host.touch()
		return
	}
	if home.rebuild.tailWanted && core.archiveTail(host, home) {
		return
	}
	core.claimAnew(home)
}

// archiveTail appends what this replica's log holds beyond the stream's end, and
// tells whether there was anything left to append.
func (core *Core) archiveTail(host *host, home *home) bool {
	if home.appending {
		return true
	}
	entries := host.replica.TailEntries(home.archive.Last().Index, maximumArchiveBytes)
	if len(entries) == 0 {
		return false
	}
	data, err := replication.EncodeEntries(home.number, host.generation, entries)
	if err != nil {
		core.log("archive_unencodable", home.number, "", "", err.Error())
		return false
	}
	home.appending = true
	home.atEnd = false
	core.log("tail_archived", home.number, "", "", fmt.Sprintf("%d entries", len(entries)))
	core.emit(AppendStream{Shard: home.number, Data: data, UpTo: entries[len(entries)-1].Index})
	return true
}

// holdsTail tells whether this process has a voting replica of the generation
// whose log goes beyond what it has read of the stream.
func (core *Core) holdsTail(home *home, host *host) bool {
	if home == nil || home.rebuild == nil || !home.atEnd || home.appending {
		return true
	}
	return len(host.replica.TailEntries(home.archive.Last().Index, 1)) > 0
}

// rereadFrom begins to read the shard's stream from its start, for the state of
// a new generation.
func (home *home) rereadFrom(core *Core) {
	fresh := core.newHome(home.number)
	fresh.appending = home.appending
	fresh.reading = home.reading
	fresh.snapshotIndex = home.snapshotIndex
	*home = *fresh
}

// rereadBelow begins to read the stream anew, without the snapshots of a
// generation and of later ones.
func (home *home) rereadBelow(core *Core, generation uint32) {
	attempt := home.rebuild
	home.rereadFrom(core)
	home.below = generation
	home.rebuild = attempt
}

// claimAnew gathers the proof and appends the claim, if this process is the
// first live one of the shard's home.
func (core *Core) claimAnew(home *home) {
	members := core.homeMembers(home.number)
	if home.appending || core.firstAlive(members) != core.config.Process {
		return
	}
	attempt := home.rebuild
	if attempt.generation != home.archive.Claim().Generation {
		attempt.generation = home.archive.Claim().Generation
		clear(attempt.gone)
		clear(attempt.tails)
		attempt.proven = false
	}
	core.askToAbstain(home, members)
	claimID := fmt.Sprintf("%s/%d/%d", core.Incarnation(), home.number, attempt.generation)
	claim, err := home.archive.NextClaim(claimID, core.founders(home.number, members), core.isGone(attempt))
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
	core.appendClaim(home, claim)
}

// awaitsTail tells whether a voter that is left and lives has not archived its
// log yet. Its word is at most as old as the last round of questions.
func (core *Core) awaitsTail(attempt *rebuild) bool {
	for _, process := range sortedKeys(attempt.tails) {
		if core.directory.alive(process, core.now, peerSilenceBound) {
			return true
		}
	}
	return false
}

func (core *Core) appendClaim(home *home, claim replication.Claim) {
	data, err := replication.EncodeClaim(claim)
	if err != nil {
		core.log("claim_unencodable", home.number, "", "", err.Error())
		return
	}
	home.appending = true
	core.log("group_claimed", home.number, "", "", fmt.Sprintf("generation %d with %d members", claim.Generation, len(claim.Members)))
	core.emit(AppendStream{Shard: home.number, Data: data})
}

// firstAlive names the first of the processes that answers.
func (core *Core) firstAlive(processes []string) string {
	for _, process := range processes {
		if core.directory.alive(process, core.now, peerSilenceBound) {
			return process
		}
	}
	return ""
}

func (core *Core) isGone(attempt *rebuild) func(process string) bool {
	return func(process string) bool {
		_, listed := core.directory.schedulers[process]
		return !listed || attempt.gone[process]
	}
}

// askToAbstain asks everybody who may hold a replica: the members that the
// stream names, and the shard's home.
func (core *Core) askToAbstain(home *home, members []string) {
	attempt := home.rebuild
	if core.now-attempt.lastAsk < abstainInterval {
		return
	}
	attempt.lastAsk = core.now
	asked := slices.Clone(members)
	for _, member := range home.archive.Members() {
		asked = append(asked, member.Incarnation.Process())
	}
	slices.Sort(asked)
	for _, process := range slices.Compact(asked) {
		request := &schedulerv1.AbstainRequest{
			Shard:      home.number,
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

// abstainRequested promises to take no part in a generation, unless this
// process has a vote there.
func (core *Core) abstainRequested(request *schedulerv1.AbstainRequest) {
	reply := &schedulerv1.AbstainReply{
		Shard:      request.Shard,
		Generation: request.Generation,
		Process:    core.config.Process,
	}
	host := core.hosts[request.Shard]
	switch {
	case host != nil && host.led():
		reply.Led = true
	case host != nil && host.generation == request.Generation && host.replica.Role() != replication.RoleLearner:
		// A voter of the old group is no proof of its end.
		reply.HoldsTail = core.wantTail(request, host)
	default:
		core.registry.Abstain(request.Shard, request.Generation)
		reply.Abstained = true
		if host != nil && host.generation == request.Generation {
			host.replica.Retire()
			host.touch()
		}
	}
	if request.Claimant == core.config.Process {
		core.abstainReplied(reply)
		return
	}
	batch := core.batchTo(request.Claimant)
	batch.AbstainReplies = append(batch.AbstainReplies, reply)
}

// wantTail begins to archive the log of a voter that is left, once the claimant
// has its proof, and tells whether that is still to be done.
func (core *Core) wantTail(request *schedulerv1.AbstainRequest, host *host) bool {
	home := core.homes[request.Shard]
	if request.Proven && home != nil && home.rebuild != nil {
		home.rebuild.tailWanted = true
	}
	return core.holdsTail(home, host)
}

// abstainReplied takes a promise in. A process that hears a leader ends the
// attempt.
func (core *Core) abstainReplied(reply *schedulerv1.AbstainReply) {
	home := core.homes[reply.Shard]
	if home == nil || home.rebuild == nil || home.rebuild.generation != reply.Generation {
		return
	}
	if reply.Led {
		clear(home.rebuild.gone)
		home.rebuild.proven = false
		return
	}
	delete(home.rebuild.tails, reply.Process)
	if reply.HoldsTail {
		home.rebuild.tails[reply.Process] = true
	}
	if reply.Abstained {
		home.rebuild.gone[reply.Process] = true
	}
}

// dropRestored forgets what was read of the stream once a replica is hosted.
func (home *home) dropRestored() {
	home.state = shard.New()
	home.tail = nil
	home.restored = 0
	home.rebuild = nil
}
