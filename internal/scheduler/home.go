package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/shard"
)

const (
	streamReadInterval = 300 * time.Millisecond
	peerSilenceBound   = 3 * time.Second
	repairInterval     = time.Second
	// preferAfter is how long a leader serves before it may hand over to the
	// preferred one.
	preferAfter = 10 * time.Second
)

// home is a shard in whose group this process belongs by the machine list. It
// reads the shard's stream until it can host a replica: as a founder where a
// claim names this start of the process, else as a learner.
type home struct {
	number uint32
	*streamView
	// opened is true once the view has been read in whole for the first time; it
	// is then read on record by record.
	opened bool
	// below is the generation from which on snapshots of the stream are no use, 0
	// for none.
	below   uint32
	reading bool
	atEnd   bool
	// failed is true while the log does not answer.
	failed  bool
	lastAsk time.Duration
	since   time.Duration
	// appending is true while an append to the stream is under way.
	appending  bool
	lastRepair time.Duration
	// appendingBytes is the size of that append, and archivedBytes what was
	// appended since the last snapshot known.
	appendingBytes int
	archivedBytes  int
	// snapshotIndex and snapshotSize are of the newest snapshot known, and
	// snapshotAfter is when another may be made at the earliest.
	snapshotIndex uint64
	snapshotSize  int
	snapshotAfter time.Duration
	// logSlow is true after an intent has waited in vain for its archiving, until
	// the log answers again.
	logSlow bool
	// lookedAt is the epoch in which this leader last asked for a snapshot.
	lookedAt replication.Epoch
	// rebuild is set while the shard's replica here hears no leader.
	rebuild *rebuild
}

func (core *Core) newHome(number uint32) *home {
	return &home{
		number:     number,
		streamView: newStreamView(number),
		lastAsk:    -streamReadInterval,
		since:      core.now,
	}
}

// machinesListed takes the platform's list in and arranges what follows from
// it: the shards this process belongs to, and the pools' engines.
func (core *Core) machinesListed(event MachinesListed) {
	former := core.listAskedAt
	core.listAskedAt = max(core.listAskedAt, event.AskedAt)
	if !core.directory.update(event.Machines) {
		return
	}
	core.log("machine_list_changed", 0, "", "", fmt.Sprintf("age=%s former_age=%s", core.now-event.AskedAt, core.now-former))
	core.layout = newLayout(core.directory)
	core.arrangeHomes()
	core.arrangePools()
}

// arrangeHomes keeps a home for each shard whose group this process belongs in.
func (core *Core) arrangeHomes() {
	for number := uint32(0); number < core.config.Shards; number++ {
		belongs := slices.Contains(core.homeMembers(number), core.config.Process)
		known := core.homes[number] != nil
		if belongs && !known {
			core.homes[number] = core.newHome(number)
		}
		if !belongs && known && core.hosts[number] == nil {
			delete(core.homes, number)
		}
	}
}

// homeMembers lists the processes that should hold the shard, best first.
func (core *Core) homeMembers(number uint32) []string {
	return core.layout.members(number)
}

// otherHomeMember names a process, not this one, that should know the shard's
// leader.
func (core *Core) otherHomeMember(number uint32) string {
	others := slices.DeleteFunc(core.homeMembers(number), func(process string) bool {
		return process == core.config.Process
	})
	if len(others) == 0 {
		return ""
	}
	return others[core.random.Intn(len(others))]
}

// tickHomes brings every home closer to a healthy replica.
func (core *Core) tickHomes() {
	for _, number := range sortedKeys(core.homes) {
		home := core.homes[number]
		host := core.hosts[number]
		if host == nil {
			core.tickUnhosted(home)
			continue
		}
		if host.leads() {
			core.archiveEntries(host, home)
			core.snapshotHome(host, home)
			host.sendOverdue(home)
			core.repairGroup(host, home)
		}
		core.tickRebuild(home, host)
	}
}

// tickUnhosted reads the stream to its end, then founds or joins the group.
func (core *Core) tickUnhosted(home *home) {
	core.readHome(home)
	if !home.atEnd {
		return
	}
	switch {
	case home.archive.Claim().Generation == 0:
		core.claimGroup(home)
	case home.rebuild != nil:
		core.claimOrHost(home)
	default:
		core.hostReplica(home)
	}
	if core.hosts[home.number] == nil && home.rebuild == nil && core.abstained(home) {
		home.rebuild = newRebuild()
	}
}

// abstained tells whether this process has promised to take no part in the
// generation in force.
func (core *Core) abstained(home *home) bool {
	generation := home.archive.Claim().Generation
	if generation == 0 {
		return false
	}
	_, err := core.registry.Joiner(home.number, generation)
	return err != nil
}

// claimOrHost goes on with a rebuild whose claimant has given its own replica
// up, until the stream shows a new generation.
func (core *Core) claimOrHost(home *home) {
	if home.archive.Claim().Generation == home.rebuild.generation {
		core.claimAnew(home)
		return
	}
	core.hostReplica(home)
}

// claimGroup founds the shard's first group, if this process is the one to do
// so. It waits for founders in further zones, up to a bound.
func (core *Core) claimGroup(home *home) {
	members := core.homeMembers(home.number)
	if home.appending || len(members) == 0 || members[0] != core.config.Process {
		return
	}
	founders := core.founders(home.number, members)
	if len(founders) < core.config.Replicas && core.now-home.since < core.config.FoundingWait {
		core.greet(members)
		return
	}
	claimID := fmt.Sprintf("%s/%d", core.Incarnation(), home.number)
	claim, err := home.archive.NextClaim(claimID, founders, func(string) bool { return false })
	if err != nil {
		core.log("claim_refused", home.number, "", "", err.Error())
		return
	}
	core.appendClaim(home, claim)
}

// greet sends an empty batch to peers whose incarnation is not yet known.
func (core *Core) greet(members []string) {
	for _, process := range members {
		if process != core.config.Process && !core.directory.alive(process, core.now, peerSilenceBound) {
			core.batchTo(process)
		}
	}
}

// founders lists the members that answer now, the preferred leader first: the
// first member named in a claim campaigns at once.
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
	if !core.directory.alive(process, core.now, peerSilenceBound) {
		return replication.Member{}, false
	}
	return replication.Member{
		Incarnation: replication.Incarnation(core.directory.peers[process].incarnation),
		Zone:        core.directory.schedulers[process].Zone,
	}, true
}

// hostReplica starts this process's replica of the shard.
func (core *Core) hostReplica(home *home) {
	claim := home.archive.Claim()
	if home.beyondBase() && core.isNamed(claim) {
		// A founder's state must end where its group begins.
		home.rereadBelow(core, claim.Generation)
		return
	}
	self := replication.Member{Zone: core.config.Zone}
	group := replication.Group{Shard: home.number, Generation: claim.Generation, Members: claim.Members}
	base := home.archive.Base()
	restored := home.state
	incarnation, err := core.ownIncarnation(claim)
	if err != nil {
		return
	}
	self.Incarnation = incarnation
	if incarnation != core.registry.Boot() {
		group.Members = home.archive.Members()
		base = replication.Base{}
		restored = shard.New()
	}
	replica, err := replication.New(core.config.Replication, core.now, self, group, base, core.random)
	if err != nil {
		core.log("replica_refused", home.number, "", "", err.Error())
		return
	}
	made := newHost(core, home.number, replica)
	made.state = restored
	made.generation = claim.Generation
	made.lastLed = core.now
	core.hosts[home.number] = made
	core.hosted = nil
	made.touch()
	// From here on the group's log brings every entry.
	home.dropRestored()
	core.log("replica_hosted", home.number, "", "", replica.Role().String()+" as "+string(incarnation))
}

// ownIncarnation founds where the claim names this start of the process, and
// joins as a new incarnation otherwise.
func (core *Core) ownIncarnation(claim replication.Claim) (replication.Incarnation, error) {
	if core.isNamed(claim) {
		if incarnation, err := core.registry.Founder(claim.Shard, claim.Generation); err == nil {
			return incarnation, nil
		}
	}
	return core.registry.Joiner(claim.Shard, claim.Generation)
}

// isNamed tells whether a claim names this start of the process.
func (core *Core) isNamed(claim replication.Claim) bool {
	boot := core.registry.Boot()
	return slices.ContainsFunc(claim.Members, func(member replication.Member) bool {
		return member.Incarnation == boot
	})
}

// repairGroup removes a member that is silent or does not belong here, once
// another process is there to take its place.
func (core *Core) repairGroup(host *host, home *home) {
	if core.now-home.lastRepair < repairInterval {
		return
	}
	home.lastRepair = core.now
	wanted := core.homeMembers(home.number)
	members := host.replica.Members()
	if !core.replacementReady(wanted, members) {
		core.preferLeader(host, members)
		return
	}
	for _, member := range members {
		process := member.Incarnation.Process()
		silent := !core.directory.alive(process, core.now, peerSilenceBound)
		if process == core.config.Process || !silent && slices.Contains(wanted, process) {
			continue
		}
		err := host.replica.Remove(core.now, member.Incarnation)
		host.touch()
		core.log("member_removed", home.number, "", "", fmt.Sprintf("%s: %v", member.Incarnation, err))
		return
	}
}

// preferLeader hands leadership to the process that the layout prefers, so that
// leaders are spread evenly. It waits until the group has been quiet for a while:
// every hand-over makes the gateways attach anew.
func (core *Core) preferLeader(host *host, members []replication.Member) {
	preferred, found := core.layout.placement.LeaderOf(host.number)
	if !found || preferred.ID == core.config.Process || core.now-host.servingSince < preferAfter {
		return
	}
	if host.cutsCalls() {
		return
	}
	if !core.directory.alive(preferred.ID, core.now, peerSilenceBound) {
		return
	}
	for _, member := range members {
		if member.Incarnation.Process() == preferred.ID {
			err := host.replica.TransferLeadership(core.now, member.Incarnation)
			host.touch()
			core.log("leadership_handed_over", host.number, "", "", fmt.Sprintf("to %s: %v", preferred.ID, err))
			host.servingSince = core.now
			return
		}
	}
}

// replacementReady tells whether a wanted process outside the group is alive.
func (core *Core) replacementReady(wanted []string, members []replication.Member) bool {
	for _, process := range wanted {
		inside := slices.ContainsFunc(members, func(member replication.Member) bool {
			return member.Incarnation.Process() == process
		})
		if !inside && core.directory.alive(process, core.now, peerSilenceBound) {
			return true
		}
	}
	return false
}
