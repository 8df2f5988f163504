package httpadapter

import (
	"context"
	"errors"
	"maps"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
)

// errOtherBase says that a report names changes since a number that was not
// asked for.
var errOtherBase = errors.New("changes since another number than the one asked for")

// knownReports holds the last load report of each engine asked, so that only
// what has changed since is sent and decoded.
type knownReports struct {
	lock      sync.Mutex
	byAddress map[string]knownReport
}

// knownReport is never changed.
type knownReport struct {
	tag      string
	sequence uint64
	report   outside.LoadReport
}

func (known *knownReports) of(address string) knownReport {
	known.lock.Lock()
	defer known.lock.Unlock()
	return known.byAddress[address]
}

func (known *knownReports) keep(address string, last knownReport) {
	known.lock.Lock()
	defer known.lock.Unlock()
	if known.byAddress == nil {
		known.byAddress = make(map[string]knownReport)
	}
	known.byAddress[address] = last
}

// forget drops the report of an engine that did not answer. It may be gone, or
// have restarted.
func (known *knownReports) forget(address string) {
	known.lock.Lock()
	defer known.lock.Unlock()
	delete(known.byAddress, address)
}

// Report implements outside.Engine. The report is always whole; it must not be
// changed by its reader. Where the engine gives entity tags or numbers the
// changes of its cache, only what has changed is sent.
func (client *Engine) Report(ctx context.Context, address string) (outside.LoadReport, error) {
	last := client.reports.of(address)
	query := url.Values{}
	if last.sequence > 0 {
		query.Set(wire.ParameterAfter, strconv.FormatUint(last.sequence, 10))
	}
	answered, err := getChanged[wire.LoadReport](ctx, client.pool, address, wire.PathReport, query, last.tag)
	if err == nil && answered.unchanged {
		return last.report, nil
	}
	if err == nil && answered.answer.Since > 0 && answered.answer.Since != last.sequence {
		err = target{operation: wire.PathReport, address: address}.malformed(errOtherBase)
	}
	if err != nil {
		client.reports.forget(address)
		return outside.LoadReport{}, err
	}
	report := reportOf(answered.answer)
	if answered.answer.Since > 0 {
		report.ProgramBlocks = mergeBlocks(last.report.ProgramBlocks, answered.answer.ProgramBlocks)
	}
	client.reports.keep(address, knownReport{tag: answered.tag, sequence: answered.answer.Sequence, report: report})
	return report, nil
}

// mergeBlocks returns the blocks by program after the changes. A program with no
// block left is not in it.
func mergeBlocks(before, changes map[string]int) map[string]int {
	if len(changes) == 0 {
		return before
	}
	merged := maps.Clone(before)
	if merged == nil {
		merged = make(map[string]int, len(changes))
	}
	for program, blocks := range changes {
		merged[program] = blocks
		if blocks == 0 {
			delete(merged, program)
		}
	}
	return merged
}

func reportOf(answer wire.LoadReport) outside.LoadReport {
	return outside.LoadReport{
		Engine:        answer.Engine,
		Model:         answer.Model,
		Version:       answer.Version,
		Loading:       answer.Loading,
		Adapters:      answer.Adapters,
		Role:          answer.Role,
		Leaving:       answer.Leaving,
		Running:       answer.Running,
		Waiting:       answer.Waiting,
		RunningLimit:  answer.RunningLimit,
		BlocksTotal:   answer.BlocksTotal,
		BlocksUsed:    answer.BlocksUsed,
		BlockTokens:   answer.BlockTokens,
		StepDuration:  time.Duration(answer.StepMicros) * time.Microsecond,
		FenceEpoch:    answer.FenceEpoch,
		ProgramBlocks: answer.ProgramBlocks,
	}
}
