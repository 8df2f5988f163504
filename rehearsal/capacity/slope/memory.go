package slope

import (
	"fmt"
	"runtime"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/shard"
)

// programCounts are the sizes at which a shard's memory is measured.
var programCounts = []int{2_000, 8_000}

// callsEach is how many calls each program finishes.
const callsEach = 10

// measureMemory measures the heap of a program and of each of its finished
// calls in a shard's state, without text.
func measureMemory() ([]Measurement, error) {
	programs := Measurement{Name: "program_bytes", Sizes: fmt.Sprint(programCounts, " programs"), Unit: "B"}
	calls := Measurement{Name: "call_record_bytes", Sizes: programs.Sizes, Unit: "B"}
	for _, count := range programCounts {
		program, call, err := stateBytes(count)
		if err != nil {
			return nil, err
		}
		programs.Values = append(programs.Values, program)
		calls.Values = append(calls.Values, call)
	}
	return []Measurement{programs, calls}, nil
}

func stateBytes(count int) (program, call float64, err error) {
	empty := heapBytes()
	state := shard.New()
	for number := range count {
		if err := createProgram(state, number); err != nil {
			return 0, 0, err
		}
	}
	created := heapBytes()
	for number := range count {
		for request := range callsEach {
			if err := runCall(state, number, request); err != nil {
				return 0, 0, err
			}
		}
	}
	called := heapBytes()
	runtime.KeepAlive(state)
	return (created - empty) / float64(count), (called - created) / float64(count*callsEach), nil
}

// numbered returns an id of usual length that ends in the number.
func numbered(identifier string, number int) string {
	const digits = 8
	return fmt.Sprintf("%s%0*d", identifier[:len(identifier)-digits], digits, number)
}

func createProgram(state *shard.State, number int) error {
	return apply(state, &shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: &shardv1.ProgramCreated{
		ProgramId: numbered(programID, number), Tenant: tenant, Tier: tier, Kind: "minutes"}}})
}

// runCall takes one call without text through its entries.
func runCall(state *shard.State, number, request int) error {
	program := numbered(programID, number)
	identifier := numbered(requestID, request)
	intent := callIntended()
	intent.ProgramId = program
	intent.RequestId = identifier
	for _, entry := range []*shardv1.Entry{
		{Change: &shardv1.Entry_CallAccepted{CallAccepted: &shardv1.CallAccepted{
			ProgramId: program, RequestId: identifier, Digest: make([]byte, digestBytes),
			Kind: schedulerv1.CallKind_CALL_KIND_MODEL, Target: model, MaxTokens: maxTokens}}},
		{Change: &shardv1.Entry_CallIntended{CallIntended: intent}},
		{Change: &shardv1.Entry_CallFinished{CallFinished: &shardv1.CallFinished{
			ProgramId: program, RequestId: identifier, Attempt: 1, FinishReason: "stop", OutputTokens: outputTokens}}},
	} {
		if err := apply(state, entry); err != nil {
			return err
		}
	}
	return nil
}

// apply carries an entry out as it arrives at a replica: decoded from bytes.
func apply(state *shard.State, entry *shardv1.Entry) error {
	content, err := proto.Marshal(entry)
	if err != nil {
		return eris.Wrap(err, "encode entry")
	}
	var received shardv1.Entry
	if err := proto.Unmarshal(content, &received); err != nil {
		return eris.Wrap(err, "decode entry")
	}
	if outcome := state.Apply(&received); outcome.Err != nil {
		return eris.Wrap(outcome.Err, "apply entry")
	}
	return nil
}
