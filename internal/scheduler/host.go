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

// host holds this process's replica of one shard and, while it leads, the shard's volatile
// state.
//
// Invariants: state is the committed prefix applied in order; proposals and calls are empty
// unless the replica leads and has applied the first entry of its epoch (serving).
type host struct {
	core    *Core
	number  uint32
	replica *replication.Replica
	// dirty is true while the host is in the core's list of replicas that may have output.
	dirty bool
	state *shard.State
	// serving is true once a leader has applied the first entry of its epoch. Only then does
	// state contain all entries committed earlier.
	serving bool
	// generation is the generation of the claim that founded the group.
	generation uint32
	// servingSince is the time at which this replica started to serve as the leader.
	servingSince time.Duration
	// leaderHeardAt is the time at which the shard's leader was last heard from.
	leaderHeardAt time.Duration
	epoch         replication.Epoch
	proposals     map[uint64]waiter
	calls         map[callID]*liveCall
	// unsent holds committed intents that wait for the lease to be confirmed, or for the machine
	// list after a freeze.
	unsent []RunKey
	// unarchived holds committed intents that wait to be archived.
	unarchived []unarchivedIntent
	// idleSince is the time since which a program has had no open call, endedSince the time at
	// which it ended, both on this leader's clock.
	idleSince         map[string]time.Duration
	endedSince        map[string]time.Duration
	lastSweep         time.Duration
	lastProgramReport time.Duration
	// escrowDemands holds the shard's demand for escrow by tier.
	escrowDemands map[shard.TierKey]*escrowDemand
	// recalledAt is the time of the last recall of escrow from an account held here.
	recalledAt map[shard.TierKey]time.Duration
	// decisions holds the decisions about closed calls. They are evicted in the order of
	// decisionOrder.
	decisions     map[callID][]*schedulerv1.Decision
	decisionOrder []callID
}

// callID identifies a call within a shard.
type callID struct {
	program   string
	requestID string
}

// waiter is notified of the result of its proposal.
type waiter interface {
	applied(host *host, outcome shard.Outcome)
	// abandoned is called if the leader will not learn the result: the proposal may or may not
	// be committed.
	abandoned(host *host)
}

func newHost(core *Core, number uint32, replica *replication.Replica) *host {
	return &host{
		core:          core,
		number:        number,
		replica:       replica,
		state:         shard.New(),
		proposals:     make(map[uint64]waiter),
		calls:         make(map[callID]*liveCall),
		idleSince:     make(map[string]time.Duration),
		endedSince:    make(map[string]time.Duration),
		decisions:     make(map[callID][]*schedulerv1.Decision),
		escrowDemands: make(map[shard.TierKey]*escrowDemand),
		recalledAt:    make(map[shard.TierKey]time.Duration),
	}
}

// leads reports whether this replica serves as the leader and holds the lease.
func (host *host) leads() bool {
	return host.serving && host.replica.HoldsLease(host.core.now)
}

// propose proposes an entry to the group. An error means that nothing was proposed.
func (host *host) propose(entry *shardv1.Entry, waiting waiter) *resultcode.Error {
	data, err := proto.Marshal(entry)
	if err != nil {
		return resultcode.New(resultcode.Internal, "encode entry: %v", err)
	}
	index, err := host.replica.Propose(host.core.now, data)
	host.markDirty()
	if err != nil {
		return proposalRefused(err)
	}
	host.proposals[index] = waiting
	return nil
}

func proposalRefused(err error) *resultcode.Error {
	if err == replication.ErrBacklogFull {
		return resultcode.New(resultcode.ArchiveBacklogFull, "%v", err).WithRetryAfter(archiveRetryAfter)
	}
	return resultcode.New(resultcode.NotLeader, "%v", err).WithRetryAfter(leaderRetryAfter)
}

const (
	archiveRetryAfter = 5 * time.Second
	leaderRetryAfter  = 500 * time.Millisecond
)

// receive handles a message from another replica.
func (host *host) receive(message *replicationv1.Message) {
	if fromLeader(message) {
		host.leaderHeardAt = host.core.now
	}
	host.replica.Receive(host.core.now, message)
	host.markDirty()
}

func (host *host) restore(restored *replication.RestoredState) {
	if restored == nil {
		return
	}
	if err := host.state.Restore(restored.State); err != nil {
		host.core.log("snapshot_unreadable", host.number, "", "", err.Error())
		host.replica.Retire()
		host.markDirty()
	}
}

func (host *host) provideSnapshot() {
	data, err := host.state.Snapshot()
	if err != nil {
		host.core.log("snapshot_failed", host.number, "", "", err.Error())
		return
	}
	host.markDirty()
	if err := host.replica.ProvideSnapshot(host.core.now, data); err != nil {
		host.core.log("snapshot_not_taken", host.number, "", "", err.Error())
	}
}

// roleChanged ends the leadership if the replica has lost it.
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

// endLeadership discards the leader's volatile state. Runs continue at the back ends, so that
// the next leader can attach to them.
func (host *host) endLeadership() {
	host.serving = false
	for _, index := range sortedKeys(host.proposals) {
		waiting := host.proposals[index]
		delete(host.proposals, index)
		waiting.abandoned(host)
	}
	for _, live := range host.sortedCalls() {
		live.abandon()
	}
	host.declineParked()
	clear(host.calls)
	clear(host.idleSince)
	clear(host.endedSince)
	host.unsent = nil
	host.unarchived = nil
	host.core.updatePools()
}

// apply applies one committed entry to the state.
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

// epochStarted starts to serve: the state now contains all entries committed by earlier leaders.
func (host *host) epochStarted(entry replication.Entry) {
	if host.replica.Role() != replication.RoleLeader || entry.Epoch != host.replica.Epoch() {
		return
	}
	host.serving = true
	host.servingSince = host.core.now
	host.epoch = entry.Epoch
	host.core.directory.leaders[host.number] = host.core.config.Process
	host.core.updatePools()
	host.resumeCalls()
	host.listResumedGrants()
}

// tick runs the timers of the replica and of the leader.
func (host *host) tick(now time.Duration) {
	host.replica.Tick(now)
	host.markDirty()
	if !host.leads() {
		return
	}
	host.leaderHeardAt = now
	host.sendUnsent()
	host.retryOffers()
	host.tickEscrow()
	if now-host.lastSweep >= sweepInterval {
		host.lastSweep = now
		host.sweepPrograms()
	}
}

const sweepInterval = time.Second

// handOver transfers leadership to another member for a planned stop.
func (host *host) handOver() {
	if host.replica.Role() != replication.RoleLeader || host.losesCallsOnTransfer() {
		return
	}
	host.markDirty()
	for _, member := range host.replica.Members() {
		if member.Incarnation == host.replica.Self().Incarnation {
			continue
		}
		if host.replica.TransferLeadership(host.core.now, member.Incarnation) == nil {
			return
		}
	}
}

// losesCallsOnTransfer reports whether a transfer of leadership now would lose a call. A tool
// call's answer can't be received by another process. A call in transit is not known to its
// engine yet: the next leader would fail to attach to it, and the engine would reject it when it
// arrives.
func (host *host) losesCallsOnTransfer() bool {
	for _, live := range host.calls {
		if live.isTool() && live.phase != phaseWaiting || live.inTransit(host.core.now) {
			return true
		}
	}
	return false
}

// dropHost removes a retired replica.
func (core *Core) dropHost(host *host) {
	if host.serving {
		host.endLeadership()
	}
	delete(core.hosts, host.number)
	core.hostOrder = nil
	if assignment := core.assignments[host.number]; assignment != nil && assignment.rebuild == nil {
		assignment.restartRead(core)
	}
	core.log("replica_dropped", host.number, "", "", "")
}

// hostNumbers lists the hosted shards in order, so that steps are deterministic.
func (core *Core) hostNumbers() []uint32 {
	if core.hostOrder == nil {
		core.hostOrder = sortedKeys(core.hosts)
	}
	return core.hostOrder
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
