package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/shard"
)

const (
	streamReadInterval  = 300 * time.Millisecond
	peerLivenessTimeout = 3 * time.Second
	repairInterval      = time.Second
	// preferredLeaderDelay is the minimum time that a leader serves before it transfers
	// leadership to the preferred leader.
	preferredLeaderDelay = 10 * time.Second
)

// assignment is a shard that the machine list assigns to this process. The shard's stream is
// read until the process can host a replica: as a founder if a claim names this incarnation,
// otherwise as a learner.
type assignment struct {
	number uint32
	*streamView
	// streamOpened is true once the whole stream has been read; from then on only new records
	// are read.
	streamOpened bool
	// excludedFrom is the first generation whose snapshots are ignored; 0 ignores none.
	excludedFrom uint32
	reading      bool
	atEnd        bool
	// failed is true while reads from the log fail.
	failed     bool
	lastRead   time.Duration
	assignedAt time.Duration
	// appending is true while an append to the stream is in progress.
	appending  bool
	lastRepair time.Duration
	// appendingBytes is the size of the append in progress, archivedBytes the number of bytes
	// appended since the last known snapshot.
	appendingBytes int
	archivedBytes  int
	// snapshotIndex and snapshotSize describe the newest known snapshot; snapshotAfter is the
	// earliest time for the next one.
	snapshotIndex  uint64
	snapshotSize   int
	nextSnapshotAt time.Duration
	// logSlow is true after an intent was not archived in time, until the next acknowledged
	// append.
	logSlow bool
	// snapshotCheckedAt is the epoch in which this leader last requested a snapshot.
	snapshotCheckedAt replication.Epoch
	// rebuild is set while the shard's replica hears from no leader.
	rebuild *rebuild
}

func (core *Core) newAssignment(number uint32) *assignment {
	return &assignment{
		number:     number,
		streamView: newStreamView(number),
		lastRead:   -streamReadInterval,
		assignedAt: core.now,
	}
}

// machinesListed applies a new machine list: it updates the layout, the assigned shards and the
// pools' engines.
func (core *Core) machinesListed(event MachinesListed) {
	former := core.listRequestedAt
	core.listRequestedAt = max(core.listRequestedAt, event.RequestedAt)
	if !core.directory.update(event.Machines) {
		return
	}
	core.log("machine_list_changed", 0, "", "", fmt.Sprintf("age=%s former_age=%s", core.now-event.RequestedAt, core.now-former))
	core.layout = newLayout(core.directory)
	core.updateAssignments()
	core.updatePools()
}

// updateAssignments adds and removes assignments to match the layout.
func (core *Core) updateAssignments() {
	for number := uint32(0); number < core.config.Shards; number++ {
		belongs := slices.Contains(core.assignedMembers(number), core.config.Process)
		known := core.assignments[number] != nil
		if belongs && !known {
			core.assignments[number] = core.newAssignment(number)
		}
		if !belongs && known && core.hosts[number] == nil {
			delete(core.assignments, number)
		}
	}
}

// assignedMembers lists the processes that should host the shard, in order of preference.
func (core *Core) assignedMembers(number uint32) []string {
	return core.layout.members(number)
}

// otherAssignedMember returns a random other process that the shard is assigned to, or "" if
// there is none.
func (core *Core) otherAssignedMember(number uint32) string {
	others := slices.DeleteFunc(core.assignedMembers(number), func(process string) bool {
		return process == core.config.Process
	})
	if len(others) == 0 {
		return ""
	}
	return others[core.random.Intn(len(others))]
}

// tickAssignments runs the periodic work of all assignments: hosting, archiving, snapshots,
// repair and rebuild.
func (core *Core) tickAssignments() {
	for _, number := range sortedKeys(core.assignments) {
		assignment := core.assignments[number]
		host := core.hosts[number]
		if host == nil {
			core.tickUnhosted(assignment)
			continue
		}
		if host.leads() {
			core.archiveEntries(host, assignment)
			core.snapshotAssignment(host, assignment)
			host.sendOverdueIntents(assignment)
			core.repairGroup(host, assignment)
		}
		core.tickRebuild(assignment, host)
	}
}

// tickUnhosted reads the stream to its end and then founds or joins the group.
func (core *Core) tickUnhosted(assignment *assignment) {
	core.readAssignment(assignment)
	if !assignment.atEnd {
		return
	}
	switch {
	case assignment.archive.Claim().Generation == 0:
		core.claimGroup(assignment)
	case assignment.rebuild != nil:
		core.claimOrHost(assignment)
	default:
		core.hostReplica(assignment)
	}
	if core.hosts[assignment.number] == nil && assignment.rebuild == nil && core.abstained(assignment) {
		assignment.rebuild = newRebuild()
	}
}

// abstained reports whether this process has promised not to take part in the current
// generation.
func (core *Core) abstained(assignment *assignment) bool {
	generation := assignment.archive.Claim().Generation
	if generation == 0 {
		return false
	}
	_, err := core.registry.Joiner(assignment.number, generation)
	return err != nil
}

// claimOrHost continues a rebuild after this process has retired its own replica. It claims the
// group again, or hosts a replica once the stream contains a newer generation.
func (core *Core) claimOrHost(assignment *assignment) {
	if assignment.archive.Claim().Generation == assignment.rebuild.generation {
		core.reclaimGroup(assignment)
		return
	}
	core.hostReplica(assignment)
}

// claimGroup founds the shard's first group if this process is the first assigned member. It
// waits for the other founders for at most FoundingWait.
func (core *Core) claimGroup(assignment *assignment) {
	members := core.assignedMembers(assignment.number)
	if assignment.appending || len(members) == 0 || members[0] != core.config.Process {
		return
	}
	founders := core.founders(assignment.number, members)
	if len(founders) < core.config.Replicas && core.now-assignment.assignedAt < core.config.FoundingWait {
		core.probePeers(members)
		return
	}
	claimID := fmt.Sprintf("%s/%d", core.Incarnation(), assignment.number)
	claim, err := assignment.archive.NextClaim(claimID, founders, func(string) bool { return false })
	if err != nil {
		core.log("claim_refused", assignment.number, "", "", err.Error())
		return
	}
	core.appendClaim(assignment, claim)
}

// probePeers sends an empty batch to members that have not been heard from recently, to learn
// their incarnations.
func (core *Core) probePeers(members []string) {
	for _, process := range members {
		if process != core.config.Process && !core.directory.alive(process, core.now, peerLivenessTimeout) {
			core.batchTo(process)
		}
	}
}

// founders lists the members that are alive, the preferred leader first: the first member named
// in a claim campaigns immediately.
func (core *Core) founders(number uint32, members []string) []replication.Member {
	preferred, _ := core.layout.placement.LeaderOf(number)
	var founders []replication.Member
	for _, process := range members {
		member, alive := core.member(process)
		switch {
		case !alive:
		case process == preferred.ID:
			founders = slices.Insert(founders, 0, member)
		default:
			founders = append(founders, member)
		}
	}
	return founders
}

func (core *Core) member(process string) (replication.Member, bool) {
	if process == core.config.Process {
		return replication.Member{Incarnation: core.registry.Boot(), Zone: core.config.Zone}, true
	}
	if !core.directory.alive(process, core.now, peerLivenessTimeout) {
		return replication.Member{}, false
	}
	return replication.Member{
		Incarnation: replication.Incarnation(core.directory.peers[process].incarnation),
		Zone:        core.directory.schedulers[process].Zone,
	}, true
}

// hostReplica starts this process's replica of the shard.
func (core *Core) hostReplica(assignment *assignment) {
	claim := assignment.archive.Claim()
	if assignment.beyondBase() && core.claimNamesSelf(claim) {
		// A founder must start from the state before the claim.
		assignment.restartReadBelow(core, claim.Generation)
		return
	}
	self := replication.Member{Zone: core.config.Zone}
	group := replication.Group{Shard: assignment.number, Generation: claim.Generation, Members: claim.Members}
	base := assignment.archive.Base()
	restored := assignment.state
	incarnation, err := core.ownIncarnation(claim)
	if err != nil {
		return
	}
	self.Incarnation = incarnation
	if incarnation != core.registry.Boot() {
		group.Members = assignment.archive.Members()
		base = replication.Base{}
		restored = shard.New()
	}
	replica, err := replication.New(core.config.Replication, core.now, self, group, base, core.random)
	if err != nil {
		core.log("replica_refused", assignment.number, "", "", err.Error())
		return
	}
	created := newHost(core, assignment.number, replica)
	created.state = restored
	created.generation = claim.Generation
	created.leaderHeardAt = core.now
	core.hosts[assignment.number] = created
	core.hostOrder = nil
	created.markDirty()
	// From now on, all entries come from the group's own log.
	assignment.discardRestored()
	core.log("replica_hosted", assignment.number, "", "", replica.Role().String()+" as "+string(incarnation))
}

// ownIncarnation returns the boot incarnation if the claim names it as a founder, otherwise a
// new incarnation that joins the group.
func (core *Core) ownIncarnation(claim replication.Claim) (replication.Incarnation, error) {
	if core.claimNamesSelf(claim) {
		if incarnation, err := core.registry.Founder(claim.Shard, claim.Generation); err == nil {
			return incarnation, nil
		}
	}
	return core.registry.Joiner(claim.Shard, claim.Generation)
}

// claimNamesSelf reports whether a claim names this process's boot incarnation.
func (core *Core) claimNamesSelf(claim replication.Claim) bool {
	boot := core.registry.Boot()
	return slices.ContainsFunc(claim.Members, func(member replication.Member) bool {
		return member.Incarnation == boot
	})
}

// repairGroup removes a member that is unreachable or no longer assigned, if a replacement is
// alive.
func (core *Core) repairGroup(host *host, assignment *assignment) {
	if core.now-assignment.lastRepair < repairInterval {
		return
	}
	assignment.lastRepair = core.now
	wanted := core.assignedMembers(assignment.number)
	members := host.replica.Members()
	if !core.replacementReady(wanted, members) {
		core.transferToPreferredLeader(host, members)
		return
	}
	for _, member := range members {
		process := member.Incarnation.Process()
		silent := !core.directory.alive(process, core.now, peerLivenessTimeout)
		if process == core.config.Process || !silent && slices.Contains(wanted, process) {
			continue
		}
		err := host.replica.Remove(core.now, member.Incarnation)
		host.markDirty()
		core.log("member_removed", assignment.number, "", "", fmt.Sprintf("%s: %v", member.Incarnation, err))
		return
	}
}

// transferToPreferredLeader transfers leadership to the process that the layout prefers, to
// balance leaders over processes. It is rate-limited because gateways have to reattach to their
// calls after each transfer.
func (core *Core) transferToPreferredLeader(host *host, members []replication.Member) {
	preferred, found := core.layout.placement.LeaderOf(host.number)
	if !found || preferred.ID == core.config.Process || core.now-host.servingSince < preferredLeaderDelay {
		return
	}
	if host.losesCallsOnTransfer() {
		return
	}
	if !core.directory.alive(preferred.ID, core.now, peerLivenessTimeout) {
		return
	}
	for _, member := range members {
		if member.Incarnation.Process() == preferred.ID {
			err := host.replica.TransferLeadership(core.now, member.Incarnation)
			host.markDirty()
			core.log("leadership_handed_over", host.number, "", "", fmt.Sprintf("to %s: %v", preferred.ID, err))
			host.servingSince = core.now
			return
		}
	}
}

// replacementReady reports whether an assigned process outside the group is alive.
func (core *Core) replacementReady(wanted []string, members []replication.Member) bool {
	for _, process := range wanted {
		inside := slices.ContainsFunc(members, func(member replication.Member) bool {
			return member.Incarnation.Process() == process
		})
		if !inside && core.directory.alive(process, core.now, peerLivenessTimeout) {
			return true
		}
	}
	return false
}
