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
		direct := run.network.clientFor(name)
		node.peers = newPeers(node.members, &http.Client{Transport: roundTripperFunc(func(request *http.Request) (*http.Response, error) {
			time.Sleep(run.transit)
			if run.isFrozen(request.URL.Host) {
				<-request.Context().Done()
				return nil, request.Context().Err()
			}
			return direct.Transport.RoundTrip(request)
		})})
		node.programs = newPrograms(node)
		observed := &durable.Instrumented{Log: &nodeLog{serialLog: run.log, node: name, run: run},
			Observe: func(operation, _ string, took time.Duration, err error) { node.logHealth.observe(operation, took, err) }}
		node.recorder = history.NewRecorder(observed, slowLogShards)
		node.recorder.SetRelay(node.recordRemotely)
		node.recorder.EnableGroupCommit(node.recordInGroup, &node.logHealth)
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
			err := node.recorder.Record(bounded, turn.shard, &history.Turn{ID: name, Program: "p", Input: []byte("in"), Output: []byte("out\n"), EndedAt: time.Now(), Retention: time.Minute})
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

var sampleTimes = []time.Duration{60 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond,
	time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond, 4 * time.Second, 5 * time.Second}

// Guards against programs lost in the first seconds of a slow log: one append per partition at a
// time, with all that waits behind it, would record every turn within two appends.
func TestTurnsAreRecordedFromTheMomentTheLogBecomesSlow(t *testing.T) {
	for _, transit := range []time.Duration{time.Millisecond, 10 * time.Millisecond} {
		for _, nodeCount := range []int{48, 84} {
			t.Run(fmt.Sprintf("%d nodes, %v apart", nodeCount, transit), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					run := newFleet(t, nodeCount, transit)
					run.sampleKnowledge(t, sampleTimes...)
					run.play(1, 6*time.Second)
					lost := run.report(t, 0, 60*time.Millisecond, 100*time.Millisecond, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 6*time.Second)
					if lost > 0 {
						t.Errorf("%d turns not recorded within %v", lost, callerTimeout)
					}
				})
			})
		}
	}
}

// Guards against the same losses where only appends are slow: a read at once does not tell a lost
// answer from a slow append then.
func TestTurnsAreRecordedInALogWithSlowAppendsAndFastReads(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		run.log.fastReads = true
		run.play(1, 6*time.Second)
		if lost := run.report(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second); lost > 0 {
			t.Errorf("%d turns not recorded within %v", lost, callerTimeout)
		}
	})
}

// Guards against turns that wait at a group writer to which the log does not respond while it is fast
// for the others.
func TestTurnsAreRecordedWhenTheLogIsSilentToAGroupWriter(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
		cut := run.owners[3].settings.Name
		run.log.silentTo = func(node string, at time.Time) bool { return node == cut && !at.Before(run.start) }
		run.play(1, 6*time.Second)
		if lost := run.report(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second); lost > 0 {
			t.Errorf("%d turns not recorded within %v", lost, callerTimeout)
		}
	})
}

// Guards against the same losses where group writers don't answer, or where nodes disagree about the
// owner of a shard. The candidates that take their place need one recordTimeout more.
func TestTurnsAreRecordedInASlowLogWhenGroupWritersFail(t *testing.T) {
	const nodeCount = 84
	for name, harm := range map[string]func(run *fleet){
		"two owners frozen from the beginning": func(run *fleet) {
			run.frozen[run.owners[3].settings.Name] = true
			run.frozen[run.owners[7].settings.Name] = true
		},
		"half of the nodes know another owner": func(run *fleet) {
			for index, node := range run.nodes {
				node.programs.mutex.Lock()
				for shard := range slowLogShards {
					if index%2 == 0 {
						node.programs.owners[shard] = ownership.Owner{Node: run.nodes[0].members.candidates(shard)[1].Name, Epoch: 1}
					}
				}
				node.programs.mutex.Unlock()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				run := newFleet(t, nodeCount, time.Millisecond)
				go func() {
					time.Sleep(time.Until(run.start))
					run.mutex.Lock()
					defer run.mutex.Unlock()
					harm(run)
				}()
				run.sampleKnowledge(t, sampleTimes...)
				run.play(1, 6*time.Second)
				lost := run.report(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 6*time.Second)
				if lost > 0 {
					t.Errorf("%d turns not recorded within %v", lost, callerTimeout)
				}
			})
		})
	}
}

// Guards against turns lost with the responses of a fast log, of which 3 in 10 are lost here: bounds
// for a slow log must not delay a further append to this one.
func TestTurnsAreRecordedInALogThatLosesAnswers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
		random := rand.New(rand.NewPCG(7, 7))
		run.log.answerLost = func(at time.Time) bool { return !at.Before(run.start) && random.IntN(10) < 3 }
		run.sampleKnowledge(t, sampleTimes...)
		run.play(1, 6*time.Second)
		if lost := run.report(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second); lost > 0 {
			t.Errorf("%d turns not recorded within %v", lost, callerTimeout)
		}
	})
}

// Guards against an observation that seems newer with each repetition of a request: nodes then
// believe that an append was fast since the log became slow, and send hedges that add to its queues.
func TestARepeatedGroupRelayDoesNotRenewWhatItObserved(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 2, time.Millisecond)
		run.start = time.Now()
		const shard = 1
		writer, requester := run.owners[shard], run.nodes[0]
		if writer == requester {
			requester = run.nodes[1]
		}
		run.log.free[durable.Partition{Topic: history.Topic, Number: shard}] = run.start.Add(partitionQueueLimit)
		requester.logHealth.observe(durable.OperationAppend, fastAppendTime, nil)
		time.Sleep(fastAppendTime)
		requester.logHealth.ObserveSlowAppend(time.Now())
		run.turns["<turn-0>"] = &fleetTurn{shard: shard, origin: requester.settings.Name, asked: time.Now()}
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		go func() {
			_ = requester.recorder.Record(ctx, shard, &history.Turn{ID: "<turn-0>", Program: "p", Input: []byte("in"), Output: []byte("out\n"), EndedAt: time.Now(), Retention: time.Minute})
		}()
		time.Sleep(time.Second)
		// The one fast append ended at the start; ages are whole milliseconds and travel for one more.
		if tolerance := 10 * time.Millisecond; writer.logHealth.FastAppendSince(run.start.Add(tolerance)) {
			t.Errorf("after 1 s the writer believes that an append ended %v ago and was fast", writer.logHealth.lastFastAppend.age(time.Now()))
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against the same where nodes tell each other: a time that gains a transit with each hop never
// gets old in a fleet of many hops.
func TestWhatNodesTellOfTheLogDoesNotGetNewer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const transit = 10 * time.Millisecond
		run := newFleet(t, 84, transit)
		run.nodes[0].logHealth.observe(durable.OperationAppend, fastAppendTime, nil)
		ended := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		run.gossip(ctx, rand.New(rand.NewPCG(1, 0)))
		time.Sleep(3 * time.Second)
		cancel()
		latest := time.Duration(0)
		for _, node := range run.nodes {
			if !node.logHealth.lastFastAppend.isZero() {
				latest = max(latest, time.Since(ended)-node.logHealth.lastFastAppend.age(time.Now()))
			}
		}
		// A slow append counts from 100 ms on: an error as large takes a slow log for a fast one.
		if latest >= durable.SlowAppend {
			t.Errorf("3 s after an append some node believes that it ended %v later than it did", latest)
		}
		time.Sleep(time.Second)
	})
}

// Guards against a turn that is appended again for its requester's next request, when the append ended
// between two of them. With an append as long as pendingReplyAfter and one way to the writer, it is
// appended for as long as its requester asks, and never acknowledged.
func TestARecordingThatEndedBetweenRequestsIsNotMadeAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 2, 10*time.Millisecond)
		run.start = time.Now()
		const shard = 1
		writer, requester := run.owners[shard], run.nodes[0]
		if writer == requester {
			requester = run.nodes[1]
		}
		requester.logHealth.ObserveSlowAppend(time.Now())
		run.turns["<turn-0>"] = &fleetTurn{shard: shard, origin: requester.settings.Name, asked: time.Now()}
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		err := requester.recorder.Record(ctx, shard, &history.Turn{ID: "<turn-0>", Program: "p", Input: []byte("in"), Output: []byte("out\n"), EndedAt: time.Now(), Retention: time.Minute})
		if err != nil {
			t.Errorf("turn not recorded: %v", err)
		}
		time.Sleep(20 * time.Second)
		run.log.mutex.Lock()
		defer run.log.mutex.Unlock()
		if len(run.log.calls) > 1 {
			t.Errorf("a turn was appended %d times by its one writer", len(run.log.calls))
		}
	})
}

// Guards against a group writer that adds to the queue it waits in: while appends are slow, one of its
// appends waits for one other of its own at most, and none goes to a neighbour's partition.
func TestGroupWriterDoesNotQueueItsAppendsWhileTheLogIsSlow(t *testing.T) {
	// The partition holds some appends of other nodes, from before they knew that the log is slow.
	for _, foreign := range []int{0, 3} {
		t.Run(strconv.Itoa(foreign)+" appends before it", func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				run := newFleet(t, 4, time.Millisecond)
				run.start = time.Now()
				const shard = 1
				partition := durable.Partition{Topic: history.Topic, Number: shard}
				run.log.free[partition] = time.Now().Add(time.Duration(foreign) * slowAppendTime)
				for _, node := range run.nodes {
					node.logHealth.ObserveSlowAppend(time.Now())
				}
				ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
				defer cancel()
				var group sync.WaitGroup
				// A partition's share of the turns, for one second.
				for number := range fleetTurnsPerSecond / slowLogShards {
					name := fmt.Sprintf("<turn-%d>", number)
					node := run.nodes[number%len(run.nodes)]
					run.mutex.Lock()
					turn := &fleetTurn{shard: shard, origin: node.settings.Name, asked: time.Now()}
					run.turns[name] = turn
					run.mutex.Unlock()
					group.Go(func() {
						turn.err = node.recorder.Record(ctx, shard, &history.Turn{ID: name, Program: "p", Input: []byte("in"), Output: []byte("out\n"), EndedAt: time.Now(), Retention: time.Minute})
						turn.recorded = time.Since(turn.asked)
					})
					time.Sleep(time.Second * slowLogShards / fleetTurnsPerSecond)
				}
				group.Wait()
				time.Sleep(20 * time.Second)
				if run.report(t, 2*time.Second) > 0 {
					t.Error("turns not recorded")
				}
				for _, call := range run.log.calls {
					t.Logf("%v: %s to partition %d, taken %v later: %d turns, %v", call.sent.Sub(run.start).Round(time.Millisecond), call.node, call.number,
						call.taken.Sub(call.sent).Round(time.Millisecond), len(call.turns), call.reasons)
					ahead := time.Duration(foreign)*slowAppendTime - call.sent.Sub(run.start)
					if call.taken.Sub(call.sent) > max(ahead, 0)+slowAppendTime || call.number != shard || call.onlyRepeats {
						t.Errorf("append at %v to partition %d, taken %v later, only repeats: %v", call.sent.Sub(run.start), call.number, call.taken.Sub(call.sent), call.onlyRepeats)
					}
				}
			})
		})
	}
}
