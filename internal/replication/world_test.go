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
	// clockSpread bounds how far a clock's rate is off, within the lease's margin.
	clockSpread = 0.045
)

// process is one simulated process with one replica of the shard.
type process struct {
	name     string
	zone     string
	registry *replication.Registry
	batcher  *replication.Batcher
	replica  *replication.Replica
	state    stateMachine
	rate     float64
	offset   time.Duration
	// pausedUntil holds the process still, with its clock going on.
	pausedUntil time.Duration
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now)*p.rate)
}

// stateMachine keeps a digest of all that was applied.
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

// world is one schedule: processes, a network and the checks.
type world struct {
	network
	checker
	config    replication.Config
	processes []*process
	proposals int
	// quiet ends the proposals.
	quiet bool
	// stream is the shard's stream in the platform's log.
	stream [][]byte
	// storeDownUntil holds back the archive.
	storeDownUntil time.Duration
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

// newWorld founds a group of three on the first three of the named zones.
func newWorld(seed int64, zones []string, rates faultRates) *world {
	w := &world{config: testConfig(), checker: newChecker()}
	w.network = network{
		random: rand.New(rand.NewSource(seed)),
		rates:  rates,
		cuts:   map[[2]string]time.Duration{},
	}
	group := replication.Group{Shard: shardNumber, Generation: generation}
	for position, zone := range zones {
		node := &process{
			name:   fmt.Sprintf("p%d", position),
			zone:   zone,
			rate:   1 + clockSpread*(2*w.random.Float64()-1),
			offset: time.Duration(w.random.Int63n(int64(time.Hour))) + time.Second,
		}
		w.boot(node)
		w.processes = append(w.processes, node)
		if position < 3 {
			group.Members = append(group.Members, replication.Member{Incarnation: node.registry.Boot(), Zone: zone})
		}
	}
	w.committedMembers = group.Members
	w.archiveClaim(group)
	for position, node := range w.processes {
		incarnation, err := node.registry.Joiner(shardNumber, generation)
		if position < 3 {
			incarnation, err = node.registry.Founder(shardNumber, generation)
		}
		w.check(err == nil, "founding failed: %v", err)
		w.start(node, incarnation, group)
		w.schedule(&event{at: time.Duration(w.random.Int63n(int64(tickInterval))), process: node})
	}
	return w
}

// boot gives a process a fresh memory.
func (w *world) boot(node *process) {
	random := rand.New(rand.NewSource(w.random.Int63()))
	node.registry = replication.NewRegistry(node.name, random)
	node.batcher = replication.NewBatcher(node.registry.Boot())
}

func (w *world) start(node *process, incarnation replication.Incarnation, group replication.Group) {
	self := replication.Member{Incarnation: incarnation, Zone: node.zone}
	random := rand.New(rand.NewSource(w.random.Int63()))
	replica, err := replication.New(w.config, node.clock(w.now), self, group, replication.Base{}, random)
	w.check(err == nil, "no replica: %v", err)
	node.replica = replica
	node.state = stateMachine{}
}

// rejoin starts a process's replica again with no memory of the last one.
func (w *world) rejoin(node *process) {
	incarnation, err := node.registry.Joiner(shardNumber, generation)
	w.check(err == nil, "no incarnation: %v", err)
	group := replication.Group{Shard: shardNumber, Generation: generation, Members: w.committedMembers}
	w.start(node, incarnation, group)
}

// restart kills a process and starts it anew, unless the schedule would lose a
// majority of some group that may be in force.
func (w *world) restart(node *process) {
	for _, other := range w.processes {
		if !w.survives(other.replica.Members(), node) {
			return
		}
	}
	if !w.survives(w.committedMembers, node) {
		return
	}
	w.restarts++
	w.boot(node)
	w.rejoin(node)
}

func (w *world) survives(members []replication.Member, victim *process) bool {
	alive := 0
	for _, member := range members {
		for _, node := range w.processes {
			if node != victim && node.replica.Self().Incarnation == member.Incarnation {
				alive++
			}
		}
	}
	return alive > len(members)/2
}

// run plays the schedule up to a virtual time.
func (w *world) run(until time.Duration) {
	for w.failure == "" && w.events[0].at < until {
		w.handle(w.next())
	}
	w.now = max(w.now, until)
}

func (w *world) handle(item *event) {
	node := item.process
	if w.now < node.pausedUntil {
		item.at = node.pausedUntil
		w.schedule(item)
		return
	}
	if item.batch != nil {
		if !w.isCut(item.from, node.zone) {
			w.deliver(node, item)
		}
	} else {
		node.replica.Tick(node.clock(w.now))
		w.act(node)
		w.schedule(&event{at: w.now + tickInterval, process: node})
	}
	w.finish(node)
	w.inspect(w)
}

func (w *world) deliver(node *process, item *event) {
	for _, message := range node.batcher.Open(item.batch) {
		node.replica.Receive(node.clock(w.now), message)
	}
}

// finish carries out a step's output.
func (w *world) finish(node *process) {
	output := node.replica.Ready(node.clock(w.now))
	for _, envelope := range output.Messages {
		w.inspectMessage(node, envelope.Message)
		node.batcher.Add(envelope)
	}
	if output.Restore != nil {
		node.state.restore(output.Restore.State)
	}
	for _, entry := range output.Committed {
		node.state.apply(entry)
		w.inspectEntry(node, entry)
	}
	w.inspectState(node)
	if output.SnapshotWanted {
		_ = node.replica.ProvideSnapshot(node.clock(w.now), node.state.snapshot())
		w.finish(node)
	}
	for _, peer := range node.batcher.Peers() {
		batch := node.batcher.Take(peer)
		for _, other := range w.processes {
			if other.name == peer {
				w.send(node, other, batch)
			}
		}
	}
	if node.replica.Role() == replication.RoleRetired {
		w.rejoin(node)
	}
}
