package capacity_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/platform/wire"
	"github.com/magpielug/magpielug/internal/shard"
)

func heapBytes() float64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// apply carries an entry out as it arrives at a replica: decoded from bytes.
func apply(b *testing.B, state *shard.State, entry *shardv1.Entry) {
	content, err := proto.Marshal(entry)
	if err != nil {
		b.Fatal(err)
	}
	var received shardv1.Entry
	if err := proto.Unmarshal(content, &received); err != nil {
		b.Fatal(err)
	}
	if outcome := state.Apply(&received); outcome.Err != nil {
		b.Fatal(outcome.Err)
	}
}

func createProgram(b *testing.B, state *shard.State, id string) {
	apply(b, state, &shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: &shardv1.ProgramCreated{
		ProgramId: id, Tenant: tenantName, Tier: tierName, Kind: "minutes"}}})
}

// runCall takes one call without text through its entries.
func runCall(b *testing.B, state *shard.State, program, request string) {
	apply(b, state, &shardv1.Entry{Change: &shardv1.Entry_CallAccepted{CallAccepted: &shardv1.CallAccepted{
		ProgramId: program, RequestId: request, Digest: make([]byte, 32), Kind: schedulerv1.CallKind_CALL_KIND_MODEL,
		Target: modelName, MaxTokens: 1024}}})
	apply(b, state, &shardv1.Entry{Change: &shardv1.Entry_CallIntended{CallIntended: &shardv1.CallIntended{
		ProgramId: program, RequestId: request, Attempt: 1, BackEnd: engineName, Address: address, FenceHolder: process, FenceEpoch: largeTotal}}})
	apply(b, state, &shardv1.Entry{Change: &shardv1.Entry_CallFinished{CallFinished: &shardv1.CallFinished{
		ProgramId: program, RequestId: request, Attempt: 1, FinishReason: "stop", OutputTokens: 412}}})
}

// BenchmarkProgramMemory reports the heap of a program and of each of its
// finished calls, without text, in a shard's state.
func BenchmarkProgramMemory(b *testing.B) {
	for _, programs := range []int{2000, 8000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			const callsEach = 10
			empty := heapBytes()
			state := shard.New()
			for number := range programs {
				createProgram(b, state, fmt.Sprintf("%s%08d", programID[:18], number))
			}
			created := heapBytes()
			for number := range programs {
				for call := range callsEach {
					runCall(b, state, fmt.Sprintf("%s%08d", programID[:18], number), fmt.Sprintf("%s%04d", requestID[:32], call))
				}
			}
			called := heapBytes()
			runtime.KeepAlive(state)
			b.ReportMetric((created-empty)/float64(programs), "B/program")
			b.ReportMetric((called-created)/float64(programs*callsEach), "B/call")
		})
	}
}

// BenchmarkDecodeMachines is one poll of the machine list.
func BenchmarkDecodeMachines(b *testing.B) {
	for _, machines := range []int{100, 1000} {
		var answer wire.MachinesAnswer
		for number := range machines {
			answer.Machines = append(answer.Machines, wire.Machine{ID: fmt.Sprintf("engine-eu-1a-%04d", number), Role: "engine",
				Region: "eu", Zone: "eu-1a", Address: address, State: "live", Service: modelName})
		}
		content, _ := json.Marshal(answer)
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			for b.Loop() {
				var decoded wire.MachinesAnswer
				if err := json.Unmarshal(content, &decoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDecodeConfiguration is one change of the whole configuration.
func BenchmarkDecodeConfiguration(b *testing.B) {
	for _, tiers := range []int{96, 960} {
		configuration := &operatorv1.Configuration{}
		for number := range tiers {
			tier := usualMessages()["tier"].(*operatorv1.Tier)
			tier.Tenant = fmt.Sprintf("tenant-%03d", number)
			configuration.Tiers = append(configuration.Tiers, tier)
		}
		content, _ := proto.Marshal(configuration)
		b.Run(fmt.Sprintf("tiers=%d", tiers), func(b *testing.B) {
			var decoded *operatorv1.Configuration
			before := heapBytes()
			for b.Loop() {
				decoded = &operatorv1.Configuration{}
				if err := proto.Unmarshal(content, decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric((heapBytes()-before)/float64(tiers), "B/tier")
			runtime.KeepAlive(decoded)
		})
	}
}

// BenchmarkDecodeReport is one load report of an engine.
func BenchmarkDecodeReport(b *testing.B) {
	for _, programs := range []int{100, 1000} {
		report := wire.LoadReport{Engine: engineName, ProgramBlocks: map[string]int{}}
		for number := range programs {
			report.ProgramBlocks[fmt.Sprintf("%s%08d", programID[:18], number)] = 5300
		}
		content, _ := json.Marshal(report)
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			for b.Loop() {
				var decoded wire.LoadReport
				if err := json.Unmarshal(content, &decoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
