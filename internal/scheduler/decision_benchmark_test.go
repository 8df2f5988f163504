package scheduler

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// benchmarkPrograms is the number of concurrent programs.
	benchmarkPrograms = 64
	// benchmarkTurns is the number of calls of a program before the next one replaces it.
	benchmarkTurns = 8
	// benchmarkHop is the virtual latency of a message.
	benchmarkHop          = 500 * time.Microsecond
	benchmarkWarmup       = 5 * time.Second
	benchmarkPollInterval = 200 * time.Millisecond
)

// benchmarkGroup runs the cores of a group in one goroutine on a virtual clock. Batches are
// encoded and decoded outside the measured steps, as in production, where other goroutines do
// it.
type benchmarkGroup struct {
	now     time.Duration
	names   []string
	cores   map[string]*Core
	cpuTime map[string]time.Duration
	log     *testLog
	// arriving holds the events for the next hop, pending the batches to each peer.
	arriving    map[string][]Event
	pending     map[string]*peerSender
	replyPeers  map[ReplyID]string
	lastReplyID ReplyID
	polled      map[string][]EngineAddress
	nextTick    time.Duration
	nextPoll    time.Duration
	messages    int
	bytes       int
	done        int
	// holdRuns prevents runs from ending.
	holdRuns bool
}

func newBenchmarkGroup(members int, shards uint32) *benchmarkGroup {
	group := &benchmarkGroup{
		cores:      make(map[string]*Core),
		cpuTime:    make(map[string]time.Duration),
		log:        newTestLog(nil),
		arriving:   make(map[string][]Event),
		pending:    make(map[string]*peerSender),
		replyPeers: make(map[ReplyID]string),
		polled:     make(map[string][]EngineAddress),
	}
	random := rand.New(rand.NewSource(1))
	machines := []outside.Machine{{
		ID: "e0", Role: outside.RoleEngine, Region: "r", Zone: "z0", Address: "e0",
		State: outside.MachineLive, Service: testModel,
	}}
	for number := range members {
		name := fmt.Sprintf("s%d", number)
		group.names = append(group.names, name)
		machines = append(machines, outside.Machine{
			ID: name, Role: outside.RoleScheduler, Region: "r", Zone: fmt.Sprintf("z%d", number),
			Address: name, State: outside.MachineLive,
		})
		config := testConfig(name)
		config.Shards = shards
		config.Replicas = members
		group.cores[name] = NewCore(config, rand.New(rand.NewSource(random.Int63())))
	}
	view := testConfiguration{cluster: &testCluster{budget: 1 << 50}}
	for _, name := range group.names {
		group.step(name, MachinesListed{Machines: machines})
		group.step(name, ConfigurationChanged{View: view})
		group.step(name, FreshnessChanged{Fresh: true})
	}
	for group.now < benchmarkWarmup {
		group.hop()
	}
	return group
}

// step handles one event and adds its duration to the core's time.
func (group *benchmarkGroup) step(name string, event Event) {
	startedAt := time.Now()
	effects := group.cores[name].Step(group.now, event)
	group.cpuTime[name] += time.Since(startedAt)
	for _, effect := range effects {
		group.execute(name, effect)
	}
}

func (group *benchmarkGroup) execute(name string, effect Effect) {
	switch effect := effect.(type) {
	case SendPeer:
		key := name + ">" + effect.Process
		if group.pending[key] == nil {
			group.pending[key] = &peerSender{}
		}
		group.pending[key].address = effect.Process
		group.pending[key].merge(effect.Batch)
	case Reply:
		if batch, isBatch := effect.Message.(*schedulerv1.PeerBatch); isBatch {
			group.enqueue(group.replyPeers[effect.To], PeerBatchReceived{Batch: group.transmit(batch)})
			delete(group.replyPeers, effect.To)
		}
	case OpenStream:
		group.enqueue(name, openStream(context.Background(), group.log, effect))
	case ReadStream:
		group.enqueue(name, group.read(effect))
	case AppendStream:
		_, _ = group.log.Append(context.Background(), streamName(effect.Shard), effect.Data)
		group.enqueue(name, StreamAppended{Shard: effect.Shard, UpTo: effect.UpTo, Acknowledged: true})
	case PollEngines:
		group.polled[name] = effect.Engines
		group.nextPoll = 0
	case RunModelCall:
		if group.holdRuns {
			return
		}
		effect.Buffer.Append(1, "five tokens of an answer", 5)
		group.enqueue(name, FirstChunkArrived{Run: effect.Run})
		group.enqueue(name, RunEnded{Run: effect.Run, End: RunCompleted, FinishReason: "stop", PromptTokens: 10, OutputTokens: 5})
	}
}

func (group *benchmarkGroup) enqueue(name string, event Event) {
	group.arriving[name] = append(group.arriving[name], event)
}

func (group *benchmarkGroup) read(effect ReadStream) StreamRead {
	records, _ := readRecords(context.Background(), group.log, streamName(effect.Shard), effect.From)
	return StreamRead{Shard: effect.Shard, From: effect.From, Records: records, AtEnd: len(records) == 0}
}

// transmit encodes and decodes a batch, and counts it.
func (group *benchmarkGroup) transmit(batch *schedulerv1.PeerBatch) *schedulerv1.PeerBatch {
	data, err := proto.Marshal(batch)
	if err != nil {
		panic(err)
	}
	group.messages++
	group.bytes += len(data)
	received := &schedulerv1.PeerBatch{}
	if err := proto.Unmarshal(data, received); err != nil {
		panic(err)
	}
	return received
}

// hop advances virtual time and delivers everything in transit.
func (group *benchmarkGroup) hop() {
	group.now += benchmarkHop
	arriving := group.arriving
	group.arriving = make(map[string][]Event)
	for _, key := range sortedKeys(group.pending) {
		sender := group.pending[key]
		from, _, _ := strings.Cut(key, ">")
		group.lastReplyID++
		group.replyPeers[group.lastReplyID] = from
		arriving[sender.address] = append(arriving[sender.address],
			PeerBatchReceived{ReplyTo: group.lastReplyID, Batch: group.transmit(sender.pending)})
	}
	clear(group.pending)
	for _, name := range group.names {
		for _, event := range arriving[name] {
			group.step(name, event)
		}
		if group.now >= group.nextTick {
			group.step(name, Tick{})
		}
		if group.now >= group.nextPoll {
			group.poll(name)
		}
	}
	if group.now >= group.nextTick {
		group.nextTick = group.now + tickInterval
	}
	if group.now >= group.nextPoll {
		group.nextPoll = group.now + benchmarkPollInterval
	}
}

func (group *benchmarkGroup) poll(name string) {
	for _, engine := range group.polled[name] {
		group.step(name, EngineReported{Engine: engine.Engine, Report: outside.LoadReport{
			Engine: engine.Engine, Model: testModel, RunningLimit: 1 << 15, BlocksTotal: 1 << 24,
			BlockTokens: 16, StepDuration: 3 * time.Millisecond,
		}})
	}
}

// leaderOf returns the core that leads the program's shard.
func (group *benchmarkGroup) leaderOf(program string) string {
	for _, name := range group.names {
		if group.cores[name].leadingHost(program) != nil {
			return name
		}
	}
	return ""
}

// benchmarkProgram makes calls in sequence.
type benchmarkProgram struct {
	group  *benchmarkGroup
	slot   int
	number int
	id     string
	leader string
	turn   int
}

// advance makes the program's next call if the previous one has ended. After its last call, the
// program is ended and replaced by a new one.
func (program *benchmarkProgram) advance() bool {
	group := program.group
	if program.id != "" {
		host := group.cores[program.leader].leadingHost(program.id)
		if host == nil {
			return false
		}
		state := host.state.Program(program.id)
		if state == nil || state.OpenCalls() > 0 || len(state.Turns()) < program.turn {
			return false
		}
	}
	if program.id != "" && program.turn > 0 {
		group.done++
	}
	if program.id == "" || program.turn == benchmarkTurns {
		program.startProgram()
		return true
	}
	program.turn++
	group.step(program.leader, CallRequested{Request: testCall(program.id, fmt.Sprintf("r%02d", program.turn))})
	return true
}

func (program *benchmarkProgram) startProgram() {
	group := program.group
	caller := &schedulerv1.Caller{Tenant: testTenant, Tier: testTier}
	if program.id != "" {
		group.step(program.leader, EndRequested{Request: &schedulerv1.EndProgramRequest{ProgramId: program.id, Caller: caller}})
	}
	program.number++
	program.turn = 0
	program.id = fmt.Sprintf("program-%d-%d", program.slot, program.number)
	program.leader = group.leaderOf(program.id)
	group.step(program.leader, CreateRequested{Request: &schedulerv1.CreateProgramRequest{
		ProgramId: program.id, Kind: "dispute", Caller: caller,
	}})
}

// completeCalls runs the programs until the given number of calls is complete.
func (group *benchmarkGroup) completeCalls(programs []*benchmarkProgram, calls int) {
	end := group.done + calls
	for group.done < end {
		for _, program := range programs {
			program.advance()
		}
		group.hop()
	}
}

func (group *benchmarkGroup) programs(count int) []*benchmarkProgram {
	programs := make([]*benchmarkProgram, count)
	for slot := range programs {
		programs[slot] = &benchmarkProgram{group: group, slot: slot}
	}
	return programs
}

// BenchmarkDecision measures the time that the control goroutines of all processes spend on one
// call, from the request to its completion. It also reports the call rate that the busiest
// process allows.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct {
		members int
		shards  uint32
	}{{1, 1}, {3, 1}, {3, 16}, {3, 64}} {
		b.Run(fmt.Sprintf("members=%d/shards=%d", size.members, size.shards), func(b *testing.B) {
			group := newBenchmarkGroup(size.members, size.shards)
			programs := group.programs(benchmarkPrograms)
			group.completeCalls(programs, benchmarkPrograms*benchmarkTurns)
			clear(group.cpuTime)
			group.messages, group.bytes = 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			group.completeCalls(programs, b.N)
			b.StopTimer()
			var total, busiest time.Duration
			for _, spent := range group.cpuTime {
				total += spent
				busiest = max(busiest, spent)
			}
			b.ReportMetric(float64(total.Microseconds())/float64(b.N), "control-us/call")
			b.ReportMetric(float64(b.N)/busiest.Seconds(), "calls/s-busiest")
			b.ReportMetric(float64(group.messages)/float64(b.N), "messages/call")
			b.ReportMetric(float64(group.bytes)/float64(b.N), "B-peers/call")
		})
	}
}
