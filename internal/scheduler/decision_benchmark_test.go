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
	// benchmarkPrograms make calls at the same time.
	benchmarkPrograms = 64
	// benchmarkTurns is how many calls a program makes before the next begins.
	benchmarkTurns = 8
	// benchmarkHop is virtual time between a message and its arrival.
	benchmarkHop      = 500 * time.Microsecond
	benchmarkSettling = 5 * time.Second
	benchmarkReports  = 200 * time.Millisecond
)

// benchmarkGroup runs the cores of a group in one goroutine on a virtual clock.
// Batches are encoded and decoded between them, outside of the measured steps,
// as the traffic goroutines do.
type benchmarkGroup struct {
	now   time.Duration
	names []string
	cores map[string]*Core
	spent map[string]time.Duration
	log   *testLog
	// arriving are events for the next hop, waiting the batches to each peer.
	arriving map[string][]Event
	waiting  map[string]*peerSender
	peerOf   map[AskID]string
	nextAsk  AskID
	polled   map[string][]EngineAddress
	nextTick time.Duration
	nextPoll time.Duration
	messages int
	bytes    int
	done     int
	// holding keeps runs from ending.
	holding bool
}

func newBenchmarkGroup(members int, shards uint32) *benchmarkGroup {
	group := &benchmarkGroup{
		cores:    make(map[string]*Core),
		spent:    make(map[string]time.Duration),
		log:      newTestLog(nil),
		arriving: make(map[string][]Event),
		waiting:  make(map[string]*peerSender),
		peerOf:   make(map[AskID]string),
		polled:   make(map[string][]EngineAddress),
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
	for group.now < benchmarkSettling {
		group.hop()
	}
	return group
}

// step takes one event into a core, at the cost of that core alone.
func (group *benchmarkGroup) step(name string, event Event) {
	begun := time.Now()
	effects := group.cores[name].Step(group.now, event)
	group.spent[name] += time.Since(begun)
	for _, effect := range effects {
		group.carryOut(name, effect)
	}
}

func (group *benchmarkGroup) carryOut(name string, effect Effect) {
	switch effect := effect.(type) {
	case SendPeer:
		key := name + ">" + effect.Process
		if group.waiting[key] == nil {
			group.waiting[key] = &peerSender{}
		}
		group.waiting[key].address = effect.Process
		group.waiting[key].merge(effect.Batch)
	case Answer:
		if batch, isBatch := effect.Message.(*schedulerv1.PeerBatch); isBatch {
			group.arrive(group.peerOf[effect.Ask], PeerBatchReceived{Batch: group.transmit(batch)})
			delete(group.peerOf, effect.Ask)
		}
	case OpenStream:
		group.arrive(name, openStream(context.Background(), group.log, effect))
	case ReadStream:
		group.arrive(name, group.read(effect))
	case AppendStream:
		_, _ = group.log.Append(context.Background(), streamName(effect.Shard), effect.Data)
		group.arrive(name, StreamAppended{Shard: effect.Shard, UpTo: effect.UpTo, Stands: true})
	case PollEngines:
		group.polled[name] = effect.Engines
		group.nextPoll = 0
	case RunModelCall:
		if group.holding {
			return
		}
		effect.Buffer.Append(1, "five tokens of an answer", 5)
		group.arrive(name, FirstChunkArrived{Run: effect.Run})
		group.arrive(name, RunEnded{Run: effect.Run, End: RunCompleted, FinishReason: "stop", PromptTokens: 10, OutputTokens: 5})
	}
}

func (group *benchmarkGroup) arrive(name string, event Event) {
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

// hop lets time pass and brings everything that is under way to its core.
func (group *benchmarkGroup) hop() {
	group.now += benchmarkHop
	arriving := group.arriving
	group.arriving = make(map[string][]Event)
	for _, key := range sortedKeys(group.waiting) {
		sender := group.waiting[key]
		from, _, _ := strings.Cut(key, ">")
		group.nextAsk++
		group.peerOf[group.nextAsk] = from
		arriving[sender.address] = append(arriving[sender.address],
			PeerBatchReceived{Ask: group.nextAsk, Batch: group.transmit(sender.waiting)})
	}
	clear(group.waiting)
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
		group.nextPoll = group.now + benchmarkReports
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

// leaderOf names the core that leads a program's shard.
func (group *benchmarkGroup) leaderOf(program string) string {
	for _, name := range group.names {
		if group.cores[name].leadingHost(program) != nil {
			return name
		}
	}
	return ""
}

// benchmarkProgram makes its calls one after the other.
type benchmarkProgram struct {
	group  *benchmarkGroup
	slot   int
	number int
	id     string
	leader string
	turn   int
}

// next makes the program's next call once the one before has ended. A program
// that has made all its calls ends, and another begins.
func (program *benchmarkProgram) next() bool {
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
		program.begin()
		return true
	}
	program.turn++
	group.step(program.leader, CallAsked{Request: testCall(program.id, fmt.Sprintf("r%02d", program.turn))})
	return true
}

func (program *benchmarkProgram) begin() {
	group := program.group
	caller := &schedulerv1.Caller{Tenant: testTenant, Tier: testTier}
	if program.id != "" {
		group.step(program.leader, EndAsked{Request: &schedulerv1.EndProgramRequest{ProgramId: program.id, Caller: caller}})
	}
	program.number++
	program.turn = 0
	program.id = fmt.Sprintf("program-%d-%d", program.slot, program.number)
	program.leader = group.leaderOf(program.id)
	group.step(program.leader, CreateAsked{Request: &schedulerv1.CreateProgramRequest{
		ProgramId: program.id, Kind: "dispute", Caller: caller,
	}})
}

// decide makes calls until so many have been answered.
func (group *benchmarkGroup) decide(programs []*benchmarkProgram, calls int) {
	end := group.done + calls
	for group.done < end {
		for _, program := range programs {
			program.next()
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

// BenchmarkDecision is the time that the control goroutines spend on one call:
// asked, accepted, granted, intended, run, finished. It counts every process of
// the group; the busiest one's calls a second are shown beside.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct {
		members int
		shards  uint32
	}{{1, 1}, {3, 1}, {3, 16}, {3, 64}} {
		b.Run(fmt.Sprintf("members=%d/shards=%d", size.members, size.shards), func(b *testing.B) {
			group := newBenchmarkGroup(size.members, size.shards)
			programs := group.programs(benchmarkPrograms)
			group.decide(programs, benchmarkPrograms*benchmarkTurns)
			clear(group.spent)
			group.messages, group.bytes = 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			group.decide(programs, b.N)
			b.StopTimer()
			var total, busiest time.Duration
			for _, spent := range group.spent {
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
