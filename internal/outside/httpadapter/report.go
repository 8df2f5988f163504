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

var errUnexpectedBase = errors.New("load report has changes since a sequence number that was not requested")

// cachedReports holds the last load report of each engine by address, so that engines
// need to send only changes.
type cachedReports struct {
	lock      sync.Mutex
	byAddress map[string]cachedReport
}

// cachedReport is immutable.
type cachedReport struct {
	tag      string
	sequence uint64
	report   outside.LoadReport
}

func (known *cachedReports) get(address string) cachedReport {
	known.lock.Lock()
	defer known.lock.Unlock()
	return known.byAddress[address]
}

func (known *cachedReports) put(address string, last cachedReport) {
	known.lock.Lock()
	defer known.lock.Unlock()
	if known.byAddress == nil {
		known.byAddress = make(map[string]cachedReport)
	}
	known.byAddress[address] = last
}

// remove deletes the report of an engine after a failed request, because the engine may
// have restarted.
func (known *cachedReports) remove(address string) {
	known.lock.Lock()
	defer known.lock.Unlock()
	delete(known.byAddress, address)
}

// Report implements outside.Engine. If the engine supports entity tags or sequence numbers
// of cache changes, it sends only changes, and Report merges them into the last report.
// The report is complete; callers must not modify it.
func (client *Engine) Report(ctx context.Context, address string) (outside.LoadReport, error) {
	last := client.reports.get(address)
	query := url.Values{}
	if last.sequence > 0 {
		query.Set(wire.ParameterAfter, strconv.FormatUint(last.sequence, 10))
	}
	result, err := getIfChanged[wire.LoadReport](ctx, client.pool, address, wire.PathReport, query, last.tag)
	if err == nil && result.unchanged {
		return last.report, nil
	}
	if err == nil && result.body.Since > 0 && result.body.Since != last.sequence {
		err = endpoint{operation: wire.PathReport, address: address}.malformed(errUnexpectedBase)
	}
	if err != nil {
		client.reports.remove(address)
		return outside.LoadReport{}, err
	}
	report := loadReport(result.body)
	if result.body.Since > 0 {
		report.ProgramBlocks = mergeBlocks(last.report.ProgramBlocks, result.body.ProgramBlocks)
	}
	client.reports.put(address, cachedReport{tag: result.tag, sequence: result.body.Sequence, report: report})
	return report, nil
}

// mergeBlocks returns the blocks by program after changes, without the programs that have
// no blocks.
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

func loadReport(response wire.LoadReport) outside.LoadReport {
	return outside.LoadReport{
		Engine:        response.Engine,
		Model:         response.Model,
		Version:       response.Version,
		Loading:       response.Loading,
		Adapters:      response.Adapters,
		Role:          response.Role,
		Leaving:       response.Leaving,
		Running:       response.Running,
		Waiting:       response.Waiting,
		RunningLimit:  response.RunningLimit,
		BlocksTotal:   response.BlocksTotal,
		BlocksUsed:    response.BlocksUsed,
		BlockTokens:   response.BlockTokens,
		StepDuration:  time.Duration(response.StepMicros) * time.Microsecond,
		FenceEpoch:    response.FenceEpoch,
		ProgramBlocks: response.ProgramBlocks,
	}
}
