package replication_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand"
	"time"

	"github.com/magpielug/magpielug/internal/replication"
)

const (
	shardNumber  = 7
	generation   = 1
	tickInterval = 50 * time.Millisecond
	// maxClockDrift is the maximum clock rate error, within the lease margin.
	maxClockDrift = 0.045
)

// process is a simulated process with one replica of the shard.
type process struct {
	name     string
	zone     string
	registry *replication.Registry
	batcher  *replication.Batcher
	replica  *replication.Replica
	state    stateMachine
	rate     float64
	offset   time.Duration
	// pausedUntil suspends the process while its clock keeps running.
	pausedUntil time.Duration
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now)*p.rate)
}

// stateMachine keeps a digest of the applied entries.
type stateMachine struct {
	index  uint64
	digest uint64
}

func (s *stateMachine) apply(entry replication.Entry) {
	hash := fnv.New64a()
	_ = binary.Write(hash, binary.BigEndian, []uint64{s.digest, entry.Index, uint64(entry.Epoch)})
	_, _ = hash.Write(entry.Data)
	s.index = entry.Index
	s.digest = hash.Sum64()
}

func (s *stateMachine) snapshot() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.index), s.digest)
}

func (s *stateMachine) restore(state []byte) {
	s.index = binary.BigEndian.Uint64(state)
	s.digest = binary.BigEndian.Uint64(state[8:])
}

// simulation runs one schedule with processes, a network and invariant checks.
type simulation struct {
	network
	checker
	config    replication.Config
	processes []*process
	proposals int
	// proposalsStopped disables further proposals.
	proposalsStopped bool
	// stream is the shard's stream in the platform's log.
	stream [][]byte
	// archiveDownUntil is the end of an outage of the platform's log.
	archiveDownUntil time.Duration
}

func testConfig() replication.Config {
	config := replication.DefaultConfig()
	config.KeepEntries = 6
	config.MaxAppendBytes = 600
	config.MaxInflightEntries = 5
	config.SnapshotChunkBytes = 40
	config.MaxBacklogBytes = 8 << 10
	return config
}

// newSimulation creates a group of three processes in the first three zones.
func newSimulation(seed int64, zones []string, rates faultRates) *simulation {
	sim := &simulation{config: testConfig(), checker: newChecker()}
	sim.network = network{
		random:     rand.New(rand.NewSource(seed)),
		rates:      rates,
		partitions: map[[2]string]time.Duration{},
	}
	group := replication.Group{Shard: shardNumber, Generation: generation}
	for position, zone := range zones {
		node := &process{
			name:   fmt.Sprintf("p%d", position),
			zone:   zone,
			rate:   1 + maxClockDrift*(2*sim.random.Float64()-1),
			offset: time.Duration(sim.random.Int63n(int64(time.Hour))) + time.Second,
		}
		sim.boot(node)
		sim.processes = append(sim.processes, node)
		if position < 3 {
			group.Members = append(group.Members, replication.Member{Incarnation: node.registry.Boot(), Zone: zone})
		}
	}
	sim.committedMembers = group.Members
	sim.archiveClaim(group)
	for position, node := range sim.processes {
		incarnation, err := node.registry.Joiner(shardNumber, generation)
		if position < 3 {
			incarnation, err = node.registry.Founder(shardNumber, generation)
		}
		sim.check(err == nil, "allocating incarnation: %v", err)
		sim.start(node, incarnation, group)
		sim.schedule(&event{at: time.Duration(sim.random.Int63n(int64(tickInterval))), process: node})
	}
	return sim
}

// boot gives a process a new registry and batcher.
func (sim *simulation) boot(node *process) {
	random := rand.New(rand.NewSource(sim.random.Int63()))
	node.registry = replication.NewRegistry(node.name, random)
	node.batcher = replication.NewBatcher(node.registry.Boot())
}

func (sim *simulation) start(node *process, incarnation replication.Incarnation, group replication.Group) {
	self := replication.Member{Incarnation: incarnation, Zone: node.zone}
	random := rand.New(rand.NewSource(sim.random.Int63()))
	replica, err := replication.New(sim.config, node.clock(sim.now), self, group, replication.Base{}, random)
	sim.check(err == nil, "creating replica: %v", err)
	node.replica = replica
	node.state = stateMachine{}
}

// rejoin starts a new replica without the state of the previous one.
func (sim *simulation) rejoin(node *process) {
	incarnation, err := node.registry.Joiner(shardNumber, generation)
	sim.check(err == nil, "allocating incarnation: %v", err)
	group := replication.Group{Shard: shardNumber, Generation: generation, Members: sim.committedMembers}
	sim.start(node, incarnation, group)
}

// restart restarts a process, unless a group that may be in effect would lose its
// majority.
func (sim *simulation) restart(node *process) {
	for _, other := range sim.processes {
		if !sim.keepsMajorityWithout(other.replica.Members(), node) {
			return
		}
	}
	if !sim.keepsMajorityWithout(sim.committedMembers, node) {
		return
	}
	sim.restarts++
	sim.boot(node)
	sim.rejoin(node)
}

func (sim *simulation) keepsMajorityWithout(members []replication.Member, victim *process) bool {
	alive := 0
	for _, member := range members {
		for _, node := range sim.processes {
			if node != victim && node.replica.Self().Incarnation == member.Incarnation {
				alive++
			}
		}
	}
	return alive > len(members)/2
}

// run executes the schedule up to a virtual time.
func (sim *simulation) run(until time.Duration) {
	for sim.failure == "" && sim.events[0].at < until {
		sim.handle(sim.next())
	}
	sim.now = max(sim.now, until)
}

func (sim *simulation) handle(item *event) {
	node := item.process
	if sim.now < node.pausedUntil {
		item.at = node.pausedUntil
		sim.schedule(item)
		return
	}
	if item.batch != nil {
		if !sim.isPartitioned(item.from, node.zone) {
			sim.deliver(node, item)
		}
	} else {
		node.replica.Tick(node.clock(sim.now))
		sim.injectFaults(node)
		sim.schedule(&event{at: sim.now + tickInterval, process: node})
	}
	sim.finish(node)
	sim.inspect(sim)
}

func (sim *simulation) deliver(node *process, item *event) {
	for _, message := range node.batcher.Unpack(item.batch) {
		node.replica.Receive(node.clock(sim.now), message)
	}
}

// finish processes the output of a step.
func (sim *simulation) finish(node *process) {
	output := node.replica.Ready(node.clock(sim.now))
	for _, envelope := range output.Messages {
		sim.inspectMessage(node, envelope.Message)
		node.batcher.Add(envelope)
	}
	if output.Restore != nil {
		node.state.restore(output.Restore.State)
	}
	for _, entry := range output.Committed {
		node.state.apply(entry)
		sim.inspectEntry(node, entry)
	}
	sim.inspectState(node)
	if output.SnapshotNeeded {
		_ = node.replica.ProvideSnapshot(node.clock(sim.now), node.state.snapshot())
		sim.finish(node)
	}
	for _, peer := range node.batcher.Peers() {
		batch := node.batcher.Take(peer)
		for _, other := range sim.processes {
			if other.name == peer {
				sim.send(node, other, batch)
			}
		}
	}
	if node.replica.Role() == replication.RoleRetired {
		sim.rejoin(node)
	}
}
