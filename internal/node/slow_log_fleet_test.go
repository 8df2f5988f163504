package node

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
)

const (
	slowLogShards = 16
	// callerTimeout is the pause after which a caller leaves its stream.
	callerTimeout = 2 * time.Second
	// partitionQueueLimit is the wait beyond which a partition answers 503.
	partitionQueueLimit = 2 * time.Second
	// fastPeriod is how long the log is fast before it becomes slow.
	fastPeriod          = 2 * time.Second
	fastAppendTime      = 4 * time.Millisecond
	fastReadTime        = 3 * time.Millisecond
	slowAppendTime      = 60 * fastAppendTime
	fleetTurnsPerSecond = 200
)

// serialLog is a log of which each partition takes one append at a time, and answers 503 while
// appends of over partitionQueueLimit wait. An append goes on in the log when its caller gives up.
type serialLog struct {
	*durable.Memory
	mutex sync.Mutex
	// appendTime returns how long an append that is taken at a time lasts; answerLost whether an
	// append that is sent at a time is never answered.
	appendTime func(at time.Time) time.Duration
	answerLost func(at time.Time) bool
	// fastReads is true if only appends are slow. silentTo returns whether the log gets no call of a
	// node at a time.
	fastReads bool
	silentTo  func(node string, at time.Time) bool
	free      map[durable.Partition]time.Time
	calls     []*serialCall
}

// serialCall is one call of Append.
type serialCall struct {
	node        string
	number      int
	turns       []string
	sent, taken time.Time
	ended       time.Time
	refused     bool
	lost        bool
	beside      bool
	reasons     map[string]int
	onlyRepeats bool
}

// nodeLog is the serial log as one node calls it.
type nodeLog struct {
	*serialLog
	node string
	run  *fleet
}

func (log *nodeLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	now := time.Now()
	call := &serialCall{node: log.node, number: partition.Number, sent: now, reasons: map[string]int{}}
	for _, record := range records {
		call.turns = append(call.turns, turnName(record))
	}
	log.mutex.Lock()
	log.calls = append(log.calls, call)
	log.run.classify(call)
	if log.silentTo != nil && log.silentTo(log.node, now) {
		call.lost = true
		log.mutex.Unlock()
		<-ctx.Done()
		return durable.AppendResult{}, ctx.Err()
	}
	free := log.free[partition]
	if free.Sub(now) > partitionQueueLimit {
		call.refused = true
		call.ended = now
		log.mutex.Unlock()
		time.Sleep(log.run.transit)
		return durable.AppendResult{}, durable.ErrUnavailable
	}
	call.taken = now
	if free.After(now) {
		call.taken = free
	}
	call.ended = call.taken.Add(log.appendTime(call.taken))
	log.free[partition] = call.ended
	call.lost = log.answerLost != nil && log.answerLost(now)
	log.mutex.Unlock()
	stored := make(chan durable.AppendResult, 1)
	time.AfterFunc(call.ended.Sub(now), func() {
		result, _ := log.Memory.Append(context.Background(), partition, records, condition)
		time.Sleep(log.run.transit)
		stored <- result
	})
	if call.lost {
		<-ctx.Done()
		return durable.AppendResult{}, ctx.Err()
	}
	select {
	case result := <-stored:
		return result, nil
	case <-ctx.Done():
		return durable.AppendResult{}, ctx.Err()
	}
}

// Read takes as long as the log is slow, but does not wait for appends.
func (log *nodeLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	now := time.Now()
	if log.silentTo != nil && log.silentTo(log.node, now) {
		<-ctx.Done()
		return durable.Batch{}, ctx.Err()
	}
	took := fastReadTime
	if !log.fastReads {
		took = fastReadTime * log.appendTime(now) / fastAppendTime
	}
	select {
	case <-time.After(took + log.run.transit):
		return log.Memory.Read(ctx, partition, from, wait)
	case <-ctx.Done():
		return durable.Batch{}, ctx.Err()
	}
}

// turnName finds the ID of a turn in its record.
func turnName(record []byte) string {
	start := bytes.Index(record, []byte("<turn-"))
	end := bytes.IndexByte(record[start:], '>')
	return string(record[start : start+end+1])
}

// fleetTurn is a turn of a run.
type fleetTurn struct {
	shard    int
	origin   string
	asked    time.Time
	recorded time.Duration
	err      error
}

// fleet is a fleet that records turns in a log that becomes slow.
type fleet struct {
	log     *serialLog
	network *fakeNetwork
	nodes   []*Node
	owners  []*Node
	start   time.Time // of the slowness
	mutex   sync.Mutex
	turns   map[string]*fleetTurn
	// forOthers tells why a node records another's turn, sentBy which partitions each turn went to.
	forOthers map[string]string
	sent      map[string]bool
	// transit is the time of a message on its way.
	transit time.Duration
	// frozen nodes answer nobody.
	frozen map[string]bool
}

func (run *fleet) isFrozen(name string) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	return run.frozen[name]
}

// classify tells why each turn of a call was sent. The caller holds the log's mutex.
func (run *fleet) classify(call *serialCall) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	call.onlyRepeats = true
	for _, name := range call.turns {
		turn := run.turns[name]
		reason := "first try"
		switch {
		case turn.origin != call.node:
			reason = run.forOthers[call.node+name]
		case run.sent[call.node+name]:
			reason = "hedge or retry"
		}
		if call.number != turn.shard {
			reason += ", other partition"
		}
		call.reasons[reason]++
		run.sent[call.node+name] = true
		if !run.sent[name] {
			call.onlyRepeats = false
		}
		run.sent[name] = true
	}
	for _, other := range run.log.calls {
		if other != call && other.node == call.node && other.number == call.number && !other.refused && other.ended.After(call.sent) {
			call.beside = true
		}
	}
}

// observedServer notes why a node records another's turn.
type observedServer struct {
	*peerServer
	run *fleet
}

func (server *observedServer) Record(ctx context.Context, request *nodev1.RecordRequest) (*nodev1.RecordReply, error) {
	server.run.mutex.Lock()
	key := server.node.settings.Name + request.Turn.Id
	if server.run.forOthers[key] == "" {
		server.run.forOthers[key] = "relay"
		if request.AcceptsPending {
			server.run.forOthers[key] = "group relay"
		}
	}
	server.run.mutex.Unlock()
	return server.peerServer.Record(ctx, request)
}

// newFleet starts nodes whose first ones own the shards.
func newFleet(t *testing.T, nodeCount int, transit time.Duration) *fleet {
	logger, err := logging.New("error", t.Output())
	if err != nil {
		t.Fatal(err)
	}
	run := &fleet{start: time.Now().Add(fastPeriod), transit: transit, network: &fakeNetwork{nodes: map[string]http.Handler{}, cut: map[[2]string]bool{}},
		turns: map[string]*fleetTurn{}, forOthers: map[string]string{}, sent: map[string]bool{}, frozen: map[string]bool{}}
	run.log = &serialLog{Memory: durable.NewMemory(), free: map[durable.Partition]time.Time{}}
	run.log.appendTime = func(at time.Time) time.Duration {
		if at.Before(run.start) {
			return fastAppendTime
		}
		return slowAppendTime
	}
	for number := range nodeCount {
		name := "node-" + strconv.Itoa(number)
		node := &Node{settings: Settings{Name: name, Shards: slowLogShards}, members: newMembers(), logger: logger.Sampled(), turns: history.NewStore(1 << 20)}
		node.peers = newPeers(node.members, run.network.delayedClientFor(name, run.transit, run.isFrozen))
		node.programs = newPrograms(node)
		recordIn(node, run.logOf(node))
		run.network.nodes[name] = nodev1.NewNodeServer(&observedServer{peerServer: &peerServer{node: node}, run: run})
		run.nodes = append(run.nodes, node)
	}
	for _, node := range run.nodes {
		for _, other := range run.nodes {
			node.members.put(Member{Name: other.settings.Name, Address: other.settings.Name, Capacity: 800})
		}
	}
	for shard := range slowLogShards {
		owner := run.nodes[0]
		for _, node := range run.nodes {
			if node.settings.Name == run.nodes[0].members.candidates(shard)[0].Name {
				owner = node
			}
		}
		run.owners = append(run.owners, owner)
		for _, node := range run.nodes {
			node.programs.owners[shard] = ownership.Owner{Node: owner.settings.Name, Epoch: 1}
		}
	}
	return run
}

// logOf returns the fleet's log as a node calls it.
func (run *fleet) logOf(node *Node) *nodeLog {
	return &nodeLog{serialLog: run.log, node: node.settings.Name, run: run}
}

// recordIn makes a node record turns in a log, as New does.
func recordIn(node *Node, log durable.Log) {
	observed := &durable.Instrumented{Log: log,
		Observe: func(operation, _ string, took time.Duration, err error) { node.logHealth.observe(operation, took, err) }}
	node.recorder = history.NewRecorder(observed, slowLogShards)
	node.recorder.SetRelay(node.recordRemotely)
	node.recorder.EnableGroupCommit(node.recordInGroup, &node.logHealth)
}

// namedTurn returns a turn by its name in the counts, which is its ID.
func namedTurn(name string) *history.Turn {
	return &history.Turn{ID: name, Program: "p", Input: []byte("in"), Output: []byte("out\n"), EndedAt: time.Now(), Retention: time.Minute}
}

// ownerAndRequester returns a shard's owner and a node that does not own it.
func (run *fleet) ownerAndRequester(shard int) (owner, requester *Node) {
	owner = run.owners[shard]
	for _, node := range run.nodes {
		if node != owner {
			return owner, node
		}
	}
	return owner, nil
}

// expectNoneLost prints counts, and fails if a turn of a period was not recorded in time.
func (run *fleet) expectNoneLost(t *testing.T, periods ...time.Duration) {
	t.Helper()
	if lost := run.report(t, periods...); lost > 0 {
		t.Errorf("%d turns not recorded within %v", lost, callerTimeout)
	}
}

// gossip exchanges what nodes know of the log as the fleet does: every node asks its reader, one per
// nodesPerReader nodes, each learnInterval, and the owner of a turn's shard when the turn begins.
func (run *fleet) gossip(ctx context.Context, random *rand.Rand) {
	tell := func(from, to *Node) {
		observed := from.logHealth.report(time.Now())
		time.Sleep(run.transit)
		to.logHealth.observeRemote(observed, time.Now())
	}
	for index, node := range run.nodes {
		reader := run.nodes[index/nodesPerReader*nodesPerReader]
		offset := time.Duration(random.Int64N(int64(learnInterval)))
		go func() {
			for time.Sleep(offset); ctx.Err() == nil; time.Sleep(learnInterval) {
				tell(node, reader)
				tell(reader, node)
			}
		}()
	}
	starts := rand.New(rand.NewPCG(random.Uint64(), 1))
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second / fleetTurnsPerSecond)
			node, owner := run.nodes[starts.IntN(len(run.nodes))], run.owners[starts.IntN(slowLogShards)]
			go tell(owner, node)
		}
	}()
}

// play records turns at random nodes for a time after the log has become slow.
func (run *fleet) play(seed uint64, slowPeriod time.Duration) {
	random := rand.New(rand.NewPCG(seed, 0))
	ctx, cancel := context.WithCancel(context.Background())
	run.gossip(ctx, random)
	var group sync.WaitGroup
	for number := 0; time.Since(run.start) < slowPeriod; number++ {
		node := run.nodes[random.IntN(len(run.nodes))]
		for run.isFrozen(node.settings.Name) {
			node = run.nodes[random.IntN(len(run.nodes))]
		}
		name := fmt.Sprintf("<turn-%d>", number)
		turn := &fleetTurn{shard: random.IntN(slowLogShards), origin: node.settings.Name, asked: time.Now()}
		run.mutex.Lock()
		run.turns[name] = turn
		run.mutex.Unlock()
		group.Go(func() {
			bounded, cancelBounded := context.WithTimeout(context.Background(), callerTimeout)
			defer cancelBounded()
			err := node.recorder.Record(bounded, turn.shard, namedTurn(name))
			turn.recorded, turn.err = time.Since(turn.asked), err
			if err == nil { // The owner learns of it with the settlement.
				run.owners[turn.shard].logHealth.observeRecording(turn.recorded)
			}
		})
		time.Sleep(time.Second / fleetTurnsPerSecond)
	}
	group.Wait()
	cancel()
	time.Sleep(20 * time.Second)
}

// report prints counts, and returns how many turns that were asked for from the slowness on, in a
// period, were lost.
func (run *fleet) report(t *testing.T, periods ...time.Duration) int {
	run.log.mutex.Lock()
	defer run.log.mutex.Unlock()
	lost := 0
	from := time.Duration(-time.Second)
	for _, until := range periods {
		var asked, failed int
		var worst time.Duration
		for _, turn := range run.turns {
			at := turn.asked.Sub(run.start)
			if at < from || at >= until {
				continue
			}
			asked++
			if turn.err != nil {
				failed++
			}
			worst = max(worst, turn.recorded)
		}
		if until > 0 {
			lost += failed
		}
		var calls, refused, beside, repeats, records, lostAnswers int
		var wait time.Duration
		reasons := map[string]int{}
		for _, call := range run.log.calls {
			at := call.sent.Sub(run.start)
			if at < from || at >= until {
				continue
			}
			calls++
			records += len(call.turns)
			if call.refused {
				refused++
				reasons["refused"]++
				continue
			}
			if call.lost {
				lostAnswers++
			}
			if call.beside {
				beside++
			}
			if call.onlyRepeats {
				repeats++
			}
			wait = max(wait, call.taken.Sub(call.sent))
			names := slices.Sorted(maps.Keys(call.reasons))
			reasons[strings.Join(names, " + ")]++
		}
		t.Logf("%v to %v: %d turns, %d lost, worst %v; %d appends with %d records, %d refused, %d beside the same node's own, %d with repeats only, %d unanswered, longest wait %v",
			from, until, asked, failed, worst.Round(time.Millisecond), calls, records, refused, beside, repeats, lostAnswers, wait.Round(time.Millisecond))
		for _, reason := range slices.Sorted(maps.Keys(reasons)) {
			t.Logf("    %4d %s", reasons[reason], reason)
		}
		from = until
	}
	return lost
}

// inVirtualTime runs a test in virtual time, after the origin of atomicTime.
func inVirtualTime(t *testing.T, run func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Until(processStart.Round(0)) + time.Hour)
		run(t)
	})
}

// sampleKnowledge logs how many nodes know that appends are slow at times after the slowness began.
func (run *fleet) sampleKnowledge(t *testing.T, times ...time.Duration) {
	go func() {
		for _, at := range times {
			time.Sleep(time.Until(run.start.Add(at)))
			know, owners := 0, 0
			latestFast := -time.Hour
			for _, node := range run.nodes {
				latestFast = max(latestFast, at-node.logHealth.lastFastAppend.age(time.Now()))
				if node.logHealth.AppendsSlow() {
					know++
				}
			}
			for _, owner := range run.owners {
				if owner.logHealth.AppendsSlow() {
					owners++
				}
			}
			run.log.mutex.Lock()
			var total, worst time.Duration
			for _, free := range run.log.free {
				wait := max(0, time.Until(free))
				total += wait
				worst = max(worst, wait)
			}
			run.log.mutex.Unlock()
			t.Logf("at %v: %d of %d nodes and %d of %d owners know; the partitions' queues hold %v on average, %v at most; the last fast append is believed to have ended at %v",
				at, know, len(run.nodes), owners, slowLogShards, (total / slowLogShards).Round(time.Millisecond), worst.Round(time.Millisecond), latestFast.Round(time.Millisecond))
		}
	}()
}
