package scheduler

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
)

// host holds this process's replica of one shard and, while it leads, the
// shard's volatile state.
//
// Invariants: state is the committed prefix applied in order; proposals and
// calls are empty unless the replica leads and has applied the first entry of
// its epoch (serving).
type host struct {
	core    *Core
	number  uint32
	replica *replication.Replica
	// touched is true while the replica is in the core's list of those that may
	// have output.
	touched bool
	state   *shard.State
	// serving is true once a leader has applied its epoch's first entry: only
	// then is state known to hold everything committed before.
	serving bool
	// generation is the one of the claim that founded the group.
	generation uint32
	// servingSince is when this replica began to serve as the leader.
	servingSince time.Duration
	// lastLed is when a leader of the shard was last heard.
	lastLed   time.Duration
	epoch     replication.Epoch
	proposals map[uint64]waiter
	calls     map[callID]*liveCall
	// unsent are committed intents that wait for the lease to be certain, or for the
	// machine list after a freeze.
	unsent []RunKey
	// unarchived are committed intents that wait until the log holds them.
	unarchived []unarchivedIntent
	// quietSince tells since when a program has had no open call, and overSince
	// since when it has been over, both on this leader's clock.
	quietSince map[string]time.Duration
	overSince  map[string]time.Duration
	lastSweep  time.Duration
	lastLive   time.Duration
	// needs are the tiers whose calls want escrow of this shard.
	needs map[shard.TierKey]*escrowNeed
	// recalledAt tells when escrow of an account held here was last recalled.
	recalledAt map[shard.TierKey]time.Duration
	// decisions of closed calls, dropped in the order of remembered.
	decisions  map[callID][]*schedulerv1.Decision
	remembered []callID
}

// callID names a call within a shard.
type callID struct {
	program   string
	requestID string
}

// waiter is told what its proposal did.
type waiter interface {
	applied(host *host, outcome shard.Outcome)
	// abandoned tells that the leader no longer learns what becomes of the
	// proposal: it may or may not be committed.
	abandoned(host *host)
}

func newHost(core *Core, number uint32, replica *replication.Replica) *host {
	return &host{
		core:       core,
		number:     number,
		replica:    replica,
		state:      shard.New(),
		proposals:  make(map[uint64]waiter),
		calls:      make(map[callID]*liveCall),
		quietSince: make(map[string]time.Duration),
		overSince:  make(map[string]time.Duration),
		decisions:  make(map[callID][]*schedulerv1.Decision),
		needs:      make(map[shard.TierKey]*escrowNeed),
		recalledAt: make(map[shard.TierKey]time.Duration),
	}
}

// leads tells whether the process may answer for the shard at this moment.
func (host *host) leads() bool {
	return host.serving && host.replica.HoldsLease(host.core.now)
}

// propose offers an entry to the group. A refusal means that nothing was
// proposed.
func (host *host) propose(entry *shardv1.Entry, waiting waiter) *resultcode.Error {
	data, err := proto.Marshal(entry)
	if err != nil {
		return resultcode.New(resultcode.Internal, "encode entry: %v", err)
	}
	index, err := host.replica.Propose(host.core.now, data)
	host.touch()
	if err != nil {
		return proposalRefused(err)
	}
	host.proposals[index] = waiting
	return nil
}

func proposalRefused(err error) *resultcode.Error {
	if err == replication.ErrBacklogFull {
		return resultcode.New(resultcode.ArchiveBacklogFull, "%v", err).After(archiveRetryAfter)
	}
	return resultcode.New(resultcode.NotLeader, "%v", err).After(leaderRetryAfter)
}

const (
	archiveRetryAfter = 5 * time.Second
	leaderRetryAfter  = 500 * time.Millisecond
)

// receive takes a message of another replica in.
func (host *host) receive(message *replicationv1.Message) {
	if fromLeader(message) {
		host.lastLed = host.core.now
	}
	host.replica.Receive(host.core.now, message)
	host.touch()
}

func (host *host) restore(restored *replication.RestoredState) {
	if restored == nil {
		return
	}
	if err := host.state.Restore(restored.State); err != nil {
		host.core.log("snapshot_unreadable", host.number, "", "", err.Error())
		host.replica.Retire()
		host.touch()
	}
}

func (host *host) provideSnapshot() {
	data, err := host.state.Snapshot()
	if err != nil {
		host.core.log("snapshot_failed", host.number, "", "", err.Error())
		return
	}
	host.touch()
	if err := host.replica.ProvideSnapshot(host.core.now, data); err != nil {
		host.core.log("snapshot_not_taken", host.number, "", "", err.Error())
	}
}

// roleChanged ends the volatile state of a leadership that is over.
func (host *host) roleChanged() {
	leader := host.replica.Leader().Process()
	if leader != "" {
		host.core.directory.leaders[host.number] = leader
	}
	host.core.log("role_changed", host.number, "", "",
		host.replica.Role().String()+" epoch "+host.replica.Epoch().String())
	stillLeads := host.replica.Role() == replication.RoleLeader && host.epoch == host.replica.Epoch()
	if host.serving && !stillLeads {
		host.endLeadership()
	}
	host.epoch = host.replica.Epoch()
}

// endLeadership drops what only a leader holds. Runs go on at the back ends,
// for the next leader to attach to.
func (host *host) endLeadership() {
	host.serving = false
	for _, index := range sortedKeys(host.proposals) {
		waiting := host.proposals[index]
		delete(host.proposals, index)
		waiting.abandoned(host)
	}
	for _, live := range host.sortedCalls() {
		live.drop()
	}
	host.dropParked()
	clear(host.calls)
	clear(host.quietSince)
	clear(host.overSince)
	host.unsent = nil
	host.unarchived = nil
	host.core.arrangePools()
}

// apply takes one committed entry into the state.
func (host *host) apply(entry replication.Entry) {
	switch entry.Kind {
	case replication.KindEpochStart:
		host.epochStarted(entry)
	case replication.KindCommand:
		host.applyCommand(entry)
	}
}

func (host *host) applyCommand(entry replication.Entry) {
	change := &shardv1.Entry{}
	if err := proto.Unmarshal(entry.Data, change); err != nil {
		host.core.log("entry_unreadable", host.number, "", "", err.Error())
		return
	}
	outcome := host.state.Apply(change)
	waiting := host.proposals[entry.Index]
	if waiting == nil {
		return
	}
	delete(host.proposals, entry.Index)
	if entry.Epoch != host.epoch {
		waiting.abandoned(host)
		return
	}
	waiting.applied(host, outcome)
}

// epochStarted begins to serve: the state now holds every entry that earlier
// leaders have committed.
func (host *host) epochStarted(entry replication.Entry) {
	if host.replica.Role() != replication.RoleLeader || entry.Epoch != host.replica.Epoch() {
		return
	}
	host.serving = true
	host.servingSince = host.core.now
	host.epoch = entry.Epoch
	host.core.directory.leaders[host.number] = host.core.config.Process
	host.core.arrangePools()
	host.resumeCalls()
	host.listResumedGrants()
}

// tick drives the replica's and the leader's timers.
func (host *host) tick(now time.Duration) {
	host.replica.Tick(now)
	host.touch()
	if !host.leads() {
		return
	}
	host.lastLed = now
	host.sendUnsent()
	host.retryOffers()
	host.tickEscrow()
	if now-host.lastSweep >= sweepInterval {
		host.lastSweep = now
		host.sweepPrograms()
	}
}

const sweepInterval = time.Second

// handOver gives leadership to another member for a planned stop.
func (host *host) handOver() {
	if host.replica.Role() != replication.RoleLeader || host.cutsCalls() {
		return
	}
	host.touch()
	for _, member := range host.replica.Members() {
		if member.Incarnation == host.replica.Self().Incarnation {
			continue
		}
		if host.replica.TransferLeadership(host.core.now, member.Incarnation) == nil {
			return
		}
	}
}

// cutsCalls tells whether a call would be lost if another member led now. A tool's answer
// can't be picked up elsewhere, and a call that is on its way to its engine is not known there
// yet: the next leader would find no run to attach to, and the engine would refuse the call
// from then on.
func (host *host) cutsCalls() bool {
	for _, live := range host.calls {
		if live.isTool() && live.phase != phaseWaiting || live.onItsWay(host.core.now) {
			return true
		}
	}
	return false
}

// dropHost forgets a replica that takes no part any more.
func (core *Core) dropHost(host *host) {
	if host.serving {
		host.endLeadership()
	}
	delete(core.hosts, host.number)
	core.hosted = nil
	if home := core.homes[host.number]; home != nil && home.rebuild == nil {
		home.rereadFrom(core)
	}
	core.log("replica_dropped", host.number, "", "", "")
}

// hostNumbers lists the hosted shards in order, so that a step is repeatable.
func (core *Core) hostNumbers() []uint32 {
	if core.hosted == nil {
		core.hosted = sortedKeys(core.hosts)
	}
	return core.hosted
}

type orderedKey interface{ ~uint32 | ~uint64 | ~string }

func sortedKeys[K orderedKey, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
