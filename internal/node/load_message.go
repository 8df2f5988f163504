package node

import (
	"errors"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/load"
)

// countResolution is the step, in requests, to which the decaying success and failure counts are
// rounded in load messages. Counts below 32 then take one byte.
const countResolution = 0.25

// engineList is an engine list that sender and receiver share, so that load messages refer to
// engines by index. The zero value is an empty list.
type engineList struct {
	digest    uint64
	names     []string
	positions map[string]int
}

func newEngineList(names []string) engineList {
	list := engineList{digest: xxhash.Sum64String(strings.Join(names, nameSeparator)), names: names, positions: make(map[string]int, len(names))}
	for position, name := range names {
		list.positions[name] = position
	}
	return list
}

// nameSeparator separates engine names in an encoded list.
const nameSeparator = "\n"

var errListDigest = errors.New("engine list does not match its digest")

// compressedNames returns the names in the format that readEngineList decodes.
func (list engineList) compressedNames() []byte {
	return compress([]byte(strings.Join(list.names, nameSeparator)))
}

// readEngineList decodes an engine list and verifies its digest.
func readEngineList(digest uint64, message []byte) (engineList, error) {
	content, err := decompress(message)
	if err != nil {
		return engineList{}, err
	}
	list := newEngineList(splitNames(string(content)))
	if list.digest != digest {
		return engineList{}, errListDigest
	}
	return list, nil
}

func splitNames(joined string) []string {
	if joined == "" {
		return nil
	}
	return strings.Split(joined, nameSeparator)
}

// engineColumns holds the engines' load by field, each indexed like an engine list.
type engineColumns struct{ running, awaitingFirstByte, succeeded, failed []uint32 }

func newEngineColumns(length int) *engineColumns {
	return &engineColumns{running: make([]uint32, length), awaitingFirstByte: make([]uint32, length), succeeded: make([]uint32, length), failed: make([]uint32, length)}
}

func (columns *engineColumns) set(position int, engine load.Engine) {
	columns.running[position] = uint32(max(engine.Running, 0))
	columns.awaitingFirstByte[position] = uint32(max(engine.AwaitingFirstByte, 0))
	columns.succeeded[position] = quantizeCount(engine.Succeeded)
	columns.failed[position] = quantizeCount(engine.Failed)
}

func (columns *engineColumns) at(position int) load.Engine {
	return load.Engine{
		Running:           int(columns.running[position]),
		AwaitingFirstByte: int(columns.awaitingFirstByte[position]),
		Succeeded:         countResolution * float64(columns.succeeded[position]),
		Failed:            countResolution * float64(columns.failed[position]),
	}
}

func quantizeCount(count float64) uint32 { return uint32(math.Round(max(count, 0) / countResolution)) }

// engineLoadOnly returns the part of a report needed to choose engines: no programs, and successes
// only for engines that also have failures.
func engineLoadOnly(total load.Report) load.Report {
	engines := load.NewReport()
	engines.Waiting = total.Waiting
	for id, engine := range total.Engines {
		if quantizeCount(engine.Failed) == 0 {
			engine.Succeeded = 0
		}
		engines.Engines[id] = engine
	}
	return engines
}

// toLoadReport encodes a report for a receiver that has an engine list. Engines not in the list
// are sent by name.
func toLoadReport(report load.Report, list engineList) *nodev1.LoadReport {
	message := &nodev1.LoadReport{}
	columns := newEngineColumns(len(list.names))
	for id, engine := range report.Engines {
		position, listed := list.positions[id]
		if listed {
			columns.set(position, engine)
			continue
		}
		message.Engines = append(message.Engines, &nodev1.EngineLoad{Engine: id, Running: int32(engine.Running), Silent: int32(engine.AwaitingFirstByte),
			Answered: engine.Succeeded, Failed: engine.Failed})
	}
	if len(list.names) > 0 {
		message.Columns = toColumns(columns)
	}
	for queue, calls := range report.Waiting {
		if calls != 0 {
			message.Waiting = append(message.Waiting, &nodev1.WaitingLoad{Service: queue.Service, Rank: int32(queue.Priority), Calls: int32(calls)})
		}
	}
	addPrograms(message, report)
	return message
}

func addPrograms(message *nodev1.LoadReport, report load.Report) {
	for name, route := range report.Routes {
		message.Routes = append(message.Routes, &nodev1.RouteLoad{Route: name, Service: route.Service, Rank: int32(route.Priority),
			Programs: int32(route.Programs), Turns: int32(route.Turns), Begun: route.ProgramsStarted, Refused: route.Refused, Late: route.Late, Tokens: route.PromptTokens})
	}
	for holder, programs := range report.Tenants {
		if programs != 0 {
			message.Tenants = append(message.Tenants, &nodev1.TenantLoad{Tenant: holder.Tenant, Rank: int32(holder.Priority), Programs: int32(programs)})
		}
	}
}

// fromLoadReport decodes a report that refers to an engine list.
func fromLoadReport(message *nodev1.LoadReport, list engineList) load.Report {
	report := load.NewReport()
	columns := fromColumns(message.GetColumns(), len(list.names))
	for position, name := range list.names {
		engine := columns.at(position)
		if engine != (load.Engine{}) {
			report.Engines[name] = engine
		}
	}
	for _, engine := range message.GetEngines() {
		report.Engines[engine.GetEngine()] = load.Engine{Running: int(engine.GetRunning()), AwaitingFirstByte: int(engine.GetSilent()),
			Succeeded: engine.GetAnswered(), Failed: engine.GetFailed()}
	}
	for _, waiting := range message.GetWaiting() {
		report.Waiting[load.QueueKey{Service: waiting.GetService(), Priority: int(waiting.GetRank())}] += int(waiting.GetCalls())
	}
	for _, route := range message.GetRoutes() {
		report.Routes[route.GetRoute()] = load.Route{Service: route.GetService(), Priority: int(route.GetRank()), Programs: int(route.GetPrograms()),
			Turns: int(route.GetTurns()), ProgramsStarted: route.GetBegun(), Refused: route.GetRefused(), Late: route.GetLate(), PromptTokens: route.GetTokens()}
	}
	for _, tenant := range message.GetTenants() {
		report.Tenants[load.TenantPriority{Tenant: tenant.GetTenant(), Priority: int(tenant.GetRank())}] += int(tenant.GetPrograms())
	}
	return report
}

func toColumns(columns *engineColumns) *nodev1.EngineColumns {
	return &nodev1.EngineColumns{
		Running:  toColumn(columns.running),
		Silent:   toColumn(columns.awaitingFirstByte),
		Answered: toColumn(columns.succeeded),
		Failed:   toColumn(columns.failed),
	}
}

func fromColumns(message *nodev1.EngineColumns, length int) *engineColumns {
	return &engineColumns{
		running:           fromColumn(message.GetRunning(), length),
		awaitingFirstByte: fromColumn(message.GetSilent(), length),
		succeeded:         fromColumn(message.GetAnswered(), length),
		failed:            fromColumn(message.GetFailed(), length),
	}
}

// denseThreshold is the fraction of nonzero values above which a column is sent dense: a dense
// value takes one byte, a sparse one two.
const denseThreshold = 0.5

// toColumn encodes a column as dense or sparse, whichever is shorter, and as nil if all values are
// zero.
func toColumn(values []uint32) *nodev1.Column {
	sparse := &nodev1.Column{}
	previous := -1
	for position, value := range values {
		if value == 0 {
			continue
		}
		sparse.Steps = append(sparse.Steps, uint32(position-previous))
		sparse.Values = append(sparse.Values, value)
		previous = position
	}
	switch {
	case len(sparse.Values) == 0:
		return nil
	case float64(len(sparse.Values)) > denseThreshold*float64(len(values)):
		return &nodev1.Column{Values: values}
	default:
		return sparse
	}
}

// fromColumn decodes a column into length values. Excess values are ignored.
func fromColumn(message *nodev1.Column, length int) []uint32 {
	values := make([]uint32, length)
	steps := message.GetSteps()
	if len(steps) == 0 {
		copy(values, message.GetValues())
		return values
	}
	position := -1
	for index, value := range message.GetValues() {
		if index >= len(steps) || steps[index] == 0 || uint64(steps[index]) > uint64(length) {
			return values
		}
		position += int(steps[index])
		if position >= length {
			return values
		}
		values[position] = value
	}
	return values
}
