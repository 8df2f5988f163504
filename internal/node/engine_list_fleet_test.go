package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/logging"
	"go.uber.org/zap"
)

const (
	listZone      = "zone"
	listEngines   = 20
	leavingEngine = "engine-0"
	heartbeat     = 1200 * time.Millisecond
	// settledAfter is how long the nodes of a zone run before anything happens.
	settledAfter = 8 * time.Second
	// logResponseTime is how long the log takes for a read.
	logResponseTime = 4 * time.Millisecond
)

// listFleet is the nodes of one zone that learn from a log, and from each other, which engines there are.
type listFleet struct {
	log     *durable.Memory
	network *fakeNetwork
	nodes   []*Node
	mutex   sync.Mutex
	// silentTo holds the nodes that the log does not answer, refused those that it refuses, frozen those that
	// answer nobody.
	silentTo, refused, frozen map[string]bool
	// leaving is true once the leaving engine has said so; learnedAt is when each node learned it.
	leaving   bool
	learnedAt map[string]time.Time
	// records counts the engine records that each node has read from the log.
	records map[string]int
}

// listLog is the log as one node of a zone calls it.
type listLog struct {
	*durable.Memory
	node  string
	fleet *listFleet
}

func (log *listLog) respond(ctx context.Context) error {
	if log.fleet.holds(log.fleet.silentTo, log.node) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(logResponseTime)
	if log.fleet.holds(log.fleet.refused, log.node) {
		return durable.ErrUnavailable
	}
	return nil
}

func (log *listLog) Latest(ctx context.Context, topic string) (durable.Snapshot, error) {
	if err := log.respond(ctx); err != nil {
		return durable.Snapshot{}, err
	}
	return log.Memory.Latest(ctx, topic)
}

func (log *listLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	if err := log.respond(ctx); err != nil {
		return durable.Batch{}, err
	}
	batch, err := log.Memory.Read(ctx, partition, from, wait)
	if partition.Topic == "engines" {
		log.fleet.mutex.Lock()
		log.fleet.records[log.node] += len(batch.Records)
		log.fleet.mutex.Unlock()
	}
	return batch, err
}

// holds reports whether a set of nodes holds a node.
func (fleet *listFleet) holds(set map[string]bool, name string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return set[name]
}

// newListFleet starts the nodes of a zone before engines that serve on for a time once they have said that
// they leave.
func newListFleet(ctx context.Context, t *testing.T, nodeCount int, engineDrainTime time.Duration) *listFleet {
	logger, err := logging.New("error", t.Output())
	if err != nil {
		t.Fatal(err)
	}
	fleet := &listFleet{log: durable.NewMemory(), network: &fakeNetwork{nodes: map[string]http.Handler{}, cut: map[[2]string]bool{}},
		silentTo: map[string]bool{}, refused: map[string]bool{}, frozen: map[string]bool{}, learnedAt: map[string]time.Time{}, records: map[string]int{}}
	random := rand.New(rand.NewPCG(uint64(nodeCount), 1))
	for number := range listEngines {
		go fleet.heartbeats(ctx, "engine-"+strconv.Itoa(number), time.Duration(random.Int64N(int64(heartbeat))))
	}
	for number := range nodeCount {
		node := fleet.newNode("node-"+strconv.Itoa(number), engineDrainTime, logger.Sampled())
		fleet.nodes = append(fleet.nodes, node)
	}
	for _, node := range fleet.nodes {
		for _, other := range fleet.nodes {
			node.members.put(Member{Name: other.settings.Name, Address: other.settings.Name, Zone: listZone, Capacity: 800})
		}
		time.AfterFunc(time.Duration(random.Int64N(int64(learnInterval))), func() { node.startLearning(ctx) })
	}
	return fleet
}

func (fleet *listFleet) newNode(name string, engineDrainTime time.Duration, logger *logging.Logger) *Node {
	node := &Node{settings: Settings{Name: name, Zone: listZone, EngineDrainTime: engineDrainTime}, members: newMembers(), logger: logger,
		engines: backend.NewDirectory(), freezes: freeze.NewDetector()}
	node.dependencies = Dependencies{Log: &listLog{Memory: fleet.log, node: name, fleet: fleet}, EngineTopic: "engines", ConfigurationTopic: "configuration", MemberTopic: "nodes"}
	isFrozen := func(other string) bool { return fleet.holds(fleet.frozen, other) }
	node.peers = newPeers(node.members, fleet.network.delayedClientFor(name, time.Millisecond, isFrozen))
	ignore := func(durable.KeyedRecord) bool { return false }
	states := map[string]string{}
	node.engineView = newRecordView("engines", zap.NewNop(), func(record durable.KeyedRecord) bool {
		if states[record.Key] == string(record.Value) {
			return false
		}
		states[record.Key] = string(record.Value)
		if string(record.Value) == "draining" {
			fleet.mutex.Lock()
			fleet.learnedAt[name] = time.Now()
			fleet.mutex.Unlock()
		}
		return true
	})
	node.configurationView = newRecordView("configuration", zap.NewNop(), ignore)
	node.memberView = newRecordView("nodes", zap.NewNop(), ignore)
	node.learner = newLearner(node)
	fleet.network.nodes[name] = nodev1.NewNodeServer(&peerServer{node: node})
	return node
}

// startLearning starts what a node does to learn of engines, as Node.run does.
func (node *Node) startLearning(ctx context.Context) {
	node.learner.started = time.Now()
	node.followers = node.newFollowers()
	for _, follower := range node.followers {
		follower.lastResponse.set(time.Now())
	}
	go node.freezes.Run(ctx)
	for _, follower := range node.followers {
		go follower.run(ctx)
	}
	go node.learner.run(ctx, node.followers)
}

// heartbeats writes an engine's record until ctx ends.
func (fleet *listFleet) heartbeats(ctx context.Context, id string, offset time.Duration) {
	for time.Sleep(offset); ctx.Err() == nil; time.Sleep(heartbeat) {
		fleet.mutex.Lock()
		leaving := fleet.leaving
		fleet.mutex.Unlock()
		fleet.putEngine(id, leaving && id == leavingEngine)
	}
}

func (fleet *listFleet) putEngine(id string, draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	_, _ = fleet.log.Append(context.Background(), durable.Partition{Topic: "engines"}, [][]byte{durable.EncodeKeyed(id, []byte(state))}, durable.Condition{})
}

// leave lets an engine say that it leaves, and returns when the log has taken that.
func (fleet *listFleet) leave() time.Time {
	fleet.mutex.Lock()
	fleet.leaving = true
	fleet.mutex.Unlock()
	fleet.putEngine(leavingEngine, true)
	return time.Now()
}

// first returns the first nodes in the order in which they read the log for others, and the rest.
func (fleet *listFleet) first(count int) (first, rest []string) {
	var names []string
	for _, member := range fleet.nodes[0].members.logReaderCandidates(listZone) {
		names = append(names, member.Name)
	}
	return names[:count], names[count:]
}

// add adds nodes to a set.
func (fleet *listFleet) add(set map[string]bool, names []string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, name := range names {
		set[name] = true
	}
}

// slowest returns the longest time that a node of a list took to learn that an engine leaves.
func (fleet *listFleet) slowest(names []string, leftAt time.Time) (slowest time.Duration, last string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, name := range names {
		took := time.Since(leftAt)
		if learned, known := fleet.learnedAt[name]; known {
			took = learned.Sub(leftAt)
		}
		if took >= slowest {
			slowest, last = took, name
		}
	}
	return slowest, last
}

// recordsRead returns how many engine records each node of a list reads in a period.
func (fleet *listFleet) recordsRead(names []string, period time.Duration) map[string]int {
	fleet.mutex.Lock()
	clear(fleet.records)
	fleet.mutex.Unlock()
	time.Sleep(period)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	read := map[string]int{}
	for _, name := range names {
		if fleet.records[name] > 0 {
			read[name] = fleet.records[name]
		}
	}
	return read
}

// Guards against requests to an engine that leaves by nodes in contact with the log while any number of the
// nodes that read it for them are not, and against a zone whose nodes all read it then.
func TestNodesInContactWithTheLogLearnOfLeavingEnginesInTime(t *testing.T) {
	for _, engineDrainTime := range []time.Duration{2 * time.Second, 5 * time.Second} {
		for _, nodeCount := range []int{4, 9, 12, 22, 40} {
			for _, cutCount := range []int{1, 2, 3, 4, 6, nodeCount - 1} {
				if cutCount > nodeCount-1 {
					continue
				}
				t.Run(fmt.Sprintf("%v, %d nodes, %d cut off", engineDrainTime, nodeCount, cutCount), func(t *testing.T) {
					t.Parallel()
					inVirtualTime(t, func(t *testing.T) { expectLeavingEngineLearned(t, nodeCount, cutCount, engineDrainTime, cutSilently) })
				})
			}
		}
	}
}

// The same where the nodes are refused by the log, or do not answer other nodes either.
func TestNodesLearnOfLeavingEnginesInTimeWhateverKeepsOthersFromTheLog(t *testing.T) {
	for name, disrupt := range map[string]func(*listFleet, []string){
		"refused": func(fleet *listFleet, names []string) { fleet.add(fleet.refused, names) },
		"frozen": func(fleet *listFleet, names []string) {
			fleet.add(fleet.silentTo, names)
			fleet.add(fleet.frozen, names)
		},
		"half of them frozen": func(fleet *listFleet, names []string) {
			fleet.add(fleet.silentTo, names)
			fleet.add(fleet.frozen, names[:len(names)/2])
		},
		"one after another": func(fleet *listFleet, names []string) {
			for index, cut := range names {
				time.AfterFunc(time.Duration(index)*learnInterval, func() { fleet.add(fleet.silentTo, []string{cut}) })
			}
		},
	} {
		for _, cutCount := range []int{2, 3, 4, 6, 11} {
			t.Run(fmt.Sprintf("%s, %d cut off", name, cutCount), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T) { expectLeavingEngineLearned(t, 12, cutCount, 2*time.Second, disrupt) })
			})
		}
	}
}

func cutSilently(fleet *listFleet, names []string) { fleet.add(fleet.silentTo, names) }

// expectLeavingEngineLearned lets an engine leave once the first nodes of a zone are kept from the log, and
// expects the others to learn it within the engines' drain time, from few readers.
func expectLeavingEngineLearned(t *testing.T, nodeCount, cutCount int, engineDrainTime time.Duration, disrupt func(fleet *listFleet, names []string)) {
	ctx, stop := context.WithCancel(context.Background())
	fleet := newListFleet(ctx, t, nodeCount, engineDrainTime)
	time.Sleep(settledAfter)
	cut, inContact := fleet.first(cutCount)
	disrupt(fleet, cut)
	time.Sleep(logResponseTime)
	leftAt := fleet.leave()
	time.Sleep(engineDrainTime)
	readers := fleet.recordsRead(inContact, engineDrainTime)
	slowest, last := fleet.slowest(inContact, leftAt)
	t.Logf("learned after %v at most; then %d of %d read the log", slowest, len(readers), len(inContact))
	if slowest >= engineDrainTime {
		t.Errorf("%s sends to the engine for %v after it has said that it leaves", last, slowest)
	}
	if nodeCount > nodesPerReader && len(readers) > max(2*cutCount, firstGroupSize) {
		t.Errorf("%d nodes read the log", len(readers))
	}
	stop()
	time.Sleep(time.Minute)
}

// Guards against nodes that go on reading the log once those that read it for them are back.
func TestNodesStopReadingTheLogOnceTheirSourcesAreBack(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		fleet := newListFleet(ctx, t, 22, 3*time.Second)
		time.Sleep(settledAfter)
		cut, _ := fleet.first(6)
		cutSilently(fleet, cut)
		time.Sleep(6 * time.Second)
		fleet.mutex.Lock()
		clear(fleet.silentTo)
		fleet.mutex.Unlock()
		time.Sleep(2 * readerRetryDelay)
		_, all := fleet.first(0)
		readers := fleet.recordsRead(all, 3*time.Second)
		if len(readers) != 1 {
			t.Errorf("%d nodes read the log: %v", len(readers), readers)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
