package scheduler

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand"
	"time"

	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/stream"
)

const (
	testModel   = "small"
	testTool    = "ledger"
	testAdapter = "dialect"
	testTenant  = "metering"
	testTier    = "kiosk"
	testLatency = time.Millisecond
)

// testCluster runs several cores on a virtual clock and network, with simulated engines and a
// simulated log. Equal seeds give equal runs.
type testCluster struct {
	now    time.Duration
	order  uint64
	random *rand.Rand
	queue  testQueue
	nodes  map[string]*testNode
	log    *testLog
	// replacements counts how often all processes were replaced at once.
	replacements int
	machines     []outside.Machine
	// runs counts the starts at back ends by request id.
	runs map[string]int
	// running holds the generations that the engines know, by request id.
	running map[string]*testGeneration
	sealed  map[string]bool
	// engines holds the engines by address.
	engines map[string]*testEngine
	// partitioned reports whether messages between two processes are dropped.
	partitioned func(from, to string) bool
	callSteps   int
	// toolsDown holds the addresses of tool back ends that refuse connections, lastToolCall the
	// time of each one's last call.
	toolsDown    map[string]bool
	lastToolCall map[string]time.Duration
	// runDelay is the additional latency of calls to engines, listDelay that of reading the
	// machine list.
	runDelay  time.Duration
	listDelay time.Duration
	// dropUnattachedSends drops calls in transit whose leader has stopped following them. Attach
	// requests are then delivered without runDelay.
	dropUnattachedSends bool
	// backlog bounds a shard's unarchived entries in bytes; 0 uses the default.
	backlog int
	// budget is the tier's budget in micros.
	budget      uint64
	answers     map[ReplyID]replyValue
	lastReplyID ReplyID
}

type testNode struct {
	cluster  *testCluster
	core     *Core
	name     string
	dead     bool
	paused   bool
	deferred []func()
	// replyPeers holds the peer whose batch a reply belongs to.
	replyPeers map[ReplyID]string
	polled     []EngineAddress
	stops      map[RunKey]bool
	epoch      int
}

type testGeneration struct {
	request string
	engine  string
	chunks  int
	done    bool
	// lost is true once the engine has crashed and lost the generation.
	lost bool
}

type testTimer struct {
	at    time.Duration
	order uint64
	run   func()
}

type testQueue []testTimer

func (queue testQueue) Len() int { return len(queue) }
func (queue testQueue) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].order < queue[right].order
}
func (queue testQueue) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }
func (queue *testQueue) Push(item any)       { *queue = append(*queue, item.(testTimer)) }
func (queue *testQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

func newTestCluster(seed int64, schedulers int) *testCluster {
	cluster := &testCluster{
		random:      rand.New(rand.NewSource(seed)),
		nodes:       make(map[string]*testNode),
		runs:        make(map[string]int),
		running:     make(map[string]*testGeneration),
		sealed:      make(map[string]bool),
		engines:     make(map[string]*testEngine),
		answers:     make(map[ReplyID]replyValue),
		partitioned: func(string, string) bool { return false },
		callSteps:   5,
		budget:      1 << 40,
	}
	cluster.log = newTestLog(cluster.random)
	for number := range schedulers {
		name := fmt.Sprintf("s%d", number)
		cluster.machines = append(cluster.machines, outside.Machine{
			ID: name, Role: outside.RoleScheduler, Region: "r", Zone: fmt.Sprintf("z%d", number%3),
			Address: name, State: outside.MachineLive,
		})
	}
	for number := range 2 {
		name := fmt.Sprintf("e%d", number)
		cluster.machines = append(cluster.machines, outside.Machine{
			ID: name, Role: outside.RoleEngine, Region: "r", Zone: "z0", Address: name,
			State: outside.MachineLive, Service: testModel,
		})
		cluster.engines[name] = newTestEngine(cluster, name)
	}
	cluster.machines = append(cluster.machines, outside.Machine{
		ID: "t0", Role: outside.RoleTool, Region: "r", Zone: "z0", Address: "t0",
		State: outside.MachineLive, Service: testTool,
	})
	for number := range schedulers {
		cluster.start(fmt.Sprintf("s%d", number))
	}
	return cluster
}

func (cluster *testCluster) config(name string) Config {
	config := testConfig(name)
	if cluster.backlog > 0 {
		config.Replication.MaxBacklogBytes = cluster.backlog
	}
	return config
}

func testConfig(name string) Config {
	return Config{
		Process: name, Region: "r", Zone: "z" + string(name[1]), Shards: 4, Replicas: 3,
		Replication: replication.DefaultConfig(),
		OfferRetry:  500 * time.Millisecond, HeldInterval: time.Second, LiveInterval: 5 * time.Second,
		FoundingWait: 2 * time.Second, EndedMemory: time.Minute, MaximumAttempts: 3,
		DefaultCallDeadline: 2 * time.Second, DefaultWaitBound: 30 * time.Second,
		SnapshotBytes: 4 << 10, SnapshotEntries: 50, ArchiveIntents: 250 * time.Millisecond,
	}
}

// start starts a process, or restarts it without any state.
func (cluster *testCluster) start(name string) *testNode {
	epoch := 0
	if before := cluster.nodes[name]; before != nil {
		before.dead = true
		epoch = before.epoch + 1
	}
	node := &testNode{
		cluster: cluster, name: name, epoch: epoch,
		core:       NewCore(cluster.config(name), rand.New(rand.NewSource(cluster.random.Int63()))),
		replyPeers: make(map[ReplyID]string),
		stops:      make(map[RunKey]bool),
	}
	cluster.nodes[name] = node
	node.step(MachinesListed{Machines: cluster.machines})
	node.step(ConfigurationChanged{View: testConfiguration{cluster: cluster}})
	node.step(FreshnessChanged{Fresh: true})
	node.tick()
	return node
}

func (node *testNode) tick() {
	if node.dead {
		return
	}
	node.step(Tick{})
	node.cluster.after(10*time.Millisecond, node.tick)
}

// step handles the event now, or after the process is resumed.
func (node *testNode) step(event Event) {
	if node.dead {
		return
	}
	if node.paused {
		node.deferred = append(node.deferred, func() { node.step(event) })
		return
	}
	effects := append([]Effect(nil), node.core.Step(node.cluster.now, event)...)
	for _, effect := range effects {
		node.execute(effect)
	}
}

func (node *testNode) resume() {
	node.paused = false
	held := node.deferred
	node.deferred = nil
	for _, run := range held {
		run()
	}
}

func (cluster *testCluster) after(wait time.Duration, run func()) {
	cluster.order++
	heap.Push(&cluster.queue, testTimer{at: cluster.now + wait, order: cluster.order, run: run})
}

// runFor advances virtual time.
func (cluster *testCluster) runFor(duration time.Duration) {
	cluster.runUntil(duration, func() bool { return false })
}

// runUntil advances virtual time until done returns true, and reports whether it did within the
// bound.
func (cluster *testCluster) runUntil(bound time.Duration, done func() bool) bool {
	end := cluster.now + bound
	for !done() {
		if len(cluster.queue) == 0 || cluster.queue[0].at > end {
			cluster.now = end
			return false
		}
		next := heap.Pop(&cluster.queue).(testTimer)
		cluster.now = next.at
		next.run()
	}
	return true
}

func (node *testNode) execute(effect Effect) {
	cluster := node.cluster
	switch effect := effect.(type) {
	case SendPeer:
		node.deliver(effect.Process, proto.Clone(effect.Batch).(*schedulerv1.PeerBatch), true)
	case Reply:
		if batch, isBatch := effect.Message.(*schedulerv1.PeerBatch); isBatch {
			node.deliver(node.replyPeers[effect.To], proto.Clone(batch).(*schedulerv1.PeerBatch), false)
			return
		}
		cluster.answers[effect.To] = replyValue{message: effect.Message}
	case Follow:
		cluster.answers[effect.ReplyTo] = replyValue{turn: effect.Turn, buffer: effect.Buffer}
	case Decline:
		cluster.answers[effect.ReplyTo] = replyValue{failure: effect.Error}
	case ReadMachines:
		askedAt := cluster.now
		cluster.after(testLatency+cluster.listDelay, func() {
			node.step(MachinesListed{Machines: cluster.machines, RequestedAt: askedAt})
		})
	case ReadStream:
		cluster.after(testLatency, func() { node.readStream(effect) })
	case AppendStream:
		cluster.after(testLatency+cluster.log.latency, func() { node.appendStream(effect) })
	case OpenStream:
		cluster.after(testLatency, func() { node.step(openStream(context.Background(), cluster.log, effect)) })
	case SnapshotStream:
		cluster.after(testLatency, func() {
			if !node.dead {
				node.step(snapshotStream(context.Background(), cluster.log, effect))
			}
		})
	case PollEngines:
		node.polled = effect.Engines
		node.poll()
	case RunModelCall:
		cluster.after(testLatency+cluster.delayOf(effect), func() {
			if !cluster.dropUnattachedSends || !node.stops[effect.Run] {
				node.runModel(effect)
			}
		})
	case RunToolCall:
		cluster.after(testLatency, func() { node.runTool(effect) })
	case StopRun:
		node.stops[effect.Run] = true
		if effect.AtBackEnd {
			cluster.sealed[backEndRequestID(effect.Run)] = true
		}
	case ReleaseCache:
		cluster.after(testLatency, func() { cluster.engines[effect.Address].release(effect) })
	case SetRole:
		cluster.after(testLatency, func() { cluster.engines[effect.Address].setRole(effect) })
	case LoadAdapter:
		cluster.after(testLatency, func() { cluster.engines[effect.Address].load(node, effect) })
	}
}

func (node *testNode) deliver(process string, batch *schedulerv1.PeerBatch, expectsReply bool) {
	cluster := node.cluster
	if cluster.partitioned(node.name, process) {
		return
	}
	cluster.after(testLatency, func() {
		target := cluster.nodes[process]
		event := PeerBatchReceived{Batch: batch}
		if expectsReply {
			cluster.lastReplyID++
			event.ReplyTo = cluster.lastReplyID
			target.replyPeers[event.ReplyTo] = node.name
		}
		target.step(event)
	})
}

func (node *testNode) readStream(effect ReadStream) {
	records, err := readRecords(context.Background(), node.cluster.log, streamName(effect.Shard), effect.From)
	node.step(StreamRead{
		Shard: effect.Shard, From: effect.From, Records: records, AtEnd: len(records) == 0, Failed: err != nil,
	})
}

func (node *testNode) appendStream(effect AppendStream) {
	_, err := node.cluster.log.Append(context.Background(), streamName(effect.Shard), effect.Data)
	node.step(StreamAppended{Shard: effect.Shard, UpTo: effect.UpTo, Acknowledged: err == nil})
}

func (node *testNode) poll() {
	for _, engine := range node.polled {
		node.step(EngineReported{Engine: engine.Engine, Report: node.cluster.engines[engine.Address].report()})
	}
	if !node.dead && len(node.polled) > 0 {
		node.cluster.after(200*time.Millisecond, node.poll)
	}
}

// delayOf returns the additional latency of a call to its engine.
func (cluster *testCluster) delayOf(effect RunModelCall) time.Duration {
	if cluster.dropUnattachedSends && effect.Request.AttachOnly {
		return 0
	}
	return cluster.runDelay
}

// runModel simulates an engine: it runs a request id once, and continues when its follower
// disconnects.
func (node *testNode) runModel(effect RunModelCall) {
	cluster := node.cluster
	name := effect.Request.RequestID
	generation := cluster.running[name]
	if generation == nil {
		if effect.Request.AttachOnly || cluster.sealed[name] {
			cluster.sealed[name] = true
			end := RunNotRun
			if effect.Request.AttachOnly {
				end = RunLost
			}
			node.step(RunEnded{Run: effect.Run, End: end, Detail: "sealed"})
			return
		}
		if reason := cluster.engines[effect.Address].admit(effect.Request); reason != "" {
			node.step(RunEnded{Run: effect.Run, End: RunNotRun, Detail: reason})
			return
		}
		cluster.runs[name]++
		generation = &testGeneration{request: name, engine: effect.Address}
		cluster.running[name] = generation
		cluster.generate(generation)
	}
	node.followGeneration(effect, generation)
}

// crashEngine makes an engine lose all its state.
func (cluster *testCluster) crashEngine(engine string) {
	cluster.engines[engine].restart()
	for name, generation := range cluster.running {
		if generation.engine == engine {
			generation.lost = true
			delete(cluster.running, name)
		}
	}
}

func (cluster *testCluster) generate(generation *testGeneration) {
	if generation.chunks == cluster.callSteps || generation.lost {
		generation.done = true
		return
	}
	generation.chunks++
	cluster.after(10*time.Millisecond, func() { cluster.generate(generation) })
}

func (node *testNode) followGeneration(effect RunModelCall, generation *testGeneration) {
	if node.dead || node.stops[effect.Run] {
		return
	}
	for sequence := 1; sequence <= generation.chunks; sequence++ {
		text := fmt.Sprintf("%s:%d ", generation.request, sequence)
		effect.Buffer.Append(uint64(sequence)+effect.Offset, text, 1)
	}
	if generation.lost {
		node.step(RunEnded{Run: effect.Run, End: RunLost, Detail: "engine lost"})
		return
	}
	if generation.done {
		node.step(RunEnded{Run: effect.Run, End: RunCompleted, FinishReason: "stop", PromptTokens: 10, OutputTokens: uint32(generation.chunks)})
		return
	}
	node.cluster.after(5*time.Millisecond, func() { node.followGeneration(effect, generation) })
}

func (node *testNode) runTool(effect RunToolCall) {
	if node.cluster.toolsDown[effect.Address] {
		node.step(RunEnded{Run: effect.Run, End: RunNotRun, Detail: "connection refused"})
		return
	}
	if node.cluster.lastToolCall == nil {
		node.cluster.lastToolCall = make(map[string]time.Duration)
	}
	node.cluster.lastToolCall[effect.Address] = node.cluster.now
	node.cluster.runs[effect.Request.RequestID]++
	node.cluster.after(20*time.Millisecond, func() {
		if node.stops[effect.Run] {
			return
		}
		effect.Buffer.Append(1, "tool:"+effect.Request.RequestID, 0)
		node.step(RunEnded{Run: effect.Run, End: RunCompleted, FinishReason: "stop"})
	})
}

// ask sends one request to a process and waits for its reply.
func (cluster *testCluster) ask(process string, build func(ReplyID) Event) (replyValue, bool) {
	cluster.lastReplyID++
	replyTo := cluster.lastReplyID
	cluster.nodes[process].step(build(replyTo))
	answered := cluster.runUntil(5*time.Second, func() bool {
		_, found := cluster.answers[replyTo]
		return found
	})
	return cluster.answers[replyTo], answered
}

// leader waits for a leader of the program's shard and returns its name.
func (cluster *testCluster) leader(programID string) string {
	found := ""
	cluster.runUntil(30*time.Second, func() bool {
		for name, node := range cluster.nodes {
			if !node.dead && !node.paused && node.core.leadingHost(programID) != nil {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

// outcome is a call's final answer as the caller sees it.
type outcome struct {
	text    string
	failure *schedulerv1.Error
	ended   bool
}

// call makes a call as a gateway does: it asks the leader, and retries at the next one if the
// stream ends without an answer.
func (cluster *testCluster) call(request *schedulerv1.CallRequest, bound time.Duration) outcome {
	end := cluster.now + bound
	for cluster.now < end {
		leader := cluster.leader(request.ProgramId)
		if leader == "" {
			break
		}
		answer, answered := cluster.ask(leader, func(replyTo ReplyID) Event { return CallRequested{ReplyTo: replyTo, Request: request} })
		if !answered {
			continue
		}
		if answer.failure != nil {
			if retriedByGateway(answer.failure) {
				cluster.runFor(50 * time.Millisecond)
				continue
			}
			return outcome{failure: answer.failure, ended: true}
		}
		if final, known := cluster.follow(leader, answer.buffer, end-cluster.now); known {
			return final
		}
	}
	return outcome{}
}

// retriedByGateway reports whether a gateway retries after this error because nothing was run.
func retriedByGateway(failure *schedulerv1.Error) bool {
	switch resultcode.Code(failure.Code) {
	case resultcode.NotLeader, resultcode.NoLeader, resultcode.Stopping:
		return true
	}
	return false
}

func (cluster *testCluster) follow(leader string, buffer *stream.Buffer, bound time.Duration) (outcome, bool) {
	node := cluster.nodes[leader]
	over := func() bool {
		view := buffer.Peek(0)
		return view.Finished != nil || view.Failure != nil || view.Abandoned
	}
	cluster.runUntil(bound, func() bool { return over() || node.dead || node.paused })
	view := buffer.Peek(0)
	text, _ := buffer.Content()
	switch {
	case view.Finished != nil:
		return outcome{text: text, ended: true}, true
	case view.Failure != nil:
		return outcome{failure: wireError(view.Failure), ended: true}, true
	}
	return outcome{}, false
}

type testConfiguration struct{ cluster *testCluster }

func (testConfiguration) Version() uint64 { return 1 }
func (view testConfiguration) Tier(tenant, name string) (*operatorv1.Tier, bool) {
	return &operatorv1.Tier{
		Name: testTier, Tenant: testTenant, Weight: 10, PromptPriceMicros: 100, OutputPriceMicros: 1000,
		BudgetMicros: view.cluster.budget, ProgramCapMicros: 1_000,
	}, tenant == testTenant && name == testTier
}
func (testConfiguration) Service(name string) (*operatorv1.Service, bool) {
	kind := operatorv1.ServiceKind_SERVICE_KIND_MODEL
	if name == testTool {
		kind = operatorv1.ServiceKind_SERVICE_KIND_TOOL
	}
	return &operatorv1.Service{Name: name, Kind: kind, Adapters: []string{testAdapter}}, name == testModel || name == testTool
}
func (testConfiguration) Kind(name string) (*operatorv1.ProgramKind, bool) {
	return &operatorv1.ProgramKind{Name: "dispute", Tiers: []string{testTier}, Services: []string{testModel, testTool}}, name == "dispute"
}
func (testConfiguration) Policy() *operatorv1.SchedulingPolicy { return nil }
func (testConfiguration) Drained(string) bool                  { return false }
