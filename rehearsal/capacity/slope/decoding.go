package slope

import (
	"encoding/json"
	"fmt"
	"runtime"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/outside/wire"
)

// decodings is how many decodings are averaged.
const decodings = 300

// listCounts and tierCounts are the sizes at which decoding is measured.
var (
	listCounts = []int{100, 1_000}
	tierCounts = []int{96, 960}
)

// measureDecoding measures the decoding of what every process reads again and
// again: the machine list, load reports and the configuration.
func measureDecoding() ([]Measurement, error) {
	machines := Measurement{Name: "machine_decode_us", Sizes: fmt.Sprint(listCounts, " machines"), Unit: "µs"}
	programs := Measurement{Name: "report_program_us", Sizes: fmt.Sprint(listCounts, " programs"), Unit: "µs"}
	for _, count := range listCounts {
		listed, err := decodeJSON[wire.MachinesAnswer](machineList(count))
		if err != nil {
			return nil, err
		}
		reported, err := decodeJSON[wire.LoadReport](loadReport(count))
		if err != nil {
			return nil, err
		}
		machines.Values = append(machines.Values, listed/float64(count))
		programs.Values = append(programs.Values, reported/float64(count))
	}
	tiers, err := measureConfiguration()
	return append([]Measurement{machines, programs}, tiers...), err
}

func machineList(count int) wire.MachinesAnswer {
	var answer wire.MachinesAnswer
	for number := range count {
		answer.Machines = append(answer.Machines, usualMachine(fmt.Sprintf("engine-eu-1a-%04d", number)))
	}
	return answer
}

func loadReport(count int) wire.LoadReport {
	report := wire.LoadReport{Engine: engineName, ProgramBlocks: make(map[string]int)}
	for number := range count {
		report.ProgramBlocks[numbered(programID, number)] = 5_300
	}
	return report
}

// decodeJSON returns the microseconds that decoding the document takes.
func decodeJSON[T any](document T) (float64, error) {
	content, err := json.Marshal(document)
	if err != nil {
		return 0, eris.Wrap(err, "encode document")
	}
	return microsecondsEach(decodings, func() error {
		var decoded T
		return json.Unmarshal(content, &decoded)
	})
}

func measureConfiguration() ([]Measurement, error) {
	decoding := Measurement{Name: "tier_decode_us", Sizes: fmt.Sprint(tierCounts, " tiers"), Unit: "µs"}
	memory := Measurement{Name: "tier_memory_bytes", Sizes: decoding.Sizes, Unit: "B"}
	for _, count := range tierCounts {
		configuration := &operatorv1.Configuration{}
		for number := range count {
			declared := usualTier()
			declared.Tenant = fmt.Sprintf("tenant-%03d", number)
			configuration.Tiers = append(configuration.Tiers, declared)
		}
		content, err := proto.Marshal(configuration)
		if err != nil {
			return nil, eris.Wrap(err, "encode configuration")
		}
		before := heapBytes()
		decoded := &operatorv1.Configuration{}
		each, err := microsecondsEach(decodings, func() error {
			decoded = &operatorv1.Configuration{}
			return proto.Unmarshal(content, decoded)
		})
		if err != nil {
			return nil, eris.Wrap(err, "decode configuration")
		}
		held := heapBytes() - before
		runtime.KeepAlive(decoded)
		runtime.KeepAlive(configuration)
		runtime.KeepAlive(content)
		decoding.Values = append(decoding.Values, each/float64(count))
		memory.Values = append(memory.Values, held/float64(count))
	}
	return []Measurement{decoding, memory}, nil
}
