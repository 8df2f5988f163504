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

// testCluster runs several cores on a virtual clock and network, with an engine
// and a log of its own. The same seed gives the same run.
type testCluster struct {
	now    time.Duration
	order  uint64
	random *rand.Rand
	queue  testQueue
	nodes  map[string]*testNode
	log    *testLog
	// replacements counts the times that all processes were replaced at once.
	replacements int
	machines     []outside.Machine
	// runs counts starts at back ends by request id.
	runs map[string]int
	// running holds the generations an engine knows.
	running map[string]*testGeneration
	sealed  map[string]bool
	// engines are the engines by their address.
	engines map[string]*testEngine
	// cut tells whether a message from one process to another is lost.
	cut       func(from, to string) bool
	callSteps int
	// toolsDown are the addresses of tool back ends that refuse connections;
	// lastTool is when each last got a call.
	toolsDown map[string]bool
	lastTool  map[string]time.Duration
	// runDelay is how late calls come to the engines, listDelay how long a reading of the
	// machine list takes.
	runDelay  time.Duration
	listDelay time.Duration
	// cutsSending has a call that is no more followed by its leader not come to its engine
	// where it was on its way; who attaches comes without delay.
	cutsSending bool
	// backlog bounds a shard's unarchived entries; 0 takes the default.
	backlog int
	// budget of the one tier, micro units.
	budget  uint64
	answers map[AskID]callAnswer
	nextAsk AskID
}

type testNode struct {
	cluster *testCluster
	core    *Core
	name    string
	dead    bool
	paused  bool
	held    []func()
	// peerOf tells whose batch an ask answers.
	peerOf map[AskID]string
	polled []EngineAddress
	stops  map[RunKey]bool
	epoch  int
}

type testGeneration struct {
	request string
	engine  string
	chunks  int
	done    bool
	// lost is true once the engine has crashed and forgotten it.
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
		random:    rand.New(rand.NewSource(seed)),
		nodes:     make(map[string]*testNode),
		runs:      make(map[string]int),
		running:   make(map[string]*testGeneration),
		sealed:    make(map[string]bool),
		engines:   make(map[string]*testEngine),
		answers:   make(map[AskID]callAnswer),
		cut:       func(string, string) bool { return false },
		callSteps: 5,
		budget:    1 << 40,
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

// start starts a process, or starts it anew with nothing remembered.
func (cluster *testCluster) start(name string) *testNode {
	epoch := 0
	if before := cluster.nodes[name]; before != nil {
		before.dead = true
		epoch = before.epoch + 1
	}
	node := &testNode{
		cluster: cluster, name: name, epoch: epoch,
		core:   NewCore(cluster.config(name), rand.New(rand.NewSource(cluster.random.Int63()))),
		peerOf: make(map[AskID]string),
		stops:  make(map[RunKey]bool),
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

// step runs now, or once the process is woken.
func (node *testNode) step(event Event) {
	if node.dead {
		return
	}
	if node.paused {
		node.held = append(node.held, func() { node.step(event) })
		return
	}
	effects := append([]Effect(nil), node.core.Step(node.cluster.now, event)...)
	for _, effect := range effects {
		node.carryOut(effect)
	}
}

func (node *testNode) wake() {
	node.paused = false
	held := node.held
	node.held = nil
	for _, run := range held {
		run()
	}
}

func (cluster *testCluster) after(wait time.Duration, run func()) {
	cluster.order++
	heap.Push(&cluster.queue, testTimer{at: cluster.now + wait, order: cluster.order, run: run})
}

// runFor lets virtual time pass.
func (cluster *testCluster) runFor(duration time.Duration) {
	cluster.runUntil(duration, func() bool { return false })
}

// runUntil lets time pass until done says so, and tells whether it did.
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

func (node *testNode) carryOut(effect Effect) {
	cluster := node.cluster
	switch effect := effect.(type) {
	case SendPeer:
		node.deliver(effect.Process, proto.Clone(effect.Batch).(*schedulerv1.PeerBatch), true)
	case Answer:
		if batch, isBatch := effect.Message.(*schedulerv1.PeerBatch); isBatch {
			node.deliver(node.peerOf[effect.Ask], proto.Clone(batch).(*schedulerv1.PeerBatch), false)
			return
		}
		cluster.answers[effect.Ask] = callAnswer{message: effect.Message}
	case Follow:
		cluster.answers[effect.Ask] = callAnswer{turn: effect.Turn, buffer: effect.Buffer}
	case Decline:
		cluster.answers[effect.Ask] = callAnswer{failure: effect.Error}
	case ReadMachines:
		askedAt := cluster.now
		cluster.after(testLatency+cluster.listDelay, func() {
			node.step(MachinesListed{Machines: cluster.machines, AskedAt: askedAt})
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
			if !cluster.cutsSending || !node.stops[effect.Run] {
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

func (node *testNode) deliver(process string, batch *schedulerv1.PeerBatch, ask bool) {
	cluster := node.cluster
	if cluster.cut(node.name, process) {
		return
	}
	cluster.after(testLatency, func() {
		target := cluster.nodes[process]
		event := PeerBatchReceived{Batch: batch}
		if ask {
			cluster.nextAsk++
			event.Ask = cluster.nextAsk
			target.peerOf[event.Ask] = node.name
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
	node.step(StreamAppended{Shard: effect.Shard, UpTo: effect.UpTo, Stands: err == nil})
}

func (node *testNode) poll() {
	for _, engine := range node.polled {
		node.step(EngineReported{Engine: engine.Engine, Report: node.cluster.engines[engine.Address].report()})
	}
	if !node.dead && len(node.polled) > 0 {
		node.cluster.after(200*time.Millisecond, node.poll)
	}
}

// delayOf is how long a call takes to its engine beside the latency.
func (cluster *testCluster) delayOf(effect RunModelCall) time.Duration {
	if cluster.cutsSending && effect.Request.AttachOnly {
		return 0
	}
	return cluster.runDelay
}

// runModel is an engine: it runs a request id once, whoever asks, and goes on
// when its follower is gone.
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

// crashEngine makes an engine forget everything it ran or sealed.
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
	if node.cluster.lastTool == nil {
		node.cluster.lastTool = make(map[string]time.Duration)
	}
	node.cluster.lastTool[effect.Address] = node.cluster.now
	node.cluster.runs[effect.Request.RequestID]++
	node.cluster.after(20*time.Millisecond, func() {
		if node.stops[effect.Run] {
			return
		}
		effect.Buffer.Append(1, "tool:"+effect.Request.RequestID, 0)
		node.step(RunEnded{Run: effect.Run, End: RunCompleted, FinishReason: "stop"})
	})
}

// ask sends one request to a process and waits for its answer.
func (cluster *testCluster) ask(process string, build func(AskID) Event) (callAnswer, bool) {
	cluster.nextAsk++
	ask := cluster.nextAsk
	cluster.nodes[process].step(build(ask))
	answered := cluster.runUntil(5*time.Second, func() bool {
		_, found := cluster.answers[ask]
		return found
	})
	return cluster.answers[ask], answered
}

// leader names the process that leads a program's shard, once there is one.
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

// outcome is a call's final answer as its caller sees it.
type outcome struct {
	text    string
	failure *schedulerv1.Error
	ended   bool
}

// call asks for a call like a gateway: at the leader, and again at the next one
// when the stream ends with no answer.
func (cluster *testCluster) call(request *schedulerv1.CallRequest, bound time.Duration) outcome {
	end := cluster.now + bound
	for cluster.now < end {
		leader := cluster.leader(request.ProgramId)
		if leader == "" {
			break
		}
		answer, answered := cluster.ask(leader, func(ask AskID) Event { return CallAsked{Ask: ask, Request: request} })
		if !answered {
			continue
		}
		if answer.failure != nil {
			if hiddenByGateway(answer.failure) {
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

// hiddenByGateway tells whether a gateway asks again, since nothing ran.
func hiddenByGateway(failure *schedulerv1.Error) bool {
	switch resultcode.Code(failure.Code) {
	case resultcode.NotLeader, resultcode.NoLeader, resultcode.Stopping:
		return true
	}
	return false
}

func (cluster *testCluster) follow(leader string, buffer *stream.Buffer, bound time.Duration) (outcome, bool) {
	node := cluster.nodes[leader]
	over := func() bool {
		view := buffer.Look(0)
		return view.Finished != nil || view.Failure != nil || view.Dropped
	}
	cluster.runUntil(bound, func() bool { return over() || node.dead || node.paused })
	view := buffer.Look(0)
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
