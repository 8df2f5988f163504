package node

import (
	"errors"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/load"
)

// countUnit is the unit in which recent answers and failures are sent, in requests: a
// count of thirty fits into a byte, and what rounding loses is less than one request in
// a hundred.
const countUnit = 0.25

// engineList is a list of engines that two nodes know, so that loads are sent without
// names. The zero value is no list.
type engineList struct {
	digest uint64
	names  []string
	places map[string]int
}

func newEngineList(names []string) engineList {
	list := engineList{digest: xxhash.Sum64String(strings.Join(names, nameSeparator)), names: names, places: make(map[string]int, len(names))}
	for place, name := range names {
		list.places[name] = place
	}
	return list
}

// nameSeparator stands between the names of a list.
const nameSeparator = "\n"

var errOtherList = errors.New("the list of engines is another one than its digest says")

// packedNames returns the list as it is sent.
func (list engineList) packedNames() []byte {
	return compressed([]byte(strings.Join(list.names, nameSeparator)))
}

// readEngineList reads a list of a digest as it was sent.
func readEngineList(digest uint64, message []byte) (engineList, error) {
	content, err := decompressed(message)
	if err != nil {
		return engineList{}, err
	}
	list := newEngineList(splitNames(string(content)))
	if list.digest != digest {
		return engineList{}, errOtherList
	}
	return list, nil
}

func splitNames(joined string) []string {
	if joined == "" {
		return nil
	}
	return strings.Split(joined, nameSeparator)
}

// engineColumns are the figures of the engines of a list, as they are sent.
type engineColumns struct{ running, silent, answered, failed []uint32 }

func newEngineColumns(length int) *engineColumns {
	return &engineColumns{running: make([]uint32, length), silent: make([]uint32, length), answered: make([]uint32, length), failed: make([]uint32, length)}
}

func (columns *engineColumns) set(place int, engine load.Engine) {
	columns.running[place] = uint32(max(engine.Running, 0))
	columns.silent[place] = uint32(max(engine.AwaitingFirstByte, 0))
	columns.answered[place] = toCount(engine.Succeeded)
	columns.failed[place] = toCount(engine.Failed)
}

func (columns *engineColumns) at(place int) load.Engine {
	return load.Engine{
		Running:           int(columns.running[place]),
		AwaitingFirstByte: int(columns.silent[place]),
		Succeeded:         countUnit * float64(columns.answered[place]),
		Failed:            countUnit * float64(columns.failed[place]),
	}
}

func toCount(count float64) uint32 { return uint32(math.Round(max(count, 0) / countUnit)) }

// forEngines returns what a node needs of a sum to choose engines: no programs, and answers
// only of engines whose requests also fail.
func forEngines(sum load.Report) load.Report {
	engines := load.NewReport()
	engines.Waiting = sum.Waiting
	for id, engine := range sum.Engines {
		if toCount(engine.Failed) == 0 {
			engine.Succeeded = 0
		}
		engines.Engines[id] = engine
	}
	return engines
}

// toLoadReport writes a report for one who knows a list.
func toLoadReport(report load.Report, list engineList) *nodev1.LoadReport {
	message := &nodev1.LoadReport{}
	columns := newEngineColumns(len(list.names))
	for id, engine := range report.Engines {
		place, listed := list.places[id]
		if listed {
			columns.set(place, engine)
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

// fromLoadReport reads a report whose columns go by a list.
func fromLoadReport(message *nodev1.LoadReport, list engineList) load.Report {
	report := load.NewReport()
	columns := fromColumns(message.GetColumns(), len(list.names))
	for place, name := range list.names {
		engine := columns.at(place)
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
		Silent:   toColumn(columns.silent),
		Answered: toColumn(columns.answered),
		Failed:   toColumn(columns.failed),
	}
}

func fromColumns(message *nodev1.EngineColumns, length int) *engineColumns {
	return &engineColumns{
		running:  fromColumn(message.GetRunning(), length),
		silent:   fromColumn(message.GetSilent(), length),
		answered: fromColumn(message.GetAnswered(), length),
		failed:   fromColumn(message.GetFailed(), length),
	}
}

// denseShare of a column's places with a value is where it is sent whole: a place then
// costs a byte, and one with a value two otherwise.
const denseShare = 0.5

// toColumn writes a column in the shorter way of two, and nothing where all is 0.
func toColumn(figures []uint32) *nodev1.Column {
	sparse := &nodev1.Column{}
	before := -1
	for place, figure := range figures {
		if figure == 0 {
			continue
		}
		sparse.Steps = append(sparse.Steps, uint32(place-before))
		sparse.Values = append(sparse.Values, figure)
		before = place
	}
	switch {
	case len(sparse.Values) == 0:
		return nil
	case float64(len(sparse.Values)) > denseShare*float64(len(figures)):
		return &nodev1.Column{Values: figures}
	default:
		return sparse
	}
}

// fromColumn reads a column of a length. Values beyond it are left out.
func fromColumn(message *nodev1.Column, length int) []uint32 {
	figures := make([]uint32, length)
	steps := message.GetSteps()
	if len(steps) == 0 {
		copy(figures, message.GetValues())
		return figures
	}
	place := -1
	for index, value := range message.GetValues() {
		if index >= len(steps) || steps[index] == 0 || uint64(steps[index]) > uint64(length) {
			return figures
		}
		place += int(steps[index])
		if place >= length {
			return figures
		}
		figures[place] = value
	}
	return figures
}
